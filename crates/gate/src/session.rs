//! Records of attempts, by session.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use types::{Answer, AttemptId, Boot, Moment, Seq, SessionId};

/// State of an attempt.
#[derive(Debug, Clone)]
pub(crate) enum AttemptState {
    /// Queued or running.
    Pending,
    /// Not started, and never to be started.
    NotRun,
    /// Run to its end, with this answer.
    Answered(Arc<Answer>),
    /// Started, without an answer that the gate could repeat.
    Unknown,
}

impl AttemptState {
    fn size(&self) -> u64 {
        match self {
            Self::Answered(answer) => answer.body.len() as u64,
            _ => 0,
        }
    }
}

/// Why the state of an attempt isn't available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LookupError {
    /// The attempt is addressed to another incarnation of the gate.
    WrongBoot,
    /// The session is evicted, so the attempt may have run.
    Evicted,
    /// The ingress has settled the attempt.
    Settled,
}

#[derive(Debug)]
struct Session {
    ingress: Boot,
    floor: Seq,
    attempts: BTreeMap<Seq, AttemptState>,
    last_used: Moment,
}

/// All sessions of one incarnation of a gate.
#[derive(Debug)]
pub(crate) struct Sessions {
    boot: Boot,
    last_id: SessionId,
    sessions: BTreeMap<SessionId, Session>,
    /// Bytes of the answer bodies that are kept.
    answer_bytes: u64,
    max_sessions: usize,
    max_attempts: usize,
    max_bytes: u64,
}

impl Sessions {
    pub(crate) fn new(boot: Boot, sessions: usize, attempts: usize, answer_bytes: u64) -> Self {
        Self {
            boot,
            last_id: SessionId(0),
            sessions: BTreeMap::new(),
            answer_bytes: 0,
            max_sessions: sessions,
            max_attempts: attempts,
            max_bytes: answer_bytes,
        }
    }

    /// Opens a session for `ingress`. Evicts the least recently used session if there are too many.
    pub(crate) fn open(&mut self, ingress: Boot, now: Moment) -> SessionId {
        if self.sessions.len() >= self.max_sessions {
            self.evict_oldest();
        }
        self.last_id = SessionId(self.last_id.0 + 1);
        let session = Session {
            ingress,
            floor: Seq(0),
            attempts: BTreeMap::new(),
            last_used: now,
        };
        self.sessions.insert(self.last_id, session);
        self.last_id
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .sessions
            .iter()
            .min_by_key(|(_, s)| s.last_used)
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.evict(id);
        }
    }

    fn evict(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        self.answer_bytes -= session
            .attempts
            .values()
            .map(AttemptState::size)
            .sum::<u64>();
    }

    fn find(&mut self, id: AttemptId) -> Result<&mut Session, LookupError> {
        match self.sessions.get_mut(&id.session) {
            _ if id.boot != self.boot => Err(LookupError::WrongBoot),
            None => Err(LookupError::Evicted),
            Some(session) if id.seq < session.floor => Err(LookupError::Settled),
            Some(session) => Ok(session),
        }
    }

    /// Raises the session's floor: drops the records below `floor`, which the ingress has settled.
    /// Returns the attempts among them that were pending.
    pub(crate) fn raise_floor(&mut self, id: AttemptId, floor: Seq, now: Moment) -> Vec<AttemptId> {
        let Ok(session) = self.find(id) else {
            return Vec::new();
        };
        session.last_used = now;
        if floor <= session.floor {
            return Vec::new();
        }
        let rest = session.attempts.split_off(&floor);
        let settled = std::mem::replace(&mut session.attempts, rest);
        session.floor = floor;
        self.answer_bytes -= settled.values().map(AttemptState::size).sum::<u64>();
        let pending = settled
            .into_iter()
            .filter(|(_, state)| matches!(state, AttemptState::Pending));
        pending.map(|(seq, _)| AttemptId { seq, ..id }).collect()
    }

    /// State of an attempt, `None` if it has never arrived.
    pub(crate) fn state(&mut self, id: AttemptId) -> Result<Option<AttemptState>, LookupError> {
        self.find(id)
            .map(|session| session.attempts.get(&id.seq).cloned())
    }

    /// Records the state of an attempt, in place of an earlier one. An answer that exceeds the
    /// limit on bytes is recorded as `Unknown`, and a session with too many attempts is evicted.
    pub(crate) fn record(&mut self, id: AttemptId, state: AttemptState) {
        let total = self.answer_bytes + state.size();
        let state = if total > self.max_bytes {
            AttemptState::Unknown
        } else {
            state
        };
        let size = state.size();
        let max = self.max_attempts;
        let Ok(session) = self.find(id) else { return };
        let before = match session.attempts.entry(id.seq) {
            Entry::Occupied(mut entry) => entry.insert(state).size(),
            Entry::Vacant(entry) => {
                entry.insert(state);
                0
            }
        };
        let full = session.attempts.len() > max;
        self.answer_bytes = self.answer_bytes + size - before;
        if full {
            self.evict(id.session);
        }
    }

    /// Numbers of sessions and of recorded attempts, and bytes of the answer bodies that are kept.
    pub(crate) fn sizes(&self) -> (usize, usize, u64) {
        let attempts = self.sessions.values().map(|s| s.attempts.len()).sum();
        (self.sessions.len(), attempts, self.answer_bytes)
    }

    /// Incarnations of the ingresses that hold sessions.
    pub(crate) fn ingresses(&self) -> impl Iterator<Item = Boot> {
        self.sessions.values().map(|s| s.ingress)
    }
}
