//! Requests under which backend servers end.
//!
//! A request that crashes the backend server that runs it must not be sent to one server after
//! the other. Each time, its id is another one, so equal requests are recognized by their
//! [`Fingerprint`]. Each node has the same evidence about them, by gossip:
//!
//! - *Ends.* The gate of a backend server that has ended names all requests that ran there. Servers
//!   also end for other reasons, so most of these requests were merely there.
//! - *Answers.* A request that has been answered since then is no suspect any more. Popular requests are
//!   answered elsewhere within moments.
//!
//! [`Verdict`] follows from the ends since the last answer. After some, the request is a suspect, however many
//! servers ended: they may have been stopped together while a popular request ran on all of them. A suspect
//! is on *trial*: it is sent to one server, the same from all nodes, which runs one at a time. If that
//! server ends as well, the request is held back for a while, which is longer with each further trial
//! that ends a server, and is a suspect again afterwards.
//!
//! The evidence is a set of ends and a latest answer for each request, so merging it needs no order. It
//! expires, and the number of requests is bounded.

use std::collections::BTreeMap;

use types::{Fingerprint, Moment, Span};

/// Maximum number of requests with evidence. The one with the oldest evidence is dropped first.
const MAX_REQUESTS: usize = 1_024;
/// Maximum number of ends that are kept for a request, the latest ones.
const MAX_ENDS: usize = 8;
/// Time for which a request is held back after a trial has ended a server. It doubles with each further
/// one.
const HOLD_TIME: Span = Span::from_millis(30_000);
/// Time for which an end is evidence, and the longest time for which a request is held back.
const EVIDENCE_TTL: Span = Span::from_millis(900_000);
/// Time for which a request is a suspect without a trial.
const SUSPECT_TTL: Span = Span::from_millis(60_000);

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent like any other.
    Clear,
    /// It may be sent to one server only, as a trial.
    Suspect,
    /// It must not be sent before this time.
    Held(Moment),
}

/// The end of a backend server while a request ran there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerEnd {
    /// Random identifier, which its gate draws.
    pub id: u64,
    /// When it ended.
    pub at: Moment,
    /// Whether the request was on trial there.
    pub trial: bool,
}

/// The evidence about one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ends of backend servers, the latest last.
    pub ends: Vec<ServerEnd>,
    /// When the latest answer arrived, zero if there is none.
    pub answered_at: Moment,
}

impl Evidence {
    fn last_at(&self) -> Moment {
        let ended = self.ends.iter().map(|end| end.at).max();
        ended.unwrap_or_default().max(self.answered_at)
    }

    /// Adds what `other` has. Returns whether that was new.
    fn merge(&mut self, other: &Self) -> bool {
        let (ends, unanswered) = (self.ends.len(), self.unanswered().count());
        for end in &other.ends {
            if !self.ends.iter().any(|known| known.id == end.id) {
                self.ends.push(*end);
            }
        }
        let has_new = self.ends.len() > ends;
        self.ends.sort_by_key(|end| end.at);
        let excess = self.ends.len().saturating_sub(MAX_ENDS);
        self.ends.drain(..excess);
        self.answered_at = self.answered_at.max(other.answered_at);
        has_new || self.unanswered().count() != unanswered
    }

    /// The ends since the latest answer.
    pub fn unanswered(&self) -> impl Iterator<Item = &ServerEnd> {
        self.ends.iter().filter(|end| end.at > self.answered_at)
    }

    /// Time from which the request is clear unless a server ends again.
    fn clear_from(&self) -> Moment {
        let trial = self.unanswered().any(|end| end.trial);
        let ttl = if trial { EVIDENCE_TTL } else { SUSPECT_TTL };
        let last = self.unanswered().map(|end| end.at).max();
        last.map_or(Moment(0), |last| last + ttl)
    }

    fn verdict(&self, now: Moment) -> Verdict {
        let is_valid = |end: &&ServerEnd| end.at + EVIDENCE_TTL > now;
        let ends = || self.unanswered().filter(is_valid);
        let Some(last) = ends().map(|end| end.at).max() else {
            return Verdict::Clear;
        };
        let trials = ends().filter(|end| end.trial).count();
        let release = last + Span((HOLD_TIME.0 << trials) / 2);
        match trials {
            0 if last + SUSPECT_TTL <= now => Verdict::Clear,
            1.. if now < release => Verdict::Held(release),
            _ => Verdict::Suspect,
        }
    }
}

/// Evidence about all requests that ran while a backend server ended.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    requests: BTreeMap<Fingerprint, Evidence>,
    /// Time from which no request is a suspect or held back, as far as is known.
    clear_from: Moment,
}

impl Quarantine {
    /// Whether any request may be a suspect or held back at `now`.
    pub fn has_suspects(&self, now: Moment) -> bool {
        now < self.clear_from
    }

    /// Whether there is no evidence about any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether there is evidence about a request with this hash of all but the body.
    pub fn has_head(&self, head: u32) -> bool {
        self.requests
            .range(Fingerprint::range(head))
            .next()
            .is_some()
    }

    /// What may be done with a request at `now`.
    pub fn verdict(&self, request: Fingerprint, now: Moment) -> Verdict {
        let evidence = self.requests.get(&request);
        evidence.map_or(Verdict::Clear, |evidence| evidence.verdict(now))
    }

    /// Records that a backend server ended while the request ran there. Returns whether that is new.
    pub fn record_end(&mut self, request: Fingerprint, end: ServerEnd) -> bool {
        let evidence = Evidence {
            ends: vec![end],
            answered_at: Moment(0),
        };
        self.merge(request, &evidence, end.at)
    }

    /// Records an answer to a request. Returns whether it changes the verdict on it.
    pub fn record_answer(&mut self, request: Fingerprint, now: Moment) -> bool {
        match self.requests.get_mut(&request) {
            Some(evidence) if evidence.verdict(now) != Verdict::Clear => {
                evidence.answered_at = now;
                self.update_clear_from();
                true
            }
            _ => false,
        }
    }

    /// Merges evidence that a peer has. Returns whether any of it is new.
    pub fn merge(&mut self, request: Fingerprint, other: &Evidence, now: Moment) -> bool {
        if !self.requests.contains_key(&request) {
            self.make_room(now);
        }
        let changed = self.requests.entry(request).or_default().merge(other);
        self.update_clear_from();
        changed
    }

    fn update_clear_from(&mut self) {
        let times = self.requests.values().map(Evidence::clear_from);
        self.clear_from = times.max().unwrap_or_default();
    }

    /// The requests that have evidence, those with the latest one first.
    pub fn latest(&self) -> Vec<(Fingerprint, &Evidence)> {
        let mut all: Vec<_> = self.requests.iter().map(|(id, e)| (*id, e)).collect();
        all.sort_by_key(|(_, evidence)| std::cmp::Reverse(evidence.last_at()));
        all
    }

    /// Drops what has expired, and the oldest if there is no room for another request.
    fn make_room(&mut self, now: Moment) {
        self.requests
            .retain(|_, evidence| evidence.last_at() + EVIDENCE_TTL > now);
        if self.requests.len() >= MAX_REQUESTS {
            let oldest = self.requests.iter().min_by_key(|(_, e)| e.last_at());
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.requests.remove(&oldest);
            }
        }
    }
}
