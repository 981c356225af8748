//! The parts of the simulation.

use std::collections::{BTreeMap, BTreeSet};

use call::{
    AttemptIndex, Call, CallOutcome, GateSession, Selection, ServerSelector, SessionAttempt,
};
use gate::{Gate, Offer, Query};
use types::{AttemptId, Boot, Moment, Outcome, ServerId, Span};

use super::GATES;

/// Clock offset between consecutive gates. The first gate's clock equals the ingresses' clocks.
const CLOCK_OFFSET: Span = Span::from_millis(77_000);

/// The mechanism that a simulation disables, to verify that its absence is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disabled {
    /// No mechanism.
    Nothing,
    /// Retries only after "not run": all requests count as idempotent, so they are also retried
    /// while an earlier attempt may run.
    SettledRetries,
    /// Barring: a gate reports "not run" for an attempt that hasn't arrived, but still accepts it
    /// later.
    Barring,
    /// The gate's records: a restarted gate keeps its incarnation but forgets all attempts, as if
    /// they had expired by a timer.
    Records,
    /// Whole bodies: a gate starts an attempt although its body broke off.
    WholeBodies,
    /// Absolute deadlines: messages carry the remaining time, so a delayed message extends it.
    AbsoluteDeadlines,
}

/// One event of the simulation. A number selects a message, process or call by index, modulo how
/// many there are, except for the second number of `EndRun`, which selects how the run ends, and
/// that of `Wait`, which is in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    StartCall(u8),
    Deliver(u16),
    Duplicate(u16),
    Lose(u16),
    EndRun(u16, u8),
    Wait(u8),
    RestartGate(u8),
    RestartIngress(u8),
    Abandon(u16),
    /// The ingress of a call is about to exit.
    WindDown(u16),
    /// The process of a gate is about to exit.
    DrainGate(u8),
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    Run {
        boot: Boot,
        offer: Offer,
        to: usize,
        call: usize,
        attempt: AttemptIndex,
    },
    /// An attempt without its body.
    Offer {
        boot: Boot,
        offer: Offer,
        to: usize,
        call: usize,
        attempt: AttemptIndex,
    },
    /// The gate awaits the body of an attempt.
    Admitted { call: usize, attempt: AttemptIndex },
    Body {
        boot: Boot,
        id: AttemptId,
        to: usize,
        call: usize,
        attempt: AttemptIndex,
        /// Whether the ingress never sends the end of it.
        is_cut: bool,
    },
    Query {
        boot: Boot,
        id: AttemptId,
        to: usize,
        call: usize,
        attempt: AttemptIndex,
        query: Query,
    },
    Reply {
        call: usize,
        attempt: AttemptIndex,
        outcome: Outcome,
    },
}

pub(super) struct Running {
    pub(super) call: usize,
    pub(super) id: AttemptId,
}

pub(super) struct GateProcess {
    pub(super) gate: Gate,
    /// The calls' attempts that wait for a reply.
    pub(super) waiting: Vec<(AttemptId, usize, AttemptIndex)>,
    pub(super) running: Vec<Running>,
    /// The call that each attempt belongs to.
    pub(super) calls: BTreeMap<AttemptId, usize>,
}

pub(super) struct Ingress {
    pub(super) boot: Boot,
    pub(super) sessions: Vec<Option<GateSession>>,
}

pub(super) struct Caller {
    pub(super) call: Call,
    pub(super) boot: Boot,
    pub(super) ingress: usize,
    pub(super) deadline: Moment,
    pub(super) sent: BTreeMap<AttemptIndex, (usize, SessionAttempt)>,
    /// Whether the body follows an attempt once it is admitted.
    pub(super) is_large: bool,
    /// The attempts whose bodies were sent, as an ingress sends each once.
    pub(super) bodies: BTreeSet<AttemptIndex>,
    /// Whether a gate may have got all of an attempt.
    pub(super) is_sent: bool,
    pub(super) outcomes: Vec<CallOutcome>,
    pub(super) connected: bool,
}

/// Selects untried backend servers in turn, beginning at `first`.
pub(super) struct RoundRobin {
    pub(super) first: usize,
}

impl ServerSelector for RoundRobin {
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection> {
        let ids = (0..GATES).map(|offset| server((self.first + offset) % GATES));
        let mut untried = ids.filter(|id| !tried.contains(id));
        match untried.next() {
            Some(server) => Some(Selection {
                server,
                has_alternatives: true,
            }),
            None => declined.first().map(|server| Selection {
                server: server.clone(),
                has_alternatives: false,
            }),
        }
    }
}

pub(super) fn server(index: usize) -> ServerId {
    format!("server-{index}").parse().expect("a valid name")
}

pub(super) fn gate_index(id: &ServerId) -> usize {
    id.as_str()
        .trim_start_matches("server-")
        .parse()
        .expect("a name from `server`")
}

/// Time that a gate's clock shows at `now` of the ingresses' clocks.
pub(super) fn gate_clock(gate: usize, now: Moment) -> Moment {
    now + CLOCK_OFFSET.scale(gate as f64)
}
