//! A fleet of ingresses and owners that exchange messages in simulated time.
#![allow(dead_code, reason = "each test uses a part")]

use std::collections::BTreeMap;

use allowance::{
    Drawn, GRANT_TERM, Member, Owner, Purse, Question, Reach, Stand, Take, Terms, candidates,
    owners,
};
use types::{Moment, Rate, Revision, Span, TeamId};

/// Length of a step.
pub(crate) const STEP: Span = Span::from_millis(10);
/// Time between two ticks of a node.
const TICK_STEPS: u64 = 25;
/// Time after which an ingress doesn't wait for an answer any more.
const TIMEOUT: Span = Span::from_millis(150);
/// Time that a request waits for an answer.
const MAX_WAIT: Span = Span::from_millis(400);
const ZONES: usize = 3;
const HOPS: u32 = 3;

struct Node {
    owner: Owner,
    reach: Reach,
    purse: Purse,
    /// Number of the view that the node has.
    view: usize,
    /// When the node started, or woke up.
    runs_since: Moment,
    alive: bool,
    paused: bool,
}

/// Members of the fleet, which each node learns within some time.
struct View {
    changed_at: Moment,
    /// Longest time until a node knows the view, from the change or from when the node runs again.
    lag: Span,
    members: Vec<Member>,
}

impl View {
    /// When a node knows the view.
    fn known_at(&self, index: usize, runs_since: Moment) -> Moment {
        match runs_since > self.changed_at {
            true => runs_since + self.lag,
            false => self.changed_at + Span(self.lag.0 * (index as u64 * 7 % 9) / 8),
        }
    }
}

/// A question on its way to an owner, and then its answer.
struct Message {
    ingress: usize,
    team: TeamId,
    question: Question,
    sent_at: Moment,
    arrives: Moment,
    returns: Moment,
    drawn: Option<Option<Drawn>>,
}

struct Waiter {
    ingress: usize,
    team: TeamId,
    since: Moment,
}

pub(crate) struct Fleet {
    pub(crate) now: Moment,
    pub(crate) members: Vec<Member>,
    pub(crate) terms: BTreeMap<TeamId, Terms>,
    pub(crate) ran: BTreeMap<TeamId, Vec<Moment>>,
    pub(crate) refused: BTreeMap<TeamId, u64>,
    /// Requests for which no owner was reached in time.
    pub(crate) unknown: u64,
    pub(crate) messages: u64,
    /// When the requests refused so far were told to return.
    pub(crate) told: Vec<Moment>,
    pub(crate) probes: u64,
    /// Delay of each message in microseconds, by turns.
    pub(crate) delays: Vec<u64>,
    /// Pairs of zones that don't reach each other.
    pub(crate) cut: [[bool; ZONES]; ZONES],
    nodes: Vec<Node>,
    /// All views, the newest last. A node never goes back to an earlier one.
    views: Vec<View>,
    in_flight: Vec<Message>,
    waiters: Vec<Waiter>,
    steps: u64,
}

pub(crate) fn team(id: &str) -> TeamId {
    id.parse().expect("a valid id")
}

pub(crate) fn terms(rate: f64, burst: u32) -> Terms {
    Terms {
        rate: Rate::new(rate).expect("a valid rate"),
        burst,
        revision: Revision(1),
    }
}

impl Fleet {
    pub(crate) fn new(size: usize) -> Self {
        let member = |i: usize| Member {
            node: ([10, 0, 0, 1], 4_000 + i as u16).into(),
            zone: format!("zone-{}", i % ZONES).parse().expect("a valid id"),
        };
        let members: Vec<_> = (0..size).map(member).collect();
        let now = Moment(1);
        let mut fleet = Self {
            now,
            nodes: Vec::new(),
            views: vec![View {
                changed_at: now,
                lag: Span::default(),
                members: members.clone(),
            }],
            terms: BTreeMap::new(),
            ran: BTreeMap::new(),
            refused: BTreeMap::new(),
            unknown: 0,
            messages: 0,
            told: Vec::new(),
            probes: 0,
            delays: vec![2_000],
            cut: Default::default(),
            in_flight: Vec::new(),
            waiters: Vec::new(),
            steps: 0,
            members,
        };
        fleet.nodes = (0..size).map(|i| fleet.fresh_node(i)).collect();
        fleet
    }

    /// A node that has just started, with the view of the peer that has the oldest one. Without a peer it reads the
    /// newest one from the registry.
    fn fresh_node(&self, index: usize) -> Node {
        let peers = self.nodes.iter().filter(|n| n.alive && !n.paused);
        let newest = self.views.len() - 1;
        let view = peers.map(|n| n.view).min().unwrap_or(newest);
        let mut reach = Reach::new(self.members[index].node, self.now);
        reach.set_members(self.views[view].members.clone(), self.now);
        Node {
            view,
            runs_since: self.now,
            owner: Owner::new(self.now),
            reach,
            purse: Purse::default(),
            alive: true,
            paused: false,
        }
    }

    pub(crate) fn index(&self, member: &Member) -> usize {
        let mut members = self.members.iter();
        members.position(|m| m == member).expect("a member")
    }

    /// The node that owns a team while all is well.
    pub(crate) fn owner_of(&self, team: &TeamId) -> usize {
        self.index(&owners(team, &self.members)[0])
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        self.waiters.retain(|w| w.ingress != index);
        self.in_flight.retain(|m| m.ingress != index);
    }

    pub(crate) fn start(&mut self, index: usize) {
        if !self.nodes[index].alive {
            self.nodes[index] = self.fresh_node(index);
        }
    }

    /// Takes a member out of the view, or all back in. Each node hears of it within `lag`.
    pub(crate) fn change_members(&mut self, out: Option<usize>, lag: Span) {
        let members = self.members.iter().enumerate();
        let members = members.filter(|(index, _)| Some(*index) != out);
        let members: Vec<_> = members.map(|(_, member)| member.clone()).collect();
        self.views.push(View {
            changed_at: self.now,
            lag,
            members,
        });
    }

    pub(crate) fn set_paused(&mut self, index: usize, paused: bool) {
        let node = &mut self.nodes[index];
        if node.paused && !paused {
            node.runs_since = self.now;
        }
        node.paused = paused;
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let works = |i: usize| self.nodes[i].alive && !self.nodes[i].paused;
        from == to || works(from) && works(to) && !self.cut[from % ZONES][to % ZONES]
    }

    fn node(&self, address: std::net::SocketAddr) -> usize {
        let mut members = self.members.iter();
        members.position(|m| m.node == address).expect("a member")
    }

    /// Advances time by a step.
    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        for index in 0..self.nodes.len() {
            let works = self.nodes[index].alive && !self.nodes[index].paused;
            if works && (self.steps + index as u64).is_multiple_of(TICK_STEPS) {
                self.tick(index);
            }
        }
        for index in 0..self.nodes.len() {
            self.learn_view(index);
        }
        // A request takes again once there is an answer.
        let answered = self.deliver();
        let is_woken = |w: &Waiter| {
            let asked = (w.ingress, w.team.clone());
            answered.contains(&asked) || self.now.since(w.since) > MAX_WAIT
        };
        let waiters = std::mem::take(&mut self.waiters);
        let (woken, waiting): (Vec<_>, Vec<_>) = waiters.into_iter().partition(is_woken);
        self.waiters = waiting;
        for waiter in woken {
            self.serve(waiter, true);
        }
    }

    /// Gives a node the newest view that it can know by now.
    fn learn_view(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let known = |view: &View| view.known_at(index, node.runs_since) <= now;
        let newest = self.views.iter().rposition(known).unwrap_or_default();
        if node.alive && !node.paused && newest > node.view {
            node.view = newest;
            let members = self.views[newest].members.clone();
            node.reach.set_members(members, now);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        for probe in self.nodes[index].reach.tick(now) {
            self.probes += 1;
            let to = self.node(probe.to);
            let reached = match probe.via.map(|via| self.node(via)) {
                None => self.connected(index, to),
                Some(via) => self.connected(index, via) && self.connected(via, to),
            };
            if reached {
                let reach = &mut self.nodes[index].reach;
                reach.answered(probe.to, probe.via.is_none(), now);
            } else if probe.via.is_none() {
                self.nodes[index].reach.failed(probe.to, now);
            }
        }
        let node = &mut self.nodes[index];
        node.owner.tick(node.reach.share(), now);
        node.purse.tick(now);
    }

    /// Delivers messages, and returns the ingresses that have an answer or give up, with the team.
    fn deliver(&mut self) -> Vec<(usize, TeamId)> {
        let now = self.now;
        let mut messages = std::mem::take(&mut self.in_flight);
        for message in &mut messages {
            if message.drawn.is_none() && now >= message.arrives {
                let drawn = self.ask(message.ingress, &message.team, message.question);
                message.drawn = Some(drawn);
            }
        }
        let is_open = |message: &Message| {
            !(message.drawn.is_some() && now >= message.returns
                || now.since(message.sent_at) >= TIMEOUT)
        };
        let (open, ended): (Vec<_>, Vec<_>) = messages.into_iter().partition(is_open);
        self.in_flight.extend(open);
        let mut answered = Vec::new();
        for message in ended {
            let in_time = now >= message.returns;
            let purse = &mut self.nodes[message.ingress].purse;
            match message.drawn.flatten() {
                Some(drawn) if in_time => {
                    purse.put(&message.team, message.question, drawn, message.sent_at, now);
                }
                _ => purse.fail(&message.team),
            }
            answered.push((message.ingress, message.team));
        }
        answered
    }

    fn ask(&mut self, ingress: usize, team: &TeamId, question: Question) -> Option<Drawn> {
        let order = owners(team, self.nodes[ingress].reach.members());
        for candidate in candidates(&order) {
            let to = self.index(&candidate);
            let now = self.now;
            if to != ingress && self.nodes[ingress].reach.is_failing(candidate.node, now) {
                continue;
            }
            self.messages += 1;
            if !self.connected(ingress, to) {
                self.nodes[ingress].reach.failed(candidate.node, now);
                continue;
            }
            self.nodes[ingress]
                .reach
                .answered(candidate.node, true, now);
            if let Some(drawn) = self.answer(to, team, question, HOPS) {
                return Some(drawn);
            }
        }
        None
    }

    fn answer(
        &mut self,
        index: usize,
        team: &TeamId,
        question: Question,
        hops: u32,
    ) -> Option<Drawn> {
        let now = self.now;
        let terms = self.terms[team];
        let node = &mut self.nodes[index];
        let order = owners(team, node.reach.members());
        let next = match node.reach.stand(&order, now) {
            Stand::Own { since } => {
                let since = since.max(node.reach.owned_since(team));
                return node.owner.draw(team, terms, question, since, now);
            }
            Stand::Pass(next) if hops > 0 => next,
            Stand::Pass(_) | Stand::Unreached => return None,
        };
        node.owner.forget(team);
        let relays = node.reach.relays(next);
        let to = self.node(next);
        let direct = self.connected(index, to);
        let relayed = relays
            .iter()
            .map(|relay| self.node(*relay))
            .any(|relay| self.connected(index, relay) && self.connected(relay, to));
        self.messages += 1;
        if !direct && !relayed {
            self.nodes[index].reach.failed(next, now);
            return None;
        }
        self.nodes[index].reach.answered(next, direct, now);
        self.answer(to, team, question, hops - 1)
    }

    /// A request of a team arrives at an ingress.
    pub(crate) fn request(&mut self, ingress: usize, team: &TeamId) {
        let waiter = Waiter {
            ingress,
            team: team.clone(),
            since: self.now,
        };
        if self.nodes[ingress].alive && !self.nodes[ingress].paused {
            self.serve(waiter, false);
        }
    }

    fn serve(&mut self, waiter: Waiter, again: bool) {
        let now = self.now;
        if now.since(waiter.since) > MAX_WAIT {
            self.unknown += 1;
            self.nodes[waiter.ingress].purse.leave(&waiter.team);
            return;
        }
        if self.nodes[waiter.ingress].paused {
            return self.waiters.push(waiter);
        }
        let terms = self.terms[&waiter.team];
        let purse = &mut self.nodes[waiter.ingress].purse;
        match purse.take(&waiter.team, terms, again, now) {
            Take::Granted { expires } => {
                assert!(expires > now && expires <= now + GRANT_TERM);
                self.ran.entry(waiter.team).or_default().push(now);
            }
            Take::Refused { retry_at } => {
                assert!(retry_at + STEP > now, "a retry time in the past");
                self.told.push(retry_at);
                *self.refused.entry(waiter.team).or_default() += 1;
            }
            Take::Wait => self.waiters.push(waiter),
            Take::Ask(question) => {
                let delay =
                    |i: u64| Span(self.delays[(self.steps + i) as usize % self.delays.len()]);
                let arrives = now + delay(waiter.ingress as u64);
                self.in_flight.push(Message {
                    ingress: waiter.ingress,
                    team: waiter.team.clone(),
                    question,
                    sent_at: now,
                    arrives,
                    returns: arrives + delay(waiter.ingress as u64 + 1),
                    drawn: None,
                });
                self.waiters.push(waiter);
            }
        }
    }

    /// The most requests of a team that ran in any window of five seconds.
    pub(crate) fn most_run(&self, team: &TeamId) -> usize {
        let ran = self.ran.get(team).map(Vec::as_slice).unwrap_or_default();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in ran.iter().enumerate() {
            while at.since(ran[first]) >= Span::from_millis(5_000) {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }
}

/// The most requests that may run in a window of five seconds.
pub(crate) fn bound(rate: f64, burst: u32) -> usize {
    ((rate * 5.0 + f64::from(burst)) * 1.25 + 20.0) as usize
}

/// Pseudorandom numbers that are the same in each run.
pub(crate) struct Draws(pub u64);

impl Draws {
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}
