//! Kinds of requests of the emulated load.

use smol_str::{SmolStr, format_smolstr};
use types::Span;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A caller's request to the first service, which sends two checks in the course of its work.
    Order,
    /// A nested request to the second service.
    Check,
    /// A caller's urgent request to the second service.
    Lookup,
}

impl Kind {
    pub(super) fn service(self) -> usize {
        match self {
            Self::Order => 0,
            Self::Check | Self::Lookup => 1,
        }
    }

    pub(super) fn work(self) -> Span {
        match self {
            Self::Order | Self::Lookup => Span::from_millis(120),
            Self::Check => Span::from_millis(40),
        }
    }

    pub(super) fn objective(self) -> Span {
        match self {
            Self::Order | Self::Lookup => Span::from_millis(450),
            Self::Check => Span::from_millis(120),
        }
    }

    pub(super) fn deadline(self) -> Span {
        match self {
            Self::Order | Self::Lookup => Span::from_millis(900),
            Self::Check => Span::from_millis(400),
        }
    }

    pub(super) fn priority(self) -> u32 {
        match self {
            Self::Lookup => 0,
            Self::Check => 1,
            Self::Order => 2,
        }
    }

    pub(super) fn route(self) -> SmolStr {
        format_smolstr!("{self:?}")
    }
}

/// What callers got, by kind of request.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Requests sent.
    pub asked: u64,
    /// Answered within their objective.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused and not run.
    pub refused: u64,
    /// Failed after a backend server had worked on them.
    pub failed: u64,
    /// Attempts that gates refused.
    pub refusals: u64,
}
