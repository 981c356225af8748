//! Search for the prices of capacity that give the lowest bound.
//!
//! The most worth under all limits is a linear program, and its dual has a price for each limit and
//! window: no plan earns more than the capacity at these prices and what each request is worth
//! beyond the price of the work it needs. This holds for any prices, so a search that ends early
//! gives a bound that is loose, never one that is wrong.

use std::{
    collections::{BTreeMap, VecDeque},
    f64::consts::TAU,
};

use types::{RouteId, ServiceId};

use super::{
    Assumptions, Bound,
    capacity::{Limit, Need, Resource, capacities, needs, resource},
    load::{Arrivals, Change, Event, Load, Part},
};

/// Steps of the search.
const STEPS: u32 = 1_000;
/// Steps without a lower bound after which steps become shorter, and by how much.
const PATIENCE: u32 = 10;
const SHORTER: f64 = 0.8;

/// Time over which the load of a service is taken.
const PEAK_MS: u64 = 1_000;

/// Requests of one kind that arrive in the same window.
struct Batch {
    kind: usize,
    window: usize,
    count: f64,
}

struct KindNeeds {
    name: RouteId,
    worth: f64,
    late_worth: f64,
    /// Work of a request alone that fits in its objective, as a factor of the mean.
    timely: f64,
    /// Windows after the one of arrival in which the work may be done.
    objective: usize,
    deadline: usize,
    parts: Vec<Part>,
    /// Needs at each service that can serve it.
    choices: Vec<Vec<Need>>,
}

impl KindNeeds {
    /// Worth of a second of work.
    fn density(&self) -> f64 {
        let needs = self.choices.iter().flatten();
        let seconds = needs.map(|need| need.amount_of(1.0) - need.amount_of(0.0));
        self.worth / seconds.fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Serves up to `count` requests that arrive in `window` from what is `free` there and in the
    /// `span` windows after it, and returns how many.
    fn serve(
        &self,
        window: usize,
        span: usize,
        count: f64,
        part: &Part,
        free: &mut [Vec<f64>],
    ) -> f64 {
        let windows = window..=window + span;
        let mut left = count;
        for needs in &self.choices {
            let room = |need: &Need| {
                let free: f64 = free[windows.clone()].iter().map(|f| f[need.resource]).sum();
                free / need.amount_of(part.factor)
            };
            let served = needs.iter().map(room).fold(left, f64::min);
            for need in needs {
                let mut amount = served * need.amount_of(part.factor);
                for window in windows.clone() {
                    let free = &mut free[window][need.resource];
                    let taken = amount.min(*free);
                    *free -= taken;
                    amount -= taken;
                }
            }
            left -= served;
        }
        count - left
    }
}

/// Order in which a plan serves requests.
#[derive(Clone, Copy)]
enum Order {
    Arrival,
    /// By the worth of a second of their work, then by arrival.
    Density,
}

/// A way to serve the requests of a batch, and its cost.
#[derive(Clone, Copy)]
struct Way<'a> {
    in_time: bool,
    gain: f64,
    needs: &'a [Need],
    /// Price of what grows with the work of a request, for the mean.
    work: f64,
    /// Price of the rest.
    fixed: f64,
}

/// For each resource and window, the cheapest window in which requests that arrive then can use it.
type Cheapest = Vec<Vec<usize>>;

/// The cheapest windows for answers in time and for late ones.
struct KindCheapest {
    in_time: Cheapest,
    late: Cheapest,
}

impl KindCheapest {
    fn of(&self, in_time: bool) -> &Cheapest {
        match in_time {
            true => &self.in_time,
            false => &self.late,
        }
    }
}

pub(super) struct Search {
    kinds: Vec<KindNeeds>,
    batches: Vec<Batch>,
    services: Vec<ServiceId>,
    /// Windows of the time over which [`Bound::peaks`] are taken.
    peak_windows: usize,
    /// Capacities by window and resource.
    capacities: Vec<Vec<f64>>,
    prices: Vec<Vec<f64>>,
    /// Prices above which no request of mean work can pay.
    top_prices: Vec<f64>,
}

impl Search {
    /// Prepares the search for a checked load.
    pub(super) fn new(load: &Load, assumptions: Assumptions) -> Self {
        let windows = |ms: u64| ms.div_ceil(load.window_ms) as usize;
        let mut names: Vec<&RouteId> = load.arrivals.iter().map(|a| &a.kind).collect();
        names.sort();
        names.dedup();
        let kind_needs = |name: &&RouteId| {
            let kind = &load.kinds[*name];
            KindNeeds {
                name: (*name).clone(),
                worth: kind.worth,
                late_worth: kind.late_worth,
                timely: kind.objective_ms as f64 / kind.work_ms,
                objective: windows(kind.objective_ms),
                deadline: windows(kind.deadline_ms.max(kind.objective_ms)),
                parts: kind.parts.clone(),
                choices: kind.services.iter().map(|s| needs(load, name, s)).collect(),
            }
        };
        let kinds: Vec<KindNeeds> = names.iter().map(kind_needs).collect();
        let last = kinds.iter().map(|kind| kind.deadline).max().unwrap_or(0);
        let window_count = windows(load.duration_ms) + last + 1;
        let capacities: Vec<Vec<f64>> = (0..window_count)
            .map(|window| capacities(load, window as u64 * load.window_ms, assumptions))
            .collect();
        let resource_count = capacities[0].len();
        let mut top_prices = vec![0.0; resource_count];
        for kind in &kinds {
            for need in kind.choices.iter().flatten() {
                let top: &mut f64 = &mut top_prices[need.resource];
                *top = top.max(kind.worth.max(kind.late_worth) / need.amount);
            }
        }
        Self {
            batches: batches(load, &names),
            services: load.services.keys().cloned().collect(),
            peak_windows: windows(PEAK_MS).max(1),
            prices: vec![vec![0.0; resource_count]; window_count],
            kinds,
            capacities,
            top_prices,
        }
    }

    /// Returns the lowest bound that was found, with the better one of two plans that keep the limits.
    pub(super) fn run(mut self) -> Bound {
        let plans = [Order::Arrival, Order::Density].map(|order| self.plan(order));
        let [first, second] = plans;
        let mut bound = match second.reached > first.reached {
            true => second,
            false => first,
        };
        bound.worth = f64::INFINITY;
        bound.peaks = self.peaks();
        let (mut length, mut since) = (1.0, 0);
        for _ in 0..STEPS {
            let (value, used) = self.value();
            since = match value < bound.worth {
                true => 0,
                false => since + 1,
            };
            bound.worth = bound.worth.min(value);
            if since >= PATIENCE {
                (length, since) = (length * SHORTER, 0);
            }
            self.adjust(&used, length * (value - bound.reached).max(0.0));
        }
        bound
    }

    /// Serves batch after batch in the first windows that have room, in time if possible.
    fn plan(&self, order: Order) -> Bound {
        let mut bound = Bound::default();
        let mut free = self.capacities.clone();
        let mut batches: Vec<&Batch> = self.batches.iter().collect();
        batches.sort_by(|a, b| match order {
            Order::Arrival => a.window.cmp(&b.window),
            Order::Density => {
                let density = |batch: &Batch| self.kinds[batch.kind].density();
                density(b).total_cmp(&density(a))
            }
        });
        let mut late = Vec::new();
        for batch in batches {
            let kind = &self.kinds[batch.kind];
            let total = bound.kinds.entry(kind.name.clone()).or_default();
            bound.owed += batch.count * kind.worth;
            total.asked += batch.count;
            for part in &kind.parts {
                let mut count = batch.count * part.share;
                if part.factor <= kind.timely {
                    let served = kind.serve(batch.window, kind.objective, count, part, &mut free);
                    total.in_time += served;
                    bound.reached += served * kind.worth;
                    count -= served;
                }
                late.push((kind, batch.window, part, count));
            }
        }
        for (kind, window, part, count) in late.into_iter().filter(|(.., count)| *count > 0.0) {
            let served = kind.serve(window, kind.deadline, count, part, &mut free);
            let total = bound.kinds.entry(kind.name.clone()).or_default();
            total.late += served;
            bound.reached += served * kind.late_worth;
        }
        bound
    }

    /// The most work that arrives for each service in a second, by the work that it can do in it, if
    /// all requests go to the first service that can serve them.
    fn peaks(&self) -> BTreeMap<ServiceId, f64> {
        let mut arriving = vec![vec![0.0; self.top_prices.len()]; self.prices.len()];
        for batch in &self.batches {
            let kind = &self.kinds[batch.kind];
            for need in kind.choices.iter().take(1).flatten() {
                let parts = kind.parts.iter();
                let amount: f64 = parts.map(|p| p.share * need.amount_of(p.factor)).sum();
                arriving[batch.window][need.resource] += batch.count * amount;
            }
        }
        let peak = |index: usize| {
            let work = resource(index, Limit::Work);
            let sum = |windows: &[Vec<f64>]| windows.iter().map(|w| w[work]).sum::<f64>();
            let seconds = arriving.windows(self.peak_windows);
            let seconds = seconds.zip(self.capacities.windows(self.peak_windows));
            let loads = seconds.map(|(arriving, capacity)| sum(arriving) / sum(capacity));
            loads.fold(0.0, f64::max)
        };
        let services = self.services.iter().enumerate();
        services
            .map(|(index, name)| (name.clone(), peak(index)))
            .collect()
    }

    /// Returns the value of the dual at the present prices, and what is used if each request is
    /// served in the way that pays most.
    fn value(&self) -> (f64, Vec<Vec<f64>>) {
        let mut used = vec![vec![0.0; self.top_prices.len()]; self.prices.len()];
        let mut value = self.capacity_value();
        let cheapest: Vec<KindCheapest> = self.kinds.iter().map(|k| self.cheapest(k)).collect();
        for batch in &self.batches {
            let (kind, cheapest) = (&self.kinds[batch.kind], &cheapest[batch.kind]);
            let ways = self.ways(kind, batch.window, cheapest);
            // Requests and their work, in means, by way.
            let mut served = vec![(0.0, 0.0); ways.len()];
            for part in &kind.parts {
                let fits = |way: &Way<'_>| !way.in_time || part.factor <= kind.timely;
                let profits = ways.iter().zip(&mut served).map(|(way, served)| {
                    let cost = way.work * part.factor + way.fixed;
                    (fits(way), way.gain - cost, served)
                });
                let best = profits
                    .filter(|(fits, profit, _)| *fits && *profit > 0.0)
                    .max_by(|a, b| a.1.total_cmp(&b.1));
                let Some((_, profit, served)) = best else {
                    continue;
                };
                let count = batch.count * part.share;
                value += count * profit;
                served.0 += count;
                served.1 += count * part.factor;
            }
            let served = ways.iter().zip(served);
            for (way, (count, work)) in served.filter(|(_, (count, _))| *count > 0.0) {
                for need in way.needs {
                    let window = cheapest.of(way.in_time)[need.resource][batch.window];
                    used[window][need.resource] += count * need.amount_of(work / count);
                }
            }
        }
        (value, used)
    }

    /// What all capacity is worth at the present prices.
    fn capacity_value(&self) -> f64 {
        let prices = self.prices.iter().flatten();
        prices
            .zip(self.capacities.iter().flatten())
            .filter(|(price, _)| **price > 0.0)
            .map(|(price, capacity)| price * capacity)
            .sum()
    }

    /// The ways to serve requests of a kind that arrive in `window`.
    fn ways<'a>(
        &self,
        kind: &'a KindNeeds,
        window: usize,
        cheapest: &KindCheapest,
    ) -> Vec<Way<'a>> {
        let mut ways = Vec::new();
        for needs in &kind.choices {
            for in_time in [true, false] {
                let gain = match in_time {
                    true => kind.worth,
                    false => kind.late_worth,
                };
                let (mut work, mut fixed) = (0.0, 0.0);
                for need in needs {
                    let at = cheapest.of(in_time)[need.resource][window];
                    let price = self.prices[at][need.resource];
                    fixed += price * need.amount_of(0.0);
                    work += price * (need.amount_of(1.0) - need.amount_of(0.0));
                }
                ways.push(Way {
                    in_time,
                    gain,
                    needs,
                    work,
                    fixed,
                });
            }
        }
        ways
    }

    fn cheapest(&self, kind: &KindNeeds) -> KindCheapest {
        let resources = 0..self.top_prices.len();
        let windows = |span| move |resource| self.cheapest_windows(resource, span);
        KindCheapest {
            in_time: resources.clone().map(windows(kind.objective)).collect(),
            late: resources.map(windows(kind.deadline)).collect(),
        }
    }

    /// For each window, the cheapest one from there to `span` windows later.
    fn cheapest_windows(&self, resource: Resource, span: usize) -> Vec<usize> {
        let price = |window: usize| self.prices[window][resource];
        let mut candidates: VecDeque<usize> = VecDeque::new();
        let mut cheapest = vec![0; self.prices.len()];
        for window in (0..self.prices.len()).rev() {
            while candidates
                .back()
                .is_some_and(|w| price(*w) >= price(window))
            {
                candidates.pop_back();
            }
            candidates.push_back(window);
            while candidates.front().is_some_and(|w| *w > window + span) {
                candidates.pop_front();
            }
            cheapest[window] = candidates[0];
        }
        cheapest
    }

    /// Raises the prices of what is used beyond its capacity and lowers the others, by a step that
    /// would lower the value by `distance` if it were linear.
    fn adjust(&mut self, used: &[Vec<f64>], distance: f64) {
        let mut excess = used.to_vec();
        let mut norm = 0.0;
        for (window, excess) in excess.iter_mut().enumerate() {
            for (resource, excess) in excess.iter_mut().enumerate() {
                // In shares of the top price, as prices differ by their units.
                *excess = match self.capacities[window][resource] {
                    // The price can't fall below zero.
                    capacity if *excess < capacity && self.prices[window][resource] == 0.0 => 0.0,
                    capacity => (*excess - capacity) * self.top_prices[resource],
                };
                norm += *excess * *excess;
            }
        }
        for (prices, excess) in self.prices.iter_mut().zip(excess) {
            for (resource, price) in prices.iter_mut().enumerate() {
                let step = distance * excess[resource] / norm.max(f64::MIN_POSITIVE);
                *price = (*price + step * self.top_prices[resource]).max(0.0);
            }
        }
    }
}

/// Arrivals by kind and window.
fn batches(load: &Load, names: &[&RouteId]) -> Vec<Batch> {
    let seconds = load.window_ms as f64 / 1e3;
    let mut counts: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    for arrivals in &load.arrivals {
        let kind = names.iter().position(|name| **name == arrivals.kind);
        let kind = kind.expect("a kind of the load");
        for at_ms in (0..load.duration_ms).step_by(load.window_ms as usize) {
            let turns = at_ms as f64 / arrivals.period_ms as f64 + arrivals.phase;
            let wave = 1.0 + arrivals.swing * (TAU * turns).sin();
            let surges = load
                .events
                .iter()
                .map(|event| surge(load, event, arrivals, at_ms));
            let rate = arrivals.rate.per_second() * wave * surges.product::<f64>();
            let window = (at_ms / load.window_ms) as usize;
            *counts.entry((kind, window)).or_default() += rate * seconds;
        }
    }
    let batch = |((kind, window), count)| Batch {
        kind,
        window,
        count,
    };
    counts.into_iter().map(batch).collect()
}

/// Factor of the arrivals in the window that begins at `at_ms`.
fn surge(load: &Load, event: &Event, arrivals: &Arrivals, at_ms: u64) -> f64 {
    match &event.change {
        Change::Surge { kind, factor }
            if kind.as_ref().is_none_or(|kind| *kind == arrivals.kind) =>
        {
            let begin = event.from_ms.max(at_ms);
            let end = event.until_ms.min(at_ms + load.window_ms);
            let part = end.saturating_sub(begin) as f64 / load.window_ms as f64;
            1.0 + (factor - 1.0) * part
        }
        _ => 1.0,
    }
}
