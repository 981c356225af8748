//! Plays ingresses and backend servers of four zones in steps of a millisecond.

use std::{collections::VecDeque, fmt};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use route::{Balancer, ByteCost, LoadReport, Member, PolicyKind, Spill};
use types::{Boot, Moment, ServerId, Span, ZoneId};

const ZONES: usize = 4;
/// Ingresses and backend servers of each zone.
const PEERS: usize = 12;
const SLOTS: usize = 9;
const QUEUE: usize = 18;
const SERVICE_MS: u64 = 140;
const OBJECTIVE_MS: u64 = 300;
const SECONDS: u64 = 25;
/// Seconds that aren't counted, in which the shares settle.
const SETTLING: u64 = 6;

/// What is played.
pub(crate) struct Plan {
    /// Load of each zone, in parts of what its servers bear.
    pub(crate) load: [f64; ZONES],
    /// Amplitude by which the load of the first zone rises and falls every 8 s.
    pub(crate) wave: f64,
    /// What a round trip between zones takes.
    pub(crate) added: Span,
    /// Seconds between which the servers of the first zone are out of the view.
    pub(crate) lost: Option<(u64, u64)>,
    /// Whether shares are computed.
    pub(crate) shares: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            load: [0.5; ZONES],
            wave: 0.0,
            added: Span::from_millis(9),
            lost: None,
            shares: true,
        }
    }
}

/// What callers got.
#[derive(Debug, Default)]
pub(crate) struct Played {
    /// Requests of each zone, and those served within the objective.
    zones: [(usize, usize); ZONES],
    /// Part of the requests that left their zone, in all and in the last 3 s.
    pub(crate) crossing: f64,
    pub(crate) last_crossing: f64,
    /// Standard deviation of the part that leaves in each half second.
    pub(crate) swing: f64,
}

impl Played {
    /// The shares in time of the worst-served and of the best-served zone.
    pub(crate) fn worst_and_best(&self) -> (f64, f64) {
        let shares = self
            .zones
            .iter()
            .map(|(all, good)| *good as f64 / *all as f64);
        shares.fold((1.0, 0.0), |(worst, best), share| {
            (f64::min(worst, share), f64::max(best, share))
        })
    }
}

impl fmt::Display for Played {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

struct Request {
    ingress: usize,
    sent: u64,
    arrives: u64,
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, Request)>,
    waiting: VecDeque<Request>,
}

/// A reply on its way: its server, its request, the load there, and whether it was served.
struct Reply {
    due: u64,
    server: usize,
    request: Request,
    load: u32,
    served: bool,
}

/// Ingresses, backend servers and what passes between them.
pub(crate) struct Fleet {
    plan: Plan,
    ingresses: Vec<Balancer>,
    servers: Vec<Server>,
    requests: Vec<(usize, Request)>,
    replies: Vec<Reply>,
    played: Played,
    rng: SmallRng,
}

fn id(server: usize) -> ServerId {
    format!("server-{server}").parse().expect("a valid name")
}

fn zone(index: usize) -> ZoneId {
    format!("zone-{}", index / PEERS)
        .parse()
        .expect("a valid name")
}

fn at(ms: u64) -> Moment {
    Moment(1_000_000) + Span::from_millis(ms)
}

impl Fleet {
    /// Plays a plan.
    pub(crate) fn play(plan: Plan) -> Played {
        let balancer = |ingress: usize| {
            let rng = SmallRng::seed_from_u64(ingress as u64);
            let balancer = Balancer::new(PolicyKind::default().build(), rng);
            match plan.shares {
                true => balancer.with_spill(Spill::new(ByteCost::default())),
                false => balancer,
            }
        };
        let ingresses = (0..ZONES * PEERS).map(balancer).collect();
        let mut fleet = Self {
            plan,
            ingresses,
            servers: (0..ZONES * PEERS).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            replies: Vec::new(),
            played: Played::default(),
            rng: SmallRng::seed_from_u64(7),
        };
        fleet.set_members(0);
        let (mut counts, mut parts) = ((0, 0), Vec::new());
        let (mut all, mut last) = ((0, 0), (0, 0));
        for now in 0..SECONDS * 1_000 {
            if fleet
                .plan
                .lost
                .is_some_and(|(from, to)| now == from * 1_000 || now == to * 1_000)
            {
                fleet.set_members(now);
            }
            let (sent, crossed) = fleet.step(now);
            let add = |sum: &mut (usize, usize)| *sum = (sum.0 + sent, sum.1 + crossed);
            if now >= SETTLING * 1_000 {
                [&mut counts, &mut all].into_iter().for_each(add);
            }
            if now >= (SECONDS - 3) * 1_000 {
                add(&mut last);
            }
            if now % 500 == 499 && counts.0 > 0 {
                parts.push(part(counts));
                counts = (0, 0);
            }
        }
        let mean = parts.iter().sum::<f64>() / parts.len() as f64;
        let variance = parts.iter().map(|p| (p - mean).powi(2)).sum::<f64>() / parts.len() as f64;
        Played {
            crossing: part(all),
            last_crossing: part(last),
            swing: variance.sqrt(),
            ..fleet.played
        }
    }

    fn set_members(&mut self, now: u64) {
        let is_lost = self
            .plan
            .lost
            .is_some_and(|(from, to)| (from..to).contains(&(now / 1_000)));
        let first = if is_lost { PEERS } else { 0 };
        for (ingress, balancer) in self.ingresses.iter_mut().enumerate() {
            let member = |server: usize| Member {
                id: id(server),
                zone: zone(server),
                local: zone(server) == zone(ingress),
                slots: SLOTS as u32,
            };
            let members = (first..ZONES * PEERS).map(member).collect();
            balancer.set_members(members, Boot(ingress as u64));
            (0..ZONES).for_each(|z| balancer.set_added(&zone(z * PEERS), self.plan.added));
        }
    }

    /// Plays a millisecond. Returns the requests sent, and those that left their zone.
    fn step(&mut self, now: u64) -> (usize, usize) {
        self.deliver_replies(now);
        for server in 0..self.servers.len() {
            self.serve(server, now);
        }
        let (mut sent, mut crossed) = (0, 0);
        for ingress in 0..self.ingresses.len() {
            let phase = now as f64 / 8_000.0 * std::f64::consts::TAU;
            let wave = if ingress < PEERS {
                self.plan.wave * phase.sin()
            } else {
                0.0
            };
            let load = self.plan.load[ingress / PEERS] + wave;
            if self.rng.random::<f64>() < load * SLOTS as f64 / SERVICE_MS as f64 {
                let server = self.send(ingress, now);
                sent += 1;
                crossed += usize::from(server / PEERS != ingress / PEERS);
            }
        }
        (sent, crossed)
    }

    fn send(&mut self, ingress: usize, now: u64) -> usize {
        let balancer = &mut self.ingresses[ingress];
        let selection = balancer.select(&[], &[], at(now)).expect("a server");
        balancer.on_sent(&selection.server);
        let server = (0..self.servers.len()).find(|s| id(*s) == selection.server);
        let server = server.expect("a known server");
        let arrives = now + self.way(ingress, server);
        let request = Request {
            ingress,
            sent: now,
            arrives,
        };
        self.requests.push((server, request));
        server
    }

    /// Milliseconds of one way.
    fn way(&self, ingress: usize, server: usize) -> u64 {
        match ingress / PEERS == server / PEERS {
            true => 0,
            false => self.plan.added.as_millis().div_ceil(2),
        }
    }

    fn serve(&mut self, index: usize, now: u64) {
        let arrived: Vec<Request> = self
            .requests
            .extract_if(.., |(server, request)| {
                *server == index && request.arrives <= now
            })
            .map(|(_, request)| request)
            .collect();
        let server = &mut self.servers[index];
        let done = server.running.extract_if(.., |(end, _)| *end <= now);
        let mut ended: Vec<(Request, bool)> = done.map(|(_, request)| (request, true)).collect();
        for request in arrived {
            match server.waiting.len() < QUEUE {
                true => server.waiting.push_back(request),
                false => ended.push((request, false)),
            }
        }
        while server.running.len() < SLOTS
            && let Some(request) = server.waiting.pop_front()
        {
            server.running.push((now + SERVICE_MS, request));
        }
        let load = (server.running.len() + server.waiting.len()) as u32;
        for (request, served) in ended {
            let due = now + self.way(request.ingress, index);
            self.replies.push(Reply {
                due,
                server: index,
                request,
                load,
                served,
            });
        }
    }

    fn deliver_replies(&mut self, now: u64) {
        let due: Vec<Reply> = self
            .replies
            .extract_if(.., |reply| reply.due <= now)
            .collect();
        for Reply {
            server,
            request,
            load,
            served,
            ..
        } in due
        {
            let report = LoadReport {
                load,
                allowed: SLOTS as u32,
                mean_latency: Span::from_millis(SERVICE_MS),
                slowdown_percent: 100,
                room_after: Span::default(),
            };
            let balancer = &mut self.ingresses[request.ingress];
            balancer.on_closed(&id(server));
            balancer.on_report(&id(server), report, at(now));
            if request.sent >= SETTLING * 1_000 {
                let (all, good) = &mut self.played.zones[request.ingress / PEERS];
                *all += 1;
                *good += usize::from(served && now - request.sent <= OBJECTIVE_MS);
            }
        }
    }
}

fn part((all, part): (usize, usize)) -> f64 {
    part as f64 / all.max(1) as f64
}
