//! What is evidence about requests under which the backend server ends.

use std::sync::Arc;

use attempt::RequestIdentity;
use board::Board;
use bytes::Bytes;
use fixtures::board;
use fleet::Verdict;
use types::{Header, Moment, Refusal, Span};

use super::{attempt, request, server, server_request};
use crate::evidence::Evidence;

/// A gate's evidence at a moment.
struct Gate {
    board: Arc<Board>,
    evidence: Evidence,
    now: Moment,
}

impl Gate {
    fn new() -> Self {
        let board = board();
        Self {
            now: board.clock.now(),
            board,
            evidence: Evidence::default(),
        }
    }

    fn after(mut self, ms: u64) -> Self {
        self.now = self.now + Span::from_millis(ms);
        self
    }

    fn started(mut self, seq: u64, path: &str, trial: bool) -> Self {
        self.evidence
            .record_start(attempt(seq), request(path), trial, self.now);
        self
    }

    fn answered(mut self, seq: u64) -> Self {
        self.evidence
            .record_answer(attempt(seq), &self.board, self.now);
        self
    }

    fn broken(mut self, seq: u64) -> Self {
        self.evidence.record_broken(attempt(seq), self.now);
        self
    }

    fn alive(mut self) -> Self {
        self.evidence.record_alive(self.now);
        self
    }

    fn ended(mut self) -> Self {
        self.evidence.record_ended(&server(), &self.board, self.now);
        self
    }

    fn silent(mut self) -> Self {
        self.evidence
            .record_silent(&server(), self.now, &self.board, self.now);
        self
    }

    fn conclude_trials(&mut self) -> usize {
        self.evidence
            .conclude_trials(&server(), &self.board, self.now)
    }

    fn verdict(&self, path: &str) -> Verdict {
        request(path).verdict(&self.board, self.now)
    }

    fn refusal(&self, path: &str, trial: bool) -> Option<Refusal> {
        self.evidence
            .refusal(&request(path), trial, &self.board, self.now)
    }
}

#[test]
fn a_request_that_the_server_has_just_answered_is_no_suspect_when_it_ends() {
    let gate = Gate::new().started(1, "/popular", false).answered(1);
    let gate = gate.after(10).started(2, "/popular", true);
    let gate = gate.started(3, "/rare", false);
    let gate = gate.after(10).broken(2).broken(3).ended();
    assert_eq!(gate.verdict("/popular"), Verdict::Clear);
    assert_eq!(gate.verdict("/rare"), Verdict::Suspect);
}

#[test]
fn broken_connections_are_no_evidence_if_the_server_answers_afterwards() {
    let gate = Gate::new().started(1, "/rare", false).broken(1);
    let gate = gate.after(1).alive().after(19).ended();
    assert_eq!(gate.verdict("/rare"), Verdict::Clear);
}

#[test]
fn requests_of_different_callers_are_not_equal() {
    let identity = |caller| RequestIdentity::new(&server_request("/p", Some(caller)));
    assert_ne!(
        identity("fees").fingerprint(),
        identity("prizes").fingerprint()
    );
}

#[test]
fn a_request_is_the_same_at_each_node_that_takes_it() {
    let identity = |host: &'static str| {
        let mut request = server_request("/p", Some("fees"));
        request.headers.push(Header {
            name: "host".into(),
            value: Bytes::from_static(host.as_bytes()),
        });
        RequestIdentity::new(&request).fingerprint()
    };
    assert_eq!(identity("127.0.0.1:80"), identity("[::1]:81"));
    assert_eq!(identity("a.example"), identity("A.example:80"));
    assert_ne!(identity("a.example"), identity("b.example"));
}

#[test]
fn a_suspect_waits_until_it_is_known_whether_the_server_ended_under_an_equal_one() {
    let gate = Gate::new().started(1, "/rare", false).broken(1).ended();
    let gate = gate.started(2, "/rare", true).broken(2);
    assert_eq!(gate.refusal("/rare", true), Some(Refusal::Quarantined));
}

#[test]
fn a_server_runs_one_suspect_at_a_time() {
    let gate = Gate::new().started(1, "/rare", false).broken(1);
    let gate = gate.started(2, "/other", false).broken(2).ended();
    let gate = gate.started(3, "/rare", true);
    assert_eq!(gate.refusal("/other", true), Some(Refusal::Quarantined));
}

#[test]
fn a_suspect_runs_only_where_its_ingress_has_its_trial() {
    let gate = Gate::new().started(1, "/rare", false).broken(1).ended();
    assert_eq!(gate.refusal("/rare", false), Some(Refusal::Quarantined));
    assert_eq!(gate.refusal("/rare", true), None);
}

#[test]
fn a_trial_that_broke_is_evidence_if_the_server_is_silent_afterwards() {
    let gate = Gate::new().started(1, "/rare", true);
    let gate = gate.started(2, "/other", false);
    let gate = gate.broken(1).broken(2).silent();
    assert!(matches!(gate.verdict("/rare"), Verdict::Held(_)));
    assert_eq!(
        gate.verdict("/other"),
        Verdict::Clear,
        "it may be overloaded"
    );
}

#[test]
fn a_trial_that_broke_is_evidence_if_nothing_is_heard_of_the_server() {
    let gate = Gate::new().started(1, "/rare", true).broken(1);
    let mut gate = gate.after(2_000);
    assert_eq!(gate.conclude_trials(), 1);
    assert!(matches!(gate.verdict("/rare"), Verdict::Held(_)));
}

#[test]
fn a_trial_whose_caller_left_is_evidence_unless_the_server_lives() {
    let mut gate = Gate::new().started(1, "/rare", true);
    let was_trial = gate.evidence.record_broken(attempt(1), gate.now);
    assert!(was_trial);
    let mut gate = gate.after(1).alive().after(1_999);
    assert_eq!(gate.conclude_trials(), 0);
    let gate = gate.started(2, "/rare", true).broken(2).ended();
    assert!(matches!(gate.verdict("/rare"), Verdict::Held(_)));
}
