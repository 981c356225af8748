//! Upper bounds of what can be served, against loads worked out by hand and against the emulator.

use rig::{
    bound::{Assumptions, Bound, Load, LoadError, bound},
    emulator::{Kind, Options, play},
};
use serde_json::{Value, json};
use types::{RouteId, Span};

/// A bound may lie above the exact one by this factor, as the search ends early.
const LOOSE: f64 = 1.03;

fn load(value: Value) -> Load {
    serde_json::from_value(value).expect("a load")
}

fn generous(value: Value) -> Bound {
    bound(&load(value), Assumptions::Generous).expect("a sound load")
}

fn route(name: &str) -> RouteId {
    name.parse().expect("a valid identifier")
}

fn assert_close(bound: f64, exact: f64) {
    assert!(bound >= exact * 0.9999, "{bound} is below {exact}");
    assert!(bound <= exact * LOOSE, "{bound} is far above {exact}");
}

/// One service of ten slots, which serves 100 requests of 100 ms a second, while `rate` arrive for ten seconds.
fn one_service(rate: f64) -> Value {
    json!({
        "duration_ms": 10_000,
        "services": { "draws": { "slots": 5, "servers": { "a": 1, "b": 1 } } },
        "kinds": { "draw": {
            "services": ["draws"], "work_ms": 100, "objective_ms": 100, "deadline_ms": 100, "worth": 2,
        } },
        "arrivals": [{ "kind": "draw", "rate": rate }],
    })
}

#[test]
fn all_of_a_load_that_fits_can_be_served() {
    let bound = generous(one_service(95.0));
    assert_close(bound.worth, 1_900.0);
    assert_close(bound.reached, bound.owed);
    assert_close(bound.kinds[&route("draw")].alone, 950.0);
}

#[test]
fn of_twice_what_fits_half_is_served() {
    // The last arrivals may be served in the window after them, too.
    let bound = generous(one_service(200.0));
    assert_close(bound.worth, 2.0 * 1_010.0);
    assert!(bound.reached <= bound.worth && bound.reached > 0.95 * bound.worth);
    assert_close(
        bound.peaks[&"draws".parse().expect("a valid identifier")],
        2.0,
    );
}

#[test]
fn what_can_wait_is_carried_over_until_its_objective() {
    let burst = |objective_ms: u64| {
        let mut value = one_service(50.0);
        value["kinds"]["draw"]["objective_ms"] = objective_ms.into();
        value["kinds"]["draw"]["deadline_ms"] = objective_ms.into();
        value["events"] =
            json!([{ "from_ms": 2_000, "until_ms": 3_000, "surge": { "factor": 6.0 } }]);
        generous(value).worth / 2.0
    };
    // All that is served until its last requests are due goes to the burst, as the usual ones can
    // wait as long.
    assert_close(burst(100), 450.0 + 110.0);
    assert_close(burst(1_000), 450.0 + 200.0);
}

#[test]
fn the_worth_of_a_second_decides_what_is_served() {
    let mut value = one_service(100.0);
    value["kinds"]["cup"] = json!({
        "services": ["draws"], "work_ms": 50, "objective_ms": 100, "deadline_ms": 100, "worth": 2,
    });
    value["arrivals"] = json!([
        { "kind": "draw", "rate": 100.0 },
        { "kind": "cup", "rate": 120.0 },
    ]);
    let bound = generous(value);
    // 1,200 cups take 60 s of 101 s of slots, the rest goes to draws.
    assert_close(bound.worth, 2.0 * (1_200.0 + 410.0));
    let (cup, draw) = (bound.kinds[&route("cup")], bound.kinds[&route("draw")]);
    assert!(cup.in_time > 1_100.0 && draw.in_time < 500.0, "{bound:?}");
    assert_close(draw.alone, 1_000.0);
}

#[test]
fn nested_work_counts_at_the_service_that_it_needs() {
    let mut value = one_service(80.0);
    value["services"]["fees"] = json!({ "slots": 2, "servers": { "a": 1 } });
    value["kinds"]["check"] = json!({ "services": ["fees"], "work_ms": 25 });
    value["kinds"]["draw"]["nested"] = json!([{ "kind": "check", "count": 2.0, "rounds": 1.0 }]);
    // Two slots give 80 checks a second, enough for 40 draws.
    assert_close(generous(value.clone()).worth, 2.0 * 404.0);
    // While checks run, draws hold their slots: four times 100 ms and 75 ms a second and slot.
    value["services"]["fees"]["servers"]["a"] = 100.into();
    value["kinds"]["check"]["work_ms"] = 75.into();
    assert_close(generous(value).worth, 2.0 * 577.1);
}

#[test]
fn late_answers_count_for_less() {
    let mut value = one_service(50.0);
    value["kinds"]["draw"]["deadline_ms"] = 5_000.into();
    value["kinds"]["draw"]["late_worth"] = 1.0.into();
    value["events"] = json!([{ "from_ms": 2_000, "until_ms": 3_000, "surge": { "factor": 6.0 } }]);
    // As above 560 in time; the other 190 of the burst are served late.
    assert_close(generous(value).worth, 2.0 * 560.0 + 190.0);
}

#[test]
fn work_beyond_the_objective_is_late() {
    let mut value = one_service(50.0);
    value["kinds"]["draw"]["parts"] =
        json!([{ "share": 0.9, "factor": 0.5 }, { "share": 0.1, "factor": 1.5 }]);
    assert_close(generous(value).worth, 2.0 * 450.0);
}

#[test]
fn servers_that_are_withdrawn_gone_or_cold_serve_less() {
    let with = |change: Value| {
        let mut value = one_service(100.0);
        let mut event = change;
        event["from_ms"] = 2_000.into();
        event["until_ms"] = 6_000.into();
        value["events"] = json!([event]);
        value["services"]["draws"]["cold"] = json!({ "slowdown": 2.0, "starts": 5.0 });
        generous(value).worth / 2.0
    };
    let withdrawn =
        |grace_ms: u64| with(json!({ "withdrawn": { "zone": "a", "grace_ms": grace_ms } }));
    // All later requests can move by a window, which leaves one free, as the last window is idle.
    assert_close(withdrawn(0), 600.0 + 200.0 + 10.0);
    assert_close(withdrawn(3_000), 900.0 + 50.0 + 10.0);
    let gone = json!({ "gone": { "share": 0.25, "service": "draws" } });
    assert_close(with(gone), 600.0 + 300.0 + 10.0);
    // The cold server serves 25 requests a second by its speed, and 5 by its limit.
    let cold = json!({ "cold": { "zone": "a" } });
    assert_close(with(cold), 600.0 + 220.0 + 10.0);
}

#[test]
fn slow_servers_count_where_likely_figures_are_asked_for() {
    let mut value = one_service(200.0);
    value["services"]["draws"]["spells"] = json!({ "share": 0.25, "slowdown": 4.0 });
    value["services"]["draws"]["knee"] = json!({ "share": 0.6, "slowdown": 2.0 });
    let worth = |assumptions| {
        let bound = bound(&load(value.clone()), assumptions).expect("a sound load");
        bound.worth / 2.0
    };
    // Three of five slots run at full speed, and the others at two thirds and at half of it.
    assert_close(worth(Assumptions::Generous), 2.0 * 41.6667 * 10.1);
    // At best three run at a time, at 0.8125 of the speed.
    assert_close(worth(Assumptions::Likely), 2.0 * 30.0 * 0.8125 * 10.1);
}

#[test]
fn faulty_loads_are_refused() {
    let fault = |change: fn(&mut Value)| {
        let mut value = one_service(1.0);
        change(&mut value);
        load(value).check().expect_err("a faulty load")
    };
    let unknown = fault(|v| v["kinds"]["draw"]["services"] = json!(["fees"]));
    assert!(matches!(unknown, LoadError::UnknownService(_)), "{unknown}");
    let unknown = fault(|v| v["arrivals"][0]["kind"] = "cup".into());
    assert!(matches!(unknown, LoadError::UnknownKind(_)), "{unknown}");
    let cycle = fault(|v| {
        v["kinds"]["draw"]["nested"] = json!([{ "kind": "draw", "count": 1.0, "rounds": 1.0 }]);
    });
    assert!(matches!(cycle, LoadError::Cycle(_)), "{cycle}");
    let nowhere = fault(|v| v["kinds"]["draw"]["services"] = json!([]));
    assert!(matches!(nowhere, LoadError::Services(_)), "{nowhere}");
    let zero = fault(|v| v["window_ms"] = 0.into());
    assert!(matches!(zero, LoadError::Zero("window_ms")), "{zero}");
    let zero = fault(|v| {
        v["services"]["draws"]["cold"] = json!({ "slowdown": 0.0, "starts": 5.0 });
    });
    assert!(matches!(zero, LoadError::Zero("slowdown")), "{zero}");
}

/// The load of the emulator: work differs by up to three tenths, and a quarter of the servers is slow.
fn emulated(orders: u64, lookups: u64) -> Value {
    let service = json!({
        "slots": 4, "servers": { "zone": 12 }, "spells": { "share": 0.25, "slowdown": 4.0 },
    });
    let parts: Vec<Value> = (0..6)
        .map(|part| json!({ "share": 1.0 / 6.0, "factor": 0.7 + 0.1 * f64::from(part) }))
        .collect();
    json!({
        "duration_ms": 6_000,
        "services": { "service-0": service, "service-1": service },
        "kinds": {
            "order": {
                "services": ["service-0"], "work_ms": 120, "objective_ms": 450, "deadline_ms": 900,
                "worth": 1.0, "late_worth": 0.5, "parts": parts,
                "nested": [{ "kind": "check", "count": 2.0, "rounds": 2.0 }],
            },
            "lookup": {
                "services": ["service-1"], "work_ms": 120, "objective_ms": 450, "deadline_ms": 900,
                "worth": 3.0, "late_worth": 0.5, "parts": parts,
            },
            "check": { "services": ["service-1"], "work_ms": 40 },
        },
        "arrivals": [{ "kind": "order", "rate": orders }, { "kind": "lookup", "rate": lookups }],
    })
}

#[test]
fn no_play_of_the_emulator_is_above_the_bound() {
    for (orders, lookups) in [(260, 260), (400, 100), (100, 400)] {
        let load = load(emulated(orders, lookups));
        // The emulator's servers are slow at any moment, and nothing is withdrawn there.
        let bound = bound(&load, Assumptions::Likely).expect("a sound load");
        for (seed, learns) in [(1, true), (2, true), (3, true), (1, false)] {
            let counts = play(&Options {
                seed,
                duration: Span::from_millis(6_000),
                orders,
                lookups,
                learns,
                nested_waits: false,
            });
            let (order, lookup) = (counts[&Kind::Order], counts[&Kind::Lookup]);
            let worth = order.in_time as f64
                + 3.0 * lookup.in_time as f64
                + 0.5 * (order.late + lookup.late) as f64;
            let at = format!("{orders} and {lookups}, seed {seed}: {counts:?}, {bound:?}");
            assert!(worth <= bound.worth, "{at}");
            assert!(
                order.in_time as f64 <= bound.kinds[&route("order")].alone,
                "{at}"
            );
            assert!(
                lookup.in_time as f64 <= bound.kinds[&route("lookup")].alone,
                "{at}"
            );
        }
        assert!(
            bound.worth < bound.owed * 0.99,
            "the load is one that binds: {bound:?}"
        );
    }
}
