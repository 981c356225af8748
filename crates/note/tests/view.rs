//! Tests of applying notes to a view: acceptance, rejection and digests.

use note::{Problem, View};
use serde_json::{Value, json};
use types::Revision;

fn zone(id: &str) -> Value {
    json!({ "id": id, "region": "r" })
}

fn note(after: u64, add: Value, change: Value) -> String {
    json!({ "author": "op", "after": after, "add": add, "change": change }).to_string()
}

fn base() -> View {
    let mut view = View::default();
    let add = json!({ "zones": [zone("a"), zone("b")], "services": [{ "id": "fees" }] });
    assert_eq!(view.apply(&note(0, add, json!({}))), vec![]);
    view
}

#[test]
fn note_that_conflicts_with_unseen_change_is_rejected_entirely() {
    let mut view = base();
    let out = json!({ "zones": [{ "id": "a", "region": "r", "status": "out" }] });
    assert_eq!(view.apply(&note(1, json!({}), out)), vec![]);

    let stale = json!({ "zones": [zone("a"), { "id": "b", "region": "r", "status": "out" }] });
    let before = view.state.clone();
    let faults = view.apply(&note(1, json!({}), stale));

    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].place, "change.zones[0]");
    assert_eq!(
        faults[0].problem,
        Problem::Clash {
            changed: Revision(2)
        }
    );
    assert_eq!(
        view.state, before,
        "a rejected note must not change the state"
    );
    assert_eq!(
        view.revision,
        Revision(3),
        "a rejected note must advance the revision"
    );
    assert_eq!(view.rejected.len(), 1);
}

#[test]
fn check_lists_all_faults_with_their_places() {
    let mut view = base();
    let add = json!({
        "zones": [zone("a"), zone("c"), zone("c")],
        "services": [{ "id": "rinks", "limits": { "slots": 0, "retries": 2.0 } }],
        "servers": [{
            "id": "s", "service": "none", "zone": "none", "host": "h",
            "node": "127.0.0.1:1", "address": "127.0.0.1:2",
        }],
    });
    let places: Vec<String> = view
        .apply(&note(9, add, json!({})))
        .iter()
        .map(|f| f.place.to_string())
        .collect();
    assert_eq!(
        places,
        [
            "after",
            "add.zones[0]",
            "add.zones[2]",
            "add.services[0].limits.slots",
            "add.services[0].limits.retries",
            "add.servers[0].service",
            "add.servers[0].zone",
        ]
    );
}

#[test]
fn identifiers_of_notes_have_no_other_characters_than_those_that_operators_type() {
    let server = |field: &str, value: &str| {
        let mut server = json!({
            "id": "s", "service": "fees", "zone": "a", "host": "h",
            "node": "127.0.0.1:1", "address": "127.0.0.1:2",
        });
        server[field] = json!(value);
        json!({ "servers": [server] })
    };
    let route = |id: &str, service: &str| {
        json!({ "routes": [{
            "id": id, "host": "x.example", "path": "/", "idempotent": true, "attempts": 1,
            "parts": [{ "service": service, "weight": 1 }], "timeout_ms": 9, "objective_ms": 9,
        }] })
    };
    let long = "n".repeat(64);
    for name in ["", "A", "a_b", "a b", "a/b", "\u{e9}", &long] {
        for add in [
            json!({ "zones": [zone(name)] }),
            json!({ "services": [{ "id": name }] }),
            server("id", name),
            server("service", name),
            server("zone", name),
            server("host", name),
            route(name, "fees"),
            route("r", name),
            json!({ "teams": [{ "id": name }] }),
        ] {
            for text in [
                note(1, add.clone(), json!({})),
                note(1, json!({}), add.clone()),
            ] {
                let faults = base().apply(&text);
                assert_eq!(faults[0].problem, Problem::Malformed, "{text}");
            }
        }
        for kind in ["zones", "services", "servers", "routes", "teams"] {
            let mut withdrawn: Value =
                serde_json::from_str(&note(1, json!({}), json!({}))).expect("a note in JSON");
            withdrawn["withdraw"] = json!({ kind: [name] });
            let faults = base().apply(&withdrawn.to_string());
            assert_eq!(faults[0].problem, Problem::Malformed, "{withdrawn}");
        }
    }
    let longest = "n".repeat(63);
    assert_eq!(
        base().apply(&note(1, json!({ "zones": [zone(&longest)] }), json!({}))),
        vec![]
    );
    let error = note::parse(&note(1, server("zone", "a_b"), json!({}))).expect_err("malformed");
    assert_eq!(
        error.to_string(),
        "release note is malformed at add.servers[0].zone"
    );
}

#[test]
fn next_note_applies_after_malformed_note() {
    let mut view = base();
    assert_eq!(view.apply("{")[0].problem, Problem::Malformed);
    let unknown = json!({ "author": "op", "after": 1, "rename": {} }).to_string();
    assert_eq!(view.apply(&unknown)[0].problem, Problem::Malformed);
    assert_eq!(
        view.apply(&note(3, json!({ "zones": [zone("c")] }), json!({}))),
        vec![]
    );
}

#[test]
fn different_histories_have_different_digests() {
    let (mut left, mut right) = (base(), base());
    assert_eq!(left.digest, right.digest);
    left.apply("x");
    right.apply("y");
    assert_eq!(left.revision, right.revision);
    assert_ne!(left.digest, right.digest);
}

#[test]
fn withdrawing_zone_in_use_is_rejected() {
    let mut view = base();
    let add = json!({ "servers": [{
        "id": "s", "service": "fees", "zone": "a", "host": "h",
        "node": "127.0.0.1:1", "address": "127.0.0.1:2",
    }] });
    assert_eq!(view.apply(&note(1, add, json!({}))), vec![]);
    let withdraw = json!({ "author": "op", "after": 2, "withdraw": { "zones": ["a", "b"] } });
    let faults = view.apply(&withdraw.to_string());
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].place, "withdraw.zones[0]");
    assert_eq!(faults[0].problem, Problem::InUse);
}
