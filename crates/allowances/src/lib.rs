//! Allowances of teams: draws tokens for requests from the teams' owners, and answers as an owner.
//!
//! The crate `allowance` has the decisions. This crate passes them the view, the time and the answers of other
//! nodes, which a [`Courier`] brings.

#[cfg(test)]
mod tests;

mod answer;
mod courier;
mod watch;

use std::{
    collections::HashMap,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use allowance::{Drawn, Member, Owner, Purse, Question, Reach, Take, Terms, candidates, owners};
use board::Board;
use dialect::Rejection;
use metrics::Metrics;
use note::View;
use tokio::{
    sync::Notify,
    time::{interval, sleep, timeout},
};
use types::{Moment, Span, TeamId};
use wire::peer::DrawRequest;

pub use courier::{Courier, TonicCourier};
pub use watch::AllowanceDump;
use watch::Watch;

/// Time for an owner to answer: many times a round trip between zones.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for another node to pass a question on, directly or through a relay, and to answer.
const PASSED_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a request waits for an answer, short compared with callers' objectives.
const MAX_WAIT: Span = Span::from_millis(400);
/// Time between two questions about a team if nobody answers.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two looks at which part of the fleet is reached.
const TICK: Duration = Duration::from_millis(250);
/// How often a question may be passed on: to an owner, by one relay, and once more if their views differ.
const MAX_HOPS: u32 = 3;

/// A token of a team's allowance.
#[derive(Debug)]
pub struct Token {
    team: TeamId,
    expires: Moment,
}

/// A request that waits for an answer. Its place is free again if it is dropped.
struct Waiting<'a> {
    allowances: &'a Allowances,
    team: Option<&'a TeamId>,
}

impl Waiting<'_> {
    /// Ends the wait as the request takes again.
    fn end(mut self) {
        self.team = None;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(team) = self.team {
            self.allowances.core().purse.leave(team);
        }
    }
}

struct Core {
    owner: Owner,
    purse: Purse,
    reach: Reach,
    /// The view that the members are from.
    view: Weak<View>,
    /// The view whose members connections are kept to.
    connected: Weak<View>,
    /// Wakes the requests that wait for an answer, by team.
    answered: HashMap<TeamId, Arc<Notify>>,
    watch: Watch,
}

/// The allowances of teams, as this node knows and grants them.
pub struct Allowances {
    board: Arc<Board>,
    courier: Arc<dyn Courier>,
    metrics: Arc<Metrics>,
    core: Mutex<Core>,
}

impl Allowances {
    /// Creates the state of a node that holds no tokens, and asks other nodes through `courier`.
    pub fn new(board: Arc<Board>, courier: Arc<dyn Courier>, metrics: Arc<Metrics>) -> Arc<Self> {
        let now = board.clock.now();
        let core = Core {
            owner: Owner::new(now),
            purse: Purse::default(),
            reach: Reach::new(board.identity.node, now),
            view: Weak::new(),
            connected: Weak::new(),
            answered: HashMap::new(),
            watch: Watch::default(),
        };
        Arc::new(Self {
            board,
            courier,
            metrics,
            core: Mutex::new(core),
        })
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core
            .lock()
            .expect("no thread panics while holding this lock")
    }

    /// Checks which part of the fleet is reached, while a team has an allowance, until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        loop {
            ticks.tick().await;
            self.tick();
        }
    }

    fn tick(self: &Arc<Self>) {
        let view = self.board.view();
        let mut teams = view.state.teams.values();
        if teams.all(|team| team.item.allowance.is_none()) {
            return;
        }
        let now = self.board.clock.now();
        let mut core = self.core();
        core.set_view(&view, now);
        if !core.connected.ptr_eq(&core.view) {
            core.connected = Weak::clone(&core.view);
            let members = core.reach.members().iter();
            self.courier
                .retain(&members.map(|member| member.node).collect());
        }
        for probe in core.reach.tick(now) {
            self.metrics.record_control_message("probe");
            tokio::spawn(Arc::clone(self).probe(probe));
        }
        let share = core.reach.share();
        core.owner.tick(share, now);
        core.purse.tick(now);
        core.answered
            .retain(|_, notify| Arc::strong_count(notify) > 1);
        core.watch.tick(now);
    }

    /// Takes a token for a request of a team, `None` if the team has no allowance.
    ///
    /// # Errors
    ///
    /// [`Rejection::OverAllowance`] if there is no room, [`Rejection::AllowanceUnknown`] if no owner answers.
    pub async fn take(
        self: &Arc<Self>,
        team: &TeamId,
        deadline: Moment,
    ) -> Result<Option<Token>, Rejection> {
        let Some(terms) = terms_of(&self.board.view(), team) else {
            return Ok(None);
        };
        let started_at = self.board.clock.now();
        let latest = (started_at + MAX_WAIT).min(deadline);
        let mut waiting = None;
        let result = loop {
            // An answer that comes after the take must find the request waiting.
            let notify = self.core().notify(team);
            let mut answered = pin!(notify.notified());
            answered.as_mut().enable();
            let now = self.board.clock.now();
            let again = waiting.take().map(Waiting::end).is_some();
            let take = self.core().purse.take(team, terms, again, now);
            match take {
                Take::Granted { expires } => {
                    let team = team.clone();
                    break Ok(Some(Token { team, expires }));
                }
                Take::Refused { retry_at } => {
                    let retry_after = retry_at.since(now);
                    break Err(Rejection::OverAllowance { retry_after });
                }
                Take::Ask(question) => {
                    let asking = Arc::clone(self).ask_and_store(team.clone(), terms, question);
                    tokio::spawn(asking);
                }
                Take::Wait => {}
            }
            waiting = Some(Waiting {
                allowances: self,
                team: Some(team),
            });
            let left = latest.since(self.board.clock.now()).duration();
            if timeout(left, answered).await.is_err() {
                break Err(Rejection::AllowanceUnknown);
            }
        };
        let outcome = match &result {
            Ok(_) => "granted",
            Err(rejection) => rejection.name(),
        };
        let label = self.core().watch.record(team, outcome, started_at);
        self.metrics.record_team(label, outcome);
        result
    }

    /// Counts a request of a team that was rejected as keys aren't proven.
    pub fn record_unproven(&self, team: &TeamId) {
        let outcome = Rejection::KeysUnproven.name();
        let now = self.board.clock.now();
        let label = self.core().watch.record(team, outcome, now);
        self.metrics.record_team(label, outcome);
    }

    /// Returns the token of a request that was not run.
    pub fn give_back(&self, token: Token) {
        let now = self.board.clock.now();
        self.core().purse.give_back(&token.team, token.expires, now);
    }

    async fn ask_and_store(self: Arc<Self>, team: TeamId, terms: Terms, question: Question) {
        let sent_at = self.board.clock.now();
        let drawn = self.ask(&team, terms, question).await;
        if drawn.is_none() {
            sleep(RETRY_INTERVAL).await;
        }
        let now = self.board.clock.now();
        let mut core = self.core();
        match drawn {
            Some(drawn) => core.purse.put(&team, question, drawn, sent_at, now),
            None => core.purse.fail(&team),
        }
        core.notify(&team).notify_waiters();
    }

    /// Asks the owner of a team, and then those that may reach it or replace it.
    async fn ask(
        self: &Arc<Self>,
        team: &TeamId,
        terms: Terms,
        question: Question,
    ) -> Option<Drawn> {
        let now = self.board.clock.now();
        let (order, failing) = {
            let mut core = self.core();
            core.set_view(&self.board.view(), now);
            let order = owners(team, core.reach.members());
            let failing: Vec<_> = order.iter().map(|m| m.node).collect();
            let failing = failing.into_iter();
            let failing: Vec<_> = failing
                .filter(|node| core.reach.is_failing(*node, now))
                .collect();
            (order, failing)
        };
        for (rank, member) in candidates(&order).into_iter().enumerate() {
            let request = draw_request(team, terms, question, MAX_HOPS);
            let wait = match rank {
                0 => ANSWER_TIMEOUT,
                _ => PASSED_TIMEOUT,
            };
            let reply = match member.node {
                node if node == self.board.identity.node => {
                    Some(self.answer(team, terms, question, MAX_HOPS).await)
                }
                node if failing.contains(&node) => None,
                node => self.send(node, request, wait).await,
            };
            if let Some(reply) = reply.filter(|reply| reply.reached) {
                let now = self.board.clock.now();
                return Some(Drawn {
                    tokens: reply.granted,
                    room_at: now + Span(reply.room_after),
                    retry_at: now + Span(reply.retry_after),
                });
            }
        }
        None
    }
}

impl Core {
    fn notify(&mut self, team: &TeamId) -> Arc<Notify> {
        Arc::clone(self.answered.entry(team.clone()).or_default())
    }

    /// Takes the members of the fleet from a view.
    fn set_view(&mut self, view: &Arc<View>, now: Moment) {
        if self.view.as_ptr() == Arc::as_ptr(view) {
            return;
        }
        self.view = Arc::downgrade(view);
        self.reach.set_members(members_of(view), now);
        self.owner.retain(|team| terms_of(view, team).is_some());
    }
}

/// The nodes of a view in the order of their addresses.
fn members_of(view: &View) -> Vec<Member> {
    let servers = view.state.servers.values().map(|entry| &entry.item);
    let mut members: Vec<_> = servers
        .filter(|server| view.state.service(&server.service).is_some())
        .map(|server| Member {
            node: server.node,
            zone: server.zone.clone(),
        })
        .collect();
    members.sort_by_key(|member| member.node);
    members.dedup_by_key(|member| member.node);
    members
}

fn terms_of(view: &View, team: &TeamId) -> Option<Terms> {
    let allowance = view.state.teams.get(team)?.item.allowance?;
    Some(Terms {
        rate: allowance.rate,
        burst: allowance.burst,
        revision: view.revision,
    })
}

fn draw_request(team: &TeamId, terms: Terms, question: Question, hops: u32) -> DrawRequest {
    DrawRequest {
        team: team.to_string(),
        rate: terms.rate.per_second(),
        burst: terms.burst,
        revision: terms.revision.0,
        wanted: question.wanted,
        waiting: question.waiting,
        refused: question.refused,
        hops,
        node: String::new(),
    }
}
