//! Backend servers that reject every request as misdirected, as they run under other ids than those
//! that the registry lists.

use std::collections::VecDeque;

use call::{Action, Call, CallRequest, Selection, ServerSelector, Timeouts, TokenBucket};
use gate::{Action as GateAction, Completion, Gate, Offer, Rank, RetentionLimits};
use note::Limits;
use types::{AttemptId, Boot, Moment, Outcome, Seq, ServerId, SessionId, Span};

const START: Moment = Moment(10_000_000);
const SERVERS: [&str; 3] = ["a", "b", "c"];
const CALLS: u64 = 400;
/// Retries of the whole fleet that the platform allows: a share of the requests, and a number
/// beyond it in each window.
const ALLOWED_RATIO: f64 = 0.2;
const ALLOWED_BURST: f64 = 56.0;
/// Retry ratio of a node, half of the platform's.
const NODE_RATIO: f64 = 0.1;
const NODES: usize = 12;

struct Untried;

impl ServerSelector for Untried {
    fn select(&mut self, tried: &[ServerId], _declined: &[ServerId]) -> Option<Selection> {
        let servers = SERVERS.map(|name| name.parse().expect("a valid name"));
        let server = servers.into_iter().find(|id| !tried.contains(id))?;
        Some(Selection {
            server,
            has_alternatives: true,
        })
    }
}

struct Fleet {
    gates: Vec<(Gate, SessionId)>,
    budget: TokenBucket,
    next_seq: u64,
    arrivals: u64,
}

impl Fleet {
    fn new() -> Self {
        let gate = |_| {
            let mut gate = Gate::new(Boot(1), Limits::default(), RetentionLimits::default());
            let session = gate.open_session(Boot(2), START);
            gate.set_open(true);
            gate.extend_lease(Moment::MAX);
            (gate, session)
        };
        Self {
            gates: SERVERS.iter().map(gate).collect(),
            budget: TokenBucket::for_fleet(ALLOWED_BURST, NODES),
            next_seq: 0,
            arrivals: 0,
        }
    }

    /// Offers an attempt to a gate, whose backend server rejects it if it is sent there.
    fn offer(&mut self, server: &ServerId, fail_fast: bool, now: Moment) -> Outcome {
        let index = SERVERS.iter().position(|name| *name == server.as_str());
        let (gate, session) = &mut self.gates[index.expect("a known server")];
        self.next_seq += 1;
        let id = AttemptId {
            boot: Boot(1),
            session: *session,
            seq: Seq(self.next_seq),
        };
        let offer = Offer {
            id,
            floor: Seq(self.next_seq),
            deadline: now + Span::from_millis(1_000),
            fail_fast,
            is_retry: false,
            refusal: None,
            rank: Rank::default(),
        };
        let mut actions = VecDeque::from(gate.offer(offer, now));
        while let Some(action) = actions.pop_front() {
            match action {
                GateAction::Reply(_, outcome) => return outcome,
                GateAction::Start(id, _) => {
                    self.arrivals += 1;
                    actions.extend(gate.complete(id, Completion::Misdirected, now));
                }
                GateAction::Cancel(_) | GateAction::Probe => {}
            }
        }
        panic!("the gate didn't reply to an attempt");
    }

    /// Runs a call to its end.
    fn run_call(&mut self, now: Moment) {
        let request = CallRequest {
            idempotent: true,
            is_retry: false,
            deadline: now + Span::from_millis(800),
            max_attempts: 3,
        };
        let timeouts = Timeouts {
            reply_timeout: Span::from_millis(500),
            hedge_delay: Span::from_millis(500),
            query_interval: Span::from_millis(100),
        };
        self.budget.deposit(NODE_RATIO);
        let mut call = Call::new(request, timeouts);
        let mut actions = VecDeque::from(call.start(now, &mut Untried));
        while let Some(action) = actions.pop_front() {
            if let Action::Send {
                attempt,
                server,
                fail_fast,
                ..
            } = action
            {
                let outcome = self.offer(&server, fail_fast, now);
                let budget = &mut self.budget;
                actions.extend(call.on_outcome(attempt, outcome, now, &mut Untried, budget));
            }
        }
        assert!(call.is_finished());
    }
}

#[test]
fn requests_rejected_by_replaced_backend_servers_stay_within_the_retry_budget() {
    let mut fleet = Fleet::new();
    for number in 0..CALLS {
        // A gate that stops sending to a replaced server tries it again after a while.
        fleet.run_call(START + Span::from_millis(number * 2_000));
    }
    let repeats = fleet.arrivals.saturating_sub(CALLS) as f64;
    let allowed = CALLS as f64 * ALLOWED_RATIO + ALLOWED_BURST;
    assert!(
        repeats <= allowed,
        "{repeats} arrivals beyond the first of each request, {allowed} allowed"
    );
}
