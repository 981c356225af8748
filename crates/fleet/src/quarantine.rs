//! Requests under which backend servers end.
//!
//! A request that crashes the backend server that runs it must not be sent to one server after
//! the other. Each time, its id is another one, so equal requests are recognized by their
//! [`Fingerprint`]. Each node has the same evidence about them, by gossip:
//!
//! - *Ends.* The gate of a backend server that has ended names all requests that ran there. Servers
//!   also end for other reasons, so most of these requests were merely there.
//! - *Answers.* An answer clears the ends that are known where it arrives. Popular requests are answered
//!   elsewhere within moments.
//!
//! [`Verdict`] follows from the ends that aren't cleared. After some, the request is a suspect, however many
//! servers ended: they may have been stopped together while a popular request ran on all of them. A suspect
//! is on *trial*: it is sent to one server, the same from all nodes, which runs no other suspect meanwhile.
//! If that server ends as well, the request is held back for a while and tried once more. If a server ends
//! under the second trial, the request is blocked until an operator clears it. So the trials are bounded in
//! number, not in rate: neither time nor a lack of room makes a blocked request a new one.
//!
//! The evidence is a set of ends, each of which is cleared once, so merging it needs no order and no clock.
//! [`Quarantine::digest`] tells two nodes whether theirs differs.

use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    ops::Bound,
};

use types::{Fingerprint, Moment, ServerId, Span};

/// Maximum number of requests with evidence.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of ends that are kept for a request.
const MAX_ENDS: usize = 8;
/// Time for which a request is held back after a trial has ended a server.
const HOLD_TIME: Span = Span::from_millis(30_000);
/// Time between two trials that shows that the second one followed a hold. Trials closer to each other may
/// have been of two sides of a partition, or of retries before there was any evidence.
const MIN_HELD: Span = Span::from_millis(15_000);

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent like any other.
    Clear,
    /// It may be sent to one server only, as a trial.
    Suspect,
    /// It must not be sent before this time.
    Held(Moment),
    /// It must not be sent until an operator clears it.
    Blocked,
}

impl Verdict {
    /// The name in logs and state dumps.
    pub fn name(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspect => "suspect",
            Self::Held(_) => "held",
            Self::Blocked => "blocked",
        }
    }
}

/// The end of a backend server while a request ran there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEnd {
    /// Random identifier, which its gate draws.
    pub id: u64,
    /// The backend server.
    pub server: ServerId,
    /// When it ended.
    pub at: Moment,
    /// Whether the request was on trial there.
    pub trial: bool,
    /// Whether an answer or an operator has cleared the request since then.
    pub cleared: bool,
}

/// The evidence about one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ends of backend servers, the latest last.
    pub ends: Vec<ServerEnd>,
}

impl Evidence {
    /// The ends that count against the request.
    pub fn uncleared(&self) -> impl Iterator<Item = &ServerEnd> {
        self.ends.iter().filter(|end| !end.cleared)
    }

    fn trials(&self) -> impl Iterator<Item = Moment> {
        self.uncleared().filter(|end| end.trial).map(|end| end.at)
    }

    /// When the latest backend server ended.
    fn last_at(&self) -> Moment {
        let ends = self.ends.iter().map(|end| end.at);
        ends.max().unwrap_or_default()
    }

    /// What distinguishes one state of the evidence from another, whatever the node's clock.
    fn marks(&self) -> Vec<(u64, bool)> {
        let mut marks: Vec<_> = self.ends.iter().map(|e| (e.id, e.cleared)).collect();
        marks.sort_unstable();
        marks
    }

    /// Adds what `other` has. Returns whether that was new.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.marks();
        for end in &other.ends {
            match self.ends.iter_mut().find(|known| known.id == end.id) {
                Some(known) => known.cleared |= end.cleared,
                None => self.ends.push(end.clone()),
            }
        }
        // Trials that count are kept before others, so that further ends never make room for another trial.
        // Times differ between nodes. If they decided, two nodes could tell each other of the same ends for ever.
        self.ends
            .sort_by_key(|end| (!end.cleared, end.trial, end.id));
        let excess = self.ends.len().saturating_sub(MAX_ENDS);
        self.ends.drain(..excess);
        self.ends.sort_by_key(|end| (end.at, end.id));
        self.marks() != before
    }

    fn verdict(&self, now: Moment) -> Verdict {
        let (first, last) = (self.trials().min(), self.trials().max());
        match first.zip(last) {
            None if self.uncleared().next().is_none() => Verdict::Clear,
            None => Verdict::Suspect,
            Some((first, last)) if last.since(first) >= MIN_HELD => Verdict::Blocked,
            Some((_, last)) if now < last + HOLD_TIME => Verdict::Held(last + HOLD_TIME),
            Some(_) => Verdict::Suspect,
        }
    }

    /// How worth keeping the evidence is when there is no room for all: trials before other ends, those
    /// before cleared ones, and then the same at all nodes.
    fn weight(&self) -> (usize, bool, Option<u64>) {
        let is_suspect = self.uncleared().next().is_some();
        let last_id = self.ends.iter().map(|end| end.id).max();
        (self.trials().count(), is_suspect, last_id)
    }
}

/// The evidence about a request, and when it last changed on this node.
#[derive(Debug, Clone)]
struct Record {
    evidence: Evidence,
    changed_at: Moment,
}

impl Record {
    fn digest(&self, request: Fingerprint) -> u64 {
        let mut hasher = DefaultHasher::new();
        (request, self.evidence.marks()).hash(&mut hasher);
        hasher.finish()
    }
}

/// Evidence about all requests that ran while a backend server ended.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    requests: BTreeMap<Fingerprint, Record>,
    digest: u64,
}

impl Quarantine {
    /// Whether there is no evidence about any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a request with this hash of all but the body isn't clear.
    pub fn has_head(&self, head: [u8; 4]) -> bool {
        let mut records = self.requests.range(Fingerprint::range(head));
        records.any(|(_, record)| record.evidence.uncleared().next().is_some())
    }

    /// What may be done with a request at `now`.
    pub fn verdict(&self, request: Fingerprint, now: Moment) -> Verdict {
        let evidence = self.evidence(request);
        evidence.map_or(Verdict::Clear, |evidence| evidence.verdict(now))
    }

    /// The evidence about a request.
    pub fn evidence(&self, request: Fingerprint) -> Option<&Evidence> {
        self.requests.get(&request).map(|record| &record.evidence)
    }

    /// Records that a backend server ended while the request ran there. Returns whether that is new.
    pub fn record_end(&mut self, request: Fingerprint, end: ServerEnd) -> bool {
        let now = end.at;
        self.merge(request, &Evidence { ends: vec![end] }, now)
    }

    /// Clears a request, since it was answered or an operator says so. Returns whether it wasn't clear.
    pub fn clear(&mut self, request: Fingerprint, now: Moment) -> bool {
        let mut evidence = self.evidence(request).cloned().unwrap_or_default();
        evidence.ends.iter_mut().for_each(|end| end.cleared = true);
        self.merge(request, &evidence, now)
    }

    /// Merges evidence that a peer has. Returns whether any of it is new.
    pub fn merge(&mut self, request: Fingerprint, other: &Evidence, now: Moment) -> bool {
        let mut evidence = self.evidence(request).cloned().unwrap_or_default();
        if !evidence.merge(other) {
            return false;
        }
        if !self.requests.contains_key(&request) && !self.make_room(&evidence) {
            return false;
        }
        let record = Record {
            evidence,
            changed_at: now,
        };
        self.digest = self.digest.wrapping_add(record.digest(request));
        let previous = self.requests.insert(request, record);
        self.remove_from_digest(request, previous);
        true
    }

    /// Digest of all evidence, the same on nodes that have the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn remove_from_digest(&mut self, request: Fingerprint, removed: Option<Record>) {
        let digest = removed.map_or(0, |record| record.digest(request));
        self.digest = self.digest.wrapping_sub(digest);
    }

    /// The requests whose evidence has changed since then, the latest first.
    pub fn changed_since(&self, then: Moment) -> Vec<(Fingerprint, &Evidence)> {
        let records = self.requests.iter().filter(|(_, r)| r.changed_at >= then);
        let mut changed: Vec<_> = records.collect();
        changed.sort_by_key(|(_, record)| std::cmp::Reverse(record.changed_at));
        changed.into_iter().map(pair).collect()
    }

    /// Up to `count` requests that follow `after`, from the first one again after the last.
    pub fn page(&self, after: Fingerprint, count: usize) -> Vec<(Fingerprint, &Evidence)> {
        let following = self
            .requests
            .range((Bound::Excluded(after), Bound::Unbounded));
        let wrapped = self.requests.range(..=after);
        following.chain(wrapped).take(count).map(pair).collect()
    }

    /// All requests that have evidence, those with the latest end first.
    pub fn latest(&self) -> Vec<(Fingerprint, &Evidence)> {
        let mut all = self.page(Fingerprint(0), MAX_REQUESTS);
        all.sort_by_key(|(_, evidence)| std::cmp::Reverse(evidence.last_at()));
        all
    }

    /// Drops the evidence that is least worth keeping if there is no room for another request. Returns
    /// whether there is room now; there isn't if `new` would be the one to drop.
    fn make_room(&mut self, new: &Evidence) -> bool {
        if self.requests.len() < MAX_REQUESTS {
            return true;
        }
        let weights = self
            .requests
            .iter()
            .map(|(id, r)| (r.evidence.weight(), *id));
        match weights.min() {
            Some((weight, id)) if weight < new.weight() => {
                let dropped = self.requests.remove(&id);
                self.remove_from_digest(id, dropped);
                true
            }
            _ => false,
        }
    }
}

fn pair<'a>((id, record): (&Fingerprint, &'a Record)) -> (Fingerprint, &'a Evidence) {
    (*id, &record.evidence)
}
