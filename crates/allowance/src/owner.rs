//! Token buckets of the teams that a node is the owner of.

use std::collections::HashMap;

use types::{Moment, Span, TeamId};

use crate::{GAIN, Question, SETTLED, TAKEOVER, Terms};

/// Longest time until which a refused request is told to return. Room that is promised further ahead would go to
/// others meanwhile.
const MAX_PROMISE: Span = Span::from_millis(5_000);

/// What an owner answers to a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drawn {
    /// Tokens granted, at most the number wanted.
    pub tokens: u32,
    /// When the bucket has its next token.
    pub room_at: Moment,
    /// When there is room for the first request that is refused now, behind all that were refused before. The next
    /// ones follow at the rate.
    pub retry_at: Moment,
}

/// Use of one team's allowance, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamUse {
    /// The team.
    pub team: TeamId,
    /// Tokens in its bucket.
    pub tokens: f64,
    /// Tokens granted since the bucket was created.
    pub granted: u64,
    /// Requests refused since then.
    pub refused: u64,
}

#[derive(Debug)]
struct Bucket {
    terms: Terms,
    tokens: f64,
    filled_at: Moment,
    /// Since when the node is the owner of the team.
    owned_since: Moment,
    /// Until when room is promised to requests that were refused.
    promised: Moment,
    granted: u64,
    refused: u64,
}

impl Bucket {
    fn fill(&mut self, share: f64, now: Moment) {
        let rate = self.terms.rate.per_second() * GAIN * share;
        let gained = rate * seconds(now.since(self.filled_at));
        self.tokens = (self.tokens + gained).min(self.terms.cap() * share);
        self.filled_at = self.filled_at.max(now);
    }

    fn is_full(&self, share: f64) -> bool {
        self.tokens >= self.terms.cap() * share
    }

    /// When the bucket has `tokens`, at most [`MAX_PROMISE`] from now.
    fn time_of(&self, tokens: f64, share: f64, now: Moment) -> Moment {
        let rate = self.terms.rate.per_second() * GAIN * share;
        let missing = (tokens - self.tokens).max(0.0);
        let wait = missing / rate.max(f64::MIN_POSITIVE);
        now + Span((wait * 1e6).min(MAX_PROMISE.0 as f64).ceil() as u64)
    }
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}

/// Grants tokens for the teams that it owns.
///
/// Its rates and buckets are scaled by the share of the fleet that it reaches, as the rest may have an owner of its
/// own. A bucket starts empty if another owner may have granted tokens lately.
#[derive(Debug)]
pub struct Owner {
    buckets: HashMap<TeamId, Bucket>,
    share: f64,
    ticked_at: Moment,
    /// When the node has started or woken up.
    since: Moment,
}

impl Owner {
    /// An owner that has just started and reaches nobody yet.
    pub fn new(now: Moment) -> Self {
        Self {
            buckets: HashMap::new(),
            share: 0.0,
            ticked_at: now,
            since: now,
        }
    }

    /// Sets the share of the fleet that the owner reaches, from 0 to 1. To be called several times a second.
    pub fn tick(&mut self, share: f64, now: Moment) {
        self.detect_pause(now);
        for bucket in self.buckets.values_mut() {
            bucket.fill(self.share, now);
            bucket.fill(share, now);
        }
        self.buckets.retain(|_, bucket| {
            !bucket.is_full(share) || now.since(bucket.promised) == Span::default()
        });
        self.share = share;
        self.ticked_at = now;
    }

    /// Drops the buckets of teams that a successor may have granted for while this process was paused.
    fn detect_pause(&mut self, now: Moment) {
        if now.since(self.ticked_at) >= TAKEOVER {
            self.buckets.clear();
            self.since = now;
            self.share = 0.0;
            self.ticked_at = now;
        }
    }

    /// Answers a question of an ingress. `owned_since` is when this node became the owner of the team.
    ///
    /// `None` while the owner doesn't know yet that it reaches anybody: it can't tell when there is room.
    pub fn draw(
        &mut self,
        team: &TeamId,
        terms: Terms,
        question: Question,
        owned_since: Moment,
        now: Moment,
    ) -> Option<Drawn> {
        self.detect_pause(now);
        let share = self.share;
        if share <= 0.0 {
            return None;
        }
        let since = self.since.max(owned_since);
        // Another node has granted out of a bucket of its own before that.
        let is_stale = |bucket: &Bucket| bucket.owned_since < since;
        if self.buckets.get(team).is_some_and(is_stale) {
            self.buckets.remove(team);
        }
        let bucket = self.buckets.entry(team.clone()).or_insert_with(|| Bucket {
            terms,
            tokens: match now.since(since) >= SETTLED {
                true => terms.cap(),
                false => 0.0,
            },
            filled_at: since,
            owned_since: since,
            promised: now,
            granted: 0,
            refused: 0,
        });
        if terms.revision > bucket.terms.revision {
            bucket.fill(share, now);
            bucket.terms = terms;
        }
        bucket.fill(share, now);
        // Tokens for requests yet to come leave the burst to the other ingresses.
        let spare = bucket.tokens - f64::from(bucket.terms.burst) * share;
        let tokens = (spare as u32)
            .clamp(question.waiting, question.wanted.max(question.waiting))
            .min(bucket.tokens as u32);
        bucket.tokens -= f64::from(tokens);
        bucket.granted += u64::from(tokens);
        let turned_away = question.waiting.saturating_sub(tokens);
        bucket.refused += u64::from(question.refused) + u64::from(turned_away);
        let room_at = bucket.time_of(1.0, share, now);
        let rate = bucket.terms.rate.per_second() * GAIN * share;
        let time_for = |requests: u32| {
            let wait = f64::from(requests) / rate.max(f64::MIN_POSITIVE);
            Span((wait * 1e6).min(MAX_PROMISE.0 as f64) as u64)
        };
        let free_at = bucket.promised.max(room_at);
        let retry_at = (free_at + time_for(question.refused)).min(now + MAX_PROMISE);
        bucket.promised = match question.refused + turned_away {
            0 => bucket.promised,
            _ => (retry_at + time_for(turned_away)).min(now + MAX_PROMISE),
        };
        Some(Drawn {
            tokens,
            room_at,
            retry_at,
        })
    }

    /// Drops the buckets of teams that have another owner now.
    pub fn retain(&mut self, is_owned: impl Fn(&TeamId) -> bool) {
        self.buckets.retain(|team, _| is_owned(team));
    }

    /// Drops the bucket of a team whose owner is reached again.
    pub fn forget(&mut self, team: &TeamId) {
        self.buckets.remove(team);
    }

    /// Returns the use of each team that has a bucket.
    pub fn uses(&self) -> Vec<TeamUse> {
        let uses = self.buckets.iter().map(|(team, bucket)| TeamUse {
            team: team.clone(),
            tokens: bucket.tokens,
            granted: bucket.granted,
            refused: bucket.refused,
        });
        uses.collect()
    }
}
