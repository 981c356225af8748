//! Fates of attempts, by session.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use types::{Answer, AttemptId, Boot, Moment, Seq, SessionId};

/// What is known of an attempt.
#[derive(Debug, Clone)]
pub(crate) enum Fate {
    /// It waits or runs.
    Open,
    /// It never ran here and never will.
    Barred,
    /// It ran, and this is its answer.
    Ran(Arc<Answer>),
    /// It was started and has no answer to give.
    Lost,
}

impl Fate {
    fn size(&self) -> u64 {
        match self {
            Self::Ran(answer) => answer.body.len() as u64,
            _ => 0,
        }
    }
}

/// Why no fate can be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Gap {
    /// The attempt names another incarnation of the gate, which can't have been this one's.
    Elsewhere,
    /// The attempt names a session that this incarnation gave and forgot, so it may have run.
    Forgotten,
    /// The ingress has settled the attempt.
    Settled,
}

#[derive(Debug)]
struct Session {
    ingress: Boot,
    floor: Seq,
    fates: BTreeMap<Seq, Fate>,
    used: Moment,
}

/// All sessions of one incarnation of a gate.
#[derive(Debug)]
pub(crate) struct Sessions {
    boot: Boot,
    last: SessionId,
    list: BTreeMap<SessionId, Session>,
    /// Bytes of the answers kept.
    kept: u64,
    most_sessions: usize,
    most_fates: usize,
    most_kept: u64,
}

impl Sessions {
    pub(crate) fn new(boot: Boot, sessions: usize, fates: usize, kept: u64) -> Self {
        Self {
            boot,
            last: SessionId(0),
            list: BTreeMap::new(),
            kept: 0,
            most_sessions: sessions,
            most_fates: fates,
            most_kept: kept,
        }
    }

    /// Opens a session for `ingress`. The one that was used least lately goes if there are too many.
    pub(crate) fn open(&mut self, ingress: Boot, now: Moment) -> SessionId {
        if self.list.len() >= self.most_sessions {
            self.forget_oldest();
        }
        self.last = SessionId(self.last.0 + 1);
        let session = Session {
            ingress,
            floor: Seq(0),
            fates: BTreeMap::new(),
            used: now,
        };
        self.list.insert(self.last, session);
        self.last
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .list
            .iter()
            .min_by_key(|(_, s)| s.used)
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: SessionId) {
        let Some(session) = self.list.remove(&id) else {
            return;
        };
        self.kept -= session.fates.values().map(Fate::size).sum::<u64>();
    }

    fn find(&mut self, id: AttemptId) -> Result<&mut Session, Gap> {
        match self.list.get_mut(&id.session) {
            _ if id.boot != self.boot => Err(Gap::Elsewhere),
            None => Err(Gap::Forgotten),
            Some(session) if id.seq < session.floor => Err(Gap::Settled),
            Some(session) => Ok(session),
        }
    }

    /// The ingress has settled everything below `floor`: forgets it and bars it.
    pub(crate) fn raise(&mut self, id: AttemptId, floor: Seq, now: Moment) {
        let Ok(session) = self.find(id) else { return };
        session.used = now;
        if floor <= session.floor {
            return;
        }
        let rest = session.fates.split_off(&floor);
        let gone = std::mem::replace(&mut session.fates, rest);
        session.floor = floor;
        self.kept -= gone.values().map(Fate::size).sum::<u64>();
    }

    /// The fate of an attempt, `None` if it never came.
    pub(crate) fn fate(&mut self, id: AttemptId) -> Result<Option<Fate>, Gap> {
        self.find(id)
            .map(|session| session.fates.get(&id.seq).cloned())
    }

    /// Records a fate in place of the one before. A session that holds too many fates is forgotten.
    pub(crate) fn record(&mut self, id: AttemptId, fate: Fate) {
        let kept = self.kept + fate.size();
        let fate = if kept > self.most_kept {
            Fate::Lost
        } else {
            fate
        };
        let size = fate.size();
        let most = self.most_fates;
        let Ok(session) = self.find(id) else { return };
        let before = match session.fates.entry(id.seq) {
            Entry::Occupied(mut entry) => entry.insert(fate).size(),
            Entry::Vacant(entry) => {
                entry.insert(fate);
                0
            }
        };
        let crowded = session.fates.len() > most;
        self.kept = self.kept + size - before;
        if crowded {
            self.forget(id.session);
        }
    }

    /// Number of sessions, of fates, and bytes of answers kept.
    pub(crate) fn sizes(&self) -> (usize, usize, u64) {
        let fates = self.list.values().map(|s| s.fates.len()).sum();
        (self.list.len(), fates, self.kept)
    }

    /// Incarnations of the ingresses that hold sessions.
    pub(crate) fn ingresses(&self) -> impl Iterator<Item = Boot> {
        self.list.values().map(|s| s.ingress)
    }
}
