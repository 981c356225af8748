//! Tokens that an ingress holds, by team.

use std::collections::HashMap;

use types::{Moment, Span, TeamId};

use crate::{Drawn, GRANT_TERM, Terms};

/// Time over which the use of a team is counted.
const USE_WINDOW: Span = Span::from_millis(1_000);
/// Shortest time between questions about a team without room: a few round trips between nodes, so that refusals of
/// a busy team cost few messages.
const MIN_DRY: Span = Span::from_millis(20);
/// Longest time until which a refused request is told to return.
const MAX_RETRY: Span = Span::from_millis(5_000);
/// Most tokens in one question.
const MAX_WANTED: u32 = 10_000;

/// What an ingress asks of a team's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Number of tokens wanted, at least one for each request that waits.
    pub wanted: u32,
    /// Requests that the ingress has refused by itself since its last question.
    pub refused: u32,
}

/// What an ingress does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// It runs.
    Granted {
        /// When the token would expire, for [`Purse::give_back`].
        expires: Moment,
    },
    /// It is refused, as the team is over its allowance.
    Refused {
        /// When there is room for it.
        retry_at: Moment,
    },
    /// The ingress asks the owner, passes on the answer, and takes again.
    Ask(Question),
    /// The answer to a question is awaited, after which the ingress takes again.
    Wait,
}

/// A team without room at its owner.
#[derive(Debug, Clone, Copy)]
struct Dry {
    until: Moment,
    /// When there is room for the next request that is refused.
    retry_at: Moment,
    /// Refused requests that the owner counts already.
    counted: u32,
}

#[derive(Debug, Default)]
struct Pocket {
    /// Tokens by the moment at which they expire.
    tokens: Vec<(Moment, u32)>,
    asking: bool,
    /// Requests that were told to wait and haven't taken again.
    waiting: u32,
    dry: Option<Dry>,
    /// Requests refused since the last question.
    refused: u32,
    /// Requests in the current and in the last window.
    used: [u32; 2],
    window_start: Moment,
}

impl Pocket {
    fn count(&mut self, now: Moment) {
        let elapsed = now.since(self.window_start).0 / USE_WINDOW.0;
        match elapsed {
            0 => {}
            1 => self.used = [0, self.used[0]],
            _ => self.used = [0, 0],
        }
        if elapsed > 0 {
            self.window_start = now;
        }
        self.used[0] = self.used[0].saturating_add(1);
    }

    fn pop(&mut self, now: Moment) -> Option<Moment> {
        self.tokens
            .retain(|(expires, left)| *expires > now && *left > 0);
        let (expires, left) = self.tokens.first_mut()?;
        *left -= 1;
        Some(*expires)
    }

    /// The tokens used in half of the time for which a grant is valid, so that few expire.
    fn wanted(&self) -> u32 {
        let used = u64::from(self.used[1]) * GRANT_TERM.0 / (2 * USE_WINDOW.0);
        (used as u32).max(self.waiting).min(MAX_WANTED)
    }

    fn is_idle(&self, now: Moment) -> bool {
        !self.asking
            && self.waiting == 0
            && self.refused == 0
            && now.since(self.window_start) > USE_WINDOW.scale(2.0)
    }
}

/// The tokens of an ingress.
#[derive(Debug, Default)]
pub struct Purse {
    pockets: HashMap<TeamId, Pocket>,
}

impl Purse {
    /// Takes a token for a request. `again` is set if the request has waited for an answer.
    pub fn take(&mut self, team: &TeamId, terms: Terms, again: bool, now: Moment) -> Take {
        let pocket = self.pockets.entry(team.clone()).or_default();
        match again {
            true => pocket.waiting = pocket.waiting.saturating_sub(1),
            false => pocket.count(now),
        }
        if let Some(expires) = pocket.pop(now) {
            return Take::Granted { expires };
        }
        match pocket.dry {
            Some(dry) if now < dry.until => {
                let step = 1.0 / terms.rate.per_second().max(f64::MIN_POSITIVE);
                let step = Span((step * 1e6).min(1e6) as u64);
                if dry.counted == 0 {
                    pocket.refused = pocket.refused.saturating_add(1);
                }
                pocket.dry = Some(Dry {
                    retry_at: (dry.retry_at + step).min(now + MAX_RETRY),
                    counted: dry.counted.saturating_sub(1),
                    ..dry
                });
                Take::Refused {
                    retry_at: dry.retry_at,
                }
            }
            _ if pocket.asking => {
                pocket.waiting = pocket.waiting.saturating_add(1);
                Take::Wait
            }
            _ => {
                pocket.waiting = pocket.waiting.saturating_add(1);
                let question = Question {
                    waiting: pocket.waiting,
                    wanted: pocket.wanted(),
                    refused: pocket.refused,
                };
                pocket.asking = true;
                pocket.refused = 0;
                pocket.dry = None;
                Take::Ask(question)
            }
        }
    }

    /// Adds what was granted for a question that was sent at `sent_at`. Moments of the answer are on the
    /// ingress's clock.
    pub fn put(
        &mut self,
        team: &TeamId,
        question: Question,
        drawn: Drawn,
        sent_at: Moment,
        now: Moment,
    ) {
        let pocket = self.pockets.entry(team.clone()).or_default();
        pocket.asking = false;
        let expires = sent_at + GRANT_TERM;
        if drawn.tokens > 0 && now < expires {
            pocket.tokens.push((expires, drawn.tokens));
        }
        if drawn.tokens < question.waiting {
            let until = drawn.room_at.max(now + MIN_DRY);
            pocket.dry = Some(Dry {
                until,
                retry_at: drawn.retry_at.max(until),
                counted: question.waiting - drawn.tokens,
            });
        }
    }

    /// Ends the wait of a request that doesn't take again.
    pub fn leave(&mut self, team: &TeamId) {
        if let Some(pocket) = self.pockets.get_mut(team) {
            pocket.waiting = pocket.waiting.saturating_sub(1);
        }
    }

    /// Ends a question that nobody has answered.
    pub fn fail(&mut self, team: &TeamId) {
        if let Some(pocket) = self.pockets.get_mut(team) {
            pocket.asking = false;
        }
    }

    /// Returns the token of a request that was not run.
    pub fn give_back(&mut self, team: &TeamId, expires: Moment, now: Moment) {
        if now < expires {
            let pocket = self.pockets.entry(team.clone()).or_default();
            pocket.tokens.push((expires, 1));
        }
    }

    /// Drops what is held for teams that send nothing any more.
    pub fn tick(&mut self, now: Moment) {
        self.pockets.retain(|_, pocket| !pocket.is_idle(now));
    }

    /// Returns the number of teams that the purse holds anything for.
    pub fn teams(&self) -> usize {
        self.pockets.len()
    }
}
