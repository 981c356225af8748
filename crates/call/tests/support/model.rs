//! What the model is made of.

use std::collections::BTreeMap;

use call::{
    AttemptIndex, Call, CallOutcome, GateSession, Selection, ServerSelector, SessionAttempt,
};
use gate::{Gate, Offer};
use types::{AttemptId, Boot, Moment, Outcome, ServerId, Span};

use super::GATES;

/// Distance of the gates' clocks from the ingresses'.
const CLOCK_STEP: Span = Span::from_millis(77_000);

/// Which mechanism is left out, to see that the checks notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Without {
    /// None.
    Nothing,
    /// Requests count as idempotent, so silence sends them elsewhere.
    Care,
    /// A gate says "not run" of an attempt that never came, but doesn't bar it.
    Bars,
    /// A gate forgets everything now and then, as a fence with a timer would.
    Memory,
    /// Deadlines travel as spans, so they stretch while a message waits.
    Moments,
}

/// One step. The numbers pick among what there is.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    Begin(u8),
    Deliver(u16),
    Repeat(u16),
    Lose(u16),
    End(u16, u8),
    Wait(u8),
    RestartGate(u8),
    RestartIngress(u8),
    Abandon(u16),
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
    Ask {
        boot: Boot,
        id: AttemptId,
        to: usize,
        call: usize,
        attempt: AttemptIndex,
        cancel: bool,
    },
    Reply {
        call: usize,
        attempt: AttemptIndex,
        outcome: Outcome,
    },
}

pub(super) struct Running {
    pub(super) call: usize,
    /// Whether the backend server began, which a connection that failed rules out.
    pub(super) id: AttemptId,
}

pub(super) struct Process {
    pub(super) gate: Gate,
    /// Who waits for which attempt.
    pub(super) waiting: Vec<(AttemptId, usize, AttemptIndex)>,
    pub(super) running: Vec<Running>,
    /// Call that each attempt belongs to.
    pub(super) owners: BTreeMap<AttemptId, usize>,
}

pub(super) struct Ingress {
    pub(super) boot: Boot,
    pub(super) links: Vec<Option<GateSession>>,
}

pub(super) struct Caller {
    pub(super) call: Call,
    pub(super) ingress: Boot,
    pub(super) at: usize,
    pub(super) deadline: Moment,
    pub(super) sent: BTreeMap<AttemptIndex, (usize, SessionAttempt)>,
    pub(super) told: Vec<CallOutcome>,
    pub(super) alive: bool,
}

pub(super) struct Any {
    pub(super) turn: usize,
}

impl ServerSelector for Any {
    fn select(&mut self, tried: &[ServerId], declined: &[ServerId]) -> Option<Selection> {
        let ids = (0..GATES).map(|at| server((self.turn + at) % GATES));
        let mut left = ids.filter(|id| !tried.contains(id));
        match left.next() {
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

pub(super) fn server(at: usize) -> ServerId {
    format!("server-{at}").parse().expect("a name")
}

pub(super) fn place(id: &ServerId) -> usize {
    id.as_str()
        .trim_start_matches("server-")
        .parse()
        .expect("a number")
}

pub(super) fn clock(gate: usize, now: Moment) -> Moment {
    now + CLOCK_STEP.scale(gate as f64)
}
