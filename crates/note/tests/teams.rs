//! Teams in release notes.

use note::{KeyHash, Problem, Team, View};
use serde_json::{Value, json};

fn team(id: &str, key: &str) -> Value {
    json!({ "id": id, "keys": [KeyHash::of(key.as_bytes())] })
}

fn apply(view: &mut View, change: Value) -> Vec<(String, Problem)> {
    let mut note = json!({ "author": "op", "after": view.revision });
    let fields = change.as_object().expect("an object").clone();
    note.as_object_mut().expect("an object").extend(fields);
    let faults = view.apply(&note.to_string()).into_iter();
    faults.map(|f| (f.place.to_string(), f.problem)).collect()
}

fn base() -> View {
    let mut view = View::default();
    let teams = json!([team("club", "k-1"), team("league", "k-2")]);
    assert_eq!(apply(&mut view, json!({ "add": { "teams": teams } })), []);
    view
}

fn found<'a>(view: &'a View, id: &str) -> Option<&'a Team> {
    let entry = view
        .state
        .teams
        .iter()
        .find(|(team, _)| team.as_str() == id);
    entry.map(|(_, entry)| &entry.item)
}

#[test]
fn a_key_moves_to_another_team_in_one_note() {
    let mut view = base();
    let change = json!({ "teams": [team("club", "k-2"), { "id": "league" }] });
    assert_eq!(apply(&mut view, json!({ "change": change })), []);
    let club = found(&view, "club").expect("a team");
    assert!(club.keys.contains(&KeyHash::of(b"k-2")));
    let withdrawn = apply(&mut view, json!({ "withdraw": { "teams": ["league"] } }));
    assert_eq!(withdrawn, []);
    assert!(found(&view, "league").is_none());
}

#[test]
fn faults_name_the_team_and_no_key() {
    let limit = |rate: f64| json!({ "id": "new", "allowance": { "rate": rate, "burst": 1 } });
    let range = Problem::Range {
        least: 1,
        most: 1_000_000_000,
    };
    for (change, place, problem) in [
        (
            json!({ "add": { "teams": [team("new", "k-1")] } }),
            "add.teams[0].keys",
            Problem::SharedKey,
        ),
        (
            json!({ "change": { "teams": [team("club", "k-2")] } }),
            "change.teams[0].keys",
            Problem::SharedKey,
        ),
        (
            json!({ "add": { "teams": [team("club", "k-3")] } }),
            "add.teams[0]",
            Problem::Exists,
        ),
        (
            json!({ "withdraw": { "teams": ["none"] } }),
            "withdraw.teams[0]",
            Problem::Missing,
        ),
        (
            json!({ "add": { "teams": [limit(0.0)] } }),
            "add.teams[0].rate",
            range.clone(),
        ),
        (
            json!({ "add": { "teams": [limit(1e30)] } }),
            "add.teams[0].rate",
            range.clone(),
        ),
    ] {
        let mut view = base();
        let before = view.state.clone();
        assert_eq!(apply(&mut view, change), [(place.to_owned(), problem)]);
        assert_eq!(view.state, before);
        let text = format!("{:?}", view.rejected);
        assert!(!text.contains("k-1") && !text.contains(&KeyHash::of(b"k-1").to_string()));
    }
}

#[test]
fn a_key_itself_is_no_hash_and_isnt_taken() {
    let mut view = base();
    let teams = json!([{ "id": "new", "keys": ["k-9"] }]);
    let faults = apply(&mut view, json!({ "add": { "teams": teams } }));
    assert_eq!(faults, [("note".to_owned(), Problem::Malformed)]);
}

#[test]
fn hashes_are_read_in_64_hexadecimal_digits_alone() {
    let text = KeyHash::of(b"k-1").to_string();
    assert_eq!(text.parse(), Ok(KeyHash::of(b"k-1")));
    for odd in [
        "",
        "ab",
        &text[1..],
        &format!("{text}0"),
        &format!("+{}", &text[1..]),
        &"é".repeat(32),
    ] {
        assert!(odd.parse::<KeyHash>().is_err(), "{odd}");
    }
}
