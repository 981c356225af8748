//! A node that is the owner of a team, then isn't, and then is again.

mod support;

use allowance::{Owner, Question};
use support::{team, terms};
use types::{Moment, Span};

fn at(ms: u64) -> Moment {
    Moment(0) + Span::from_millis(100_000 + ms)
}

fn question(waiting: u32) -> Question {
    Question {
        waiting,
        wanted: waiting,
        refused: 0,
    }
}

/// Ticks an owner that reaches the whole fleet, several times a second.
fn run(owner: &mut Owner, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..=to_ms).step_by(250) {
        owner.tick(1.0, at(ms));
    }
}

#[test]
fn an_owner_that_another_one_stood_in_for_starts_from_an_empty_bucket() {
    let mut owner = Owner::new(Moment(0));
    let (team, terms) = (team("team"), terms(100.0, 300));
    run(&mut owner, 0, 7_000);
    let first = owner.draw(&team, terms, question(1_000), Moment(0), at(7_000));
    let first = first.expect("an answer");
    assert!(first.tokens >= 300, "a full bucket: {first:?}");
    // Another node grants for 2 seconds, and this one isn't asked meanwhile.
    run(&mut owner, 7_250, 9_000);
    let again = owner.draw(&team, terms, question(1_000), at(9_000), at(9_100));
    let again = again.expect("an answer");
    assert!(
        again.tokens <= 11,
        "a tenth of a second's tokens: {again:?}"
    );
}

#[test]
fn an_owner_without_answers_yet_claims_nothing() {
    let mut owner = Owner::new(at(0));
    let (team, terms) = (team("team"), terms(100.0, 300));
    // It has just started, and reaches nobody yet.
    owner.tick(0.0, at(0));
    let drawn = owner.draw(&team, terms, question(1), at(0), at(11));
    assert_eq!(drawn, None, "nobody is told to return in seconds");
    owner.tick(1.0, at(250));
    let drawn = owner.draw(&team, terms, question(1), at(0), at(260));
    assert_eq!(drawn.map(|drawn| drawn.tokens), Some(1));
}
