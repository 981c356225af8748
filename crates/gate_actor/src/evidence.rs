//! Evidence about requests under which the backend server ends.
//!
//! A broken connection alone doesn't show that the backend server has ended. Requests that broke count as
//! evidence once a new connection is refused or another incarnation answers, and are dropped as soon as the
//! same one answers a later request. A trial that broke is evidence unless that happens.
//! A request that this server has answered within the last seconds was merely there when it ended.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
};

use attempt::RequestIdentity;
use board::Board;
use fleet::{ServerEnd, Verdict};
use types::{AttemptId, Fingerprint, Moment, Refusal, ServerId, Span};

/// Time after requests broke within which a refused connection or a new incarnation shows that the backend
/// server ended under them.
const CONFIRM_TIME: Span = Span::from_millis(2_000);

/// Time for which an answer exempts equal requests from suspicion.
const EXEMPT_TIME: Span = Span::from_millis(5_000);
/// Maximum number of requests whose answers are remembered.
const MAX_ANSWERED: usize = 1_024;

#[derive(Debug)]
struct RunningRequest {
    identity: RequestIdentity,
    started_at: Moment,
    /// Whether it is on trial, see [`fleet::Quarantine`].
    trial: bool,
}

#[derive(Debug, Clone, Copy)]
struct BrokenRequest {
    request: Fingerprint,
    broken_at: Moment,
    trial: bool,
}

/// The requests that run at the backend server, and those whose connections have broken.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    running: HashMap<AttemptId, RunningRequest>,
    broken: Vec<BrokenRequest>,
    /// When each request was last answered, by a hash that only this process uses.
    answered: HashMap<u64, Moment>,
    hasher: RandomState,
}

impl Evidence {
    /// Records that a request is sent to the backend server.
    pub(super) fn record_start(
        &mut self,
        id: AttemptId,
        identity: RequestIdentity,
        trial: bool,
        now: Moment,
    ) {
        let running = RunningRequest {
            identity,
            started_at: now,
            trial,
        };
        self.running.insert(id, running);
    }

    /// Records that a request ended without a response: its connection broke, or was closed by this node as
    /// nobody waited any more. Returns whether it was on trial.
    pub(super) fn record_broken(&mut self, id: AttemptId, now: Moment) -> bool {
        let Some(running) = self.running.remove(&id) else {
            return false;
        };
        self.broken
            .retain(|b| b.trial || b.broken_at + CONFIRM_TIME >= now);
        if !self.is_exempt(&running.identity, now) {
            self.broken.push(BrokenRequest {
                request: running.identity.fingerprint(),
                broken_at: now,
                trial: running.trial,
            });
        }
        running.trial
    }

    fn is_exempt(&self, identity: &RequestIdentity, now: Moment) -> bool {
        let answered = self.answered.get(&self.hasher.hash_one(identity));
        answered.is_some_and(|at| *at + EXEMPT_TIME > now)
    }

    fn remember_answer(&mut self, identity: &RequestIdentity, now: Moment) {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.retain(|_, at| *at + EXEMPT_TIME > now);
        }
        if self.answered.len() < MAX_ANSWERED {
            self.answered.insert(self.hasher.hash_one(identity), now);
        }
    }

    /// Records that a request was answered. It is no suspect any more. Returns whether it was one.
    pub(super) fn record_answer(&mut self, id: AttemptId, board: &Board, now: Moment) -> bool {
        let Some(running) = self.running.remove(&id) else {
            return false;
        };
        self.broken.retain(|b| b.broken_at > running.started_at);
        self.remember_answer(&running.identity, now);
        if running.identity.verdict(board, now) == Verdict::Clear {
            return false;
        }
        let request = running.identity.fingerprint();
        let clear = |q: &mut fleet::Quarantine| q.clear(request, now);
        let is_cleared = board.quarantine.send_if_modified(clear);
        if is_cleared {
            log::info!(request:% = request, attempt:% = id; "suspect_cleared");
        }
        is_cleared
    }

    /// Records that a request ended without evidence.
    pub(super) fn record_other(&mut self, id: AttemptId) {
        self.running.remove(&id);
    }

    /// Records that the backend server answered a probe sent at `sent_at`.
    pub(super) fn record_alive(&mut self, sent_at: Moment) {
        self.broken.retain(|b| b.broken_at > sent_at);
    }

    /// Records that the backend server has ended, as it refused a connection or another incarnation is at
    /// its address: the requests that broke were running there. Returns the number of requests with new
    /// evidence.
    pub(super) fn record_ended(&mut self, server: &ServerId, board: &Board, now: Moment) -> usize {
        let broken = std::mem::take(&mut self.broken);
        record_ends(broken, server, board, now)
    }

    /// Takes a trial that broke some time ago to have ended the backend server, if nothing has shown since
    /// then that it hasn't. Else a server that isn't probed would have one trial after the other.
    pub(super) fn conclude_trials(
        &mut self,
        server: &ServerId,
        board: &Board,
        now: Moment,
    ) -> usize {
        let is_overdue = |b: &mut BrokenRequest| b.trial && b.broken_at + CONFIRM_TIME <= now;
        let overdue = self.broken.extract_if(.., is_overdue).collect();
        record_ends(overdue, server, board, now)
    }

    /// Records that the backend server didn't answer a probe sent at `sent_at`. A trial that broke before is
    /// taken to have ended it, as the host of a server that ends may drop packets instead of refusing
    /// connections. Other requests aren't: an overloaded server is silent, too.
    pub(super) fn record_silent(
        &mut self,
        server: &ServerId,
        sent_at: Moment,
        board: &Board,
        now: Moment,
    ) -> usize {
        let is_evidence = |b: &mut BrokenRequest| b.trial && b.broken_at <= sent_at;
        let broken = self.broken.extract_if(.., is_evidence).collect();
        record_ends(broken, server, board, now)
    }

    /// Why a request isn't run at present, if it is a suspect: it is held back, its ingress hasn't chosen
    /// this server for its `trial`, or the server has another one.
    pub(super) fn refusal(
        &self,
        request: &RequestIdentity,
        trial: bool,
        board: &Board,
        now: Moment,
    ) -> Option<Refusal> {
        match request.verdict(board, now) {
            Verdict::Clear => None,
            Verdict::Suspect if trial && !self.has_trial(now) && !self.has_equal(request, now) => {
                None
            }
            Verdict::Suspect | Verdict::Held(_) | Verdict::Blocked => Some(Refusal::Quarantined),
        }
    }

    /// Whether a trial runs, or broke and may have ended the server. Another suspect beside it would be
    /// blamed for that end as well.
    pub(super) fn has_trial(&self, now: Moment) -> bool {
        self.running.values().any(|r| r.trial) || self.unconfirmed(now).any(|b| b.trial)
    }

    fn has_equal(&self, request: &RequestIdentity, now: Moment) -> bool {
        let fingerprint = request.fingerprint();
        self.running.values().any(|r| r.identity == *request)
            || self.unconfirmed(now).any(|b| b.request == fingerprint)
    }

    /// Requests that broke a short time ago, of which it isn't known yet whether they ended the server.
    fn unconfirmed(&self, now: Moment) -> impl Iterator<Item = &BrokenRequest> {
        let is_recent = move |b: &&BrokenRequest| b.broken_at + CONFIRM_TIME > now;
        self.broken.iter().filter(is_recent)
    }
}

/// Records the end of a server under requests that broke. Returns the number of those with new evidence.
fn record_ends(
    requests: Vec<BrokenRequest>,
    server: &ServerId,
    board: &Board,
    now: Moment,
) -> usize {
    let id = rand::random();
    let is_valid = |b: &&BrokenRequest| b.trial || b.broken_at + CONFIRM_TIME >= now;
    let valid = requests.iter().filter(is_valid);
    let ends = valid.filter(|broken| {
        let end = ServerEnd {
            id,
            server: server.clone(),
            at: now,
            trial: broken.trial,
            cleared: false,
        };
        record_end(board, broken.request, end)
    });
    ends.count()
}

fn record_end(board: &Board, request: Fingerprint, end: ServerEnd) -> bool {
    let (server, now, trial) = (end.server.clone(), end.at, end.trial);
    let record = |q: &mut fleet::Quarantine| q.record_end(request, end);
    let is_new = board.quarantine.send_if_modified(record);
    if is_new {
        let verdict = board.quarantine.borrow().verdict(request, now);
        log::warn!(
            request:% = request, server:% = server, trial, verdict = verdict.name();
            "server_ended_under_request"
        );
    }
    is_new
}
