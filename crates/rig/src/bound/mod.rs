//! What a policy with full knowledge could serve of a load at most.
//!
//! Capacity and work are counted as fluids by windows: in each, a service does so much work, has so
//! many slots and, while servers are cold, takes so many requests. A request is served in time if
//! all its work, with that of its nested calls, is done somewhere between its arrival and its
//! objective, in any order and in parts. Real policies can do less, as they know neither the future
//! nor the work of a request and can't interrupt or divide it.

mod capacity;
mod load;
mod prices;

use std::{collections::BTreeMap, fmt::Write};

use types::{RouteId, ServiceId};

use prices::Search;

pub use load::{
    Arrivals, Change, Cold, Event, Kind, Knee, Load, LoadError, Nested, Part, Service, Slowdown,
};

/// How what isn't known exactly about the servers is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assumptions {
    /// In favor of what can be served: a run's speed is set when it starts, so slow periods and
    /// slow servers can be avoided, an order to empty a zone binds after its grace, and servers of
    /// unknown services that leave aren't missed.
    Generous,
    /// Slow servers do less at any moment, an order binds at once, and servers of unknown services
    /// leave each in proportion.
    Likely,
}

/// Bound of one kind of request.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct KindBound {
    /// Requests of callers.
    pub asked: f64,
    /// Served in time by a plan that keeps all limits.
    pub in_time: f64,
    /// Served late by that plan.
    pub late: f64,
    /// The most that any policy can serve in time, also if it serves nothing else.
    pub alone: f64,
}

/// Upper bound of what can be served.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Bound {
    /// Worth of all requests, if each were served in time.
    pub owed: f64,
    /// The most worth that any policy can earn.
    pub worth: f64,
    /// Worth that the plan earns, so the bound is loose by the difference at most.
    pub reached: f64,
    /// Bounds by kind of request.
    pub kinds: BTreeMap<RouteId, KindBound>,
    /// Work that arrives for each service in its heaviest second, by what it can do in that second.
    pub peaks: BTreeMap<ServiceId, f64>,
}

/// Computes the bound of a load.
///
/// # Errors
///
/// [`LoadError`] if the load is faulty.
pub fn bound(load: &Load, assumptions: Assumptions) -> Result<Bound, LoadError> {
    load.check()?;
    let mut bound = Search::new(load, assumptions).run();
    for (name, kind) in &mut bound.kinds {
        let mut alone = load.clone();
        for (other, kind) in &mut alone.kinds {
            kind.worth = f64::from(u8::from(other == name));
            kind.late_worth = 0.0;
        }
        kind.alone = Search::new(&alone, assumptions).run().worth;
    }
    Ok(bound)
}

/// Formats a bound as a table.
pub fn render(bound: &Bound) -> String {
    let mut text = format!(
        "{:<24} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
        "kind", "asked", "in time", "late", "not", "alone"
    );
    for (name, kind) in &bound.kinds {
        let _ = writeln!(
            text,
            "{:<24} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>8.0}",
            name.as_str(),
            kind.asked,
            kind.in_time,
            kind.late,
            (kind.asked - kind.in_time - kind.late).max(0.0),
            kind.alone,
        );
    }
    for (service, peak) in &bound.peaks {
        let _ = writeln!(
            text,
            "{service}: {peak:.2} of its work in the heaviest second"
        );
    }
    let _ = writeln!(
        text,
        "worth at most {:.0} of {:.0} ({:.4}), a plan reaches {:.0}",
        bound.worth,
        bound.owed,
        bound.worth / bound.owed,
        bound.reached,
    );
    text
}
