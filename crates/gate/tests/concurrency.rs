//! How many requests a backend server is given.

use std::sync::Arc;

use gate::{Completion, ConcurrencyLimit, Feedback, Gate, Offer, RetentionLimits};
use note::Limits;
use types::{Answer, AttemptId, Boot, Moment, Seq, Slots, Span};

fn limits() -> Limits {
    Limits {
        slots: Slots(10),
        cold: Slots(2),
        warm_ms: 1_000,
        ..Limits::default()
    }
}

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

const GOOD: Feedback = Feedback::Success(Span::from_millis(10));

/// Good answers each millisecond.
fn warm_up(allowance: &mut ConcurrencyLimit, from: u64, to: u64) {
    (from..to).for_each(|ms| allowance.learn(GOOD, at(ms)));
}

#[test]
fn a_cold_backend_server_gets_no_more_than_it_bears_however_good_its_answers() {
    let mut allowance = ConcurrencyLimit::new(limits());
    for ms in 0..1_000 {
        allowance.learn(GOOD, at(ms));
        assert!(allowance.allowed(at(ms)) <= 2, "at {ms} ms");
    }
    warm_up(&mut allowance, 1_000, 1_100);
    assert_eq!(allowance.allowed(at(1_100)), 10);
}

#[test]
fn a_backend_server_that_turns_cold_without_warning_starts_again_at_the_bottom() {
    let mut allowance = ConcurrencyLimit::new(limits());
    warm_up(&mut allowance, 0, 2_000);
    allowance.learn(Feedback::Restarted, at(2_000));
    assert_eq!(allowance.allowed(at(2_000)), 2);
    assert_eq!(
        allowance.allowed(at(60_000)),
        2,
        "time without answers warms nothing"
    );
}

#[test]
fn after_idleness_only_as_much_is_given_as_a_cold_backend_server_bears() {
    let mut allowance = ConcurrencyLimit::new(limits());
    warm_up(&mut allowance, 0, 2_000);
    assert_eq!(allowance.allowed(at(2_100)), 10);
    allowance.set_idle();
    assert_eq!(
        allowance.allowed(at(2_100)),
        2,
        "it may have turned cold unseen"
    );
    allowance.learn(GOOD, at(5_010));
    assert_eq!(allowance.allowed(at(5_010)), 10, "the same one as before");
}

#[test]
fn slow_answers_lower_the_allowance_and_good_ones_raise_it_again() {
    let mut allowance = ConcurrencyLimit::new(limits());
    warm_up(&mut allowance, 0, 2_000);
    for ms in 2_000..2_100 {
        allowance.learn(Feedback::Success(Span::from_millis(80)), at(ms));
    }
    let slowed = allowance.allowed(at(2_100));
    assert!(slowed < 10, "{slowed}");
    warm_up(&mut allowance, 2_100, 2_600);
    assert_eq!(allowance.allowed(at(2_600)), 10);
}

#[test]
fn limits_that_come_after_the_start_are_in_force_at_once() {
    let mut allowance = ConcurrencyLimit::new(Limits::default());
    let wide = Limits {
        slots: Slots(10),
        cold: Slots(10),
        ..Limits::default()
    };
    allowance.set_limits(wide);
    assert_eq!(allowance.allowed(at(0)), 10);
    allowance.set_limits(Limits {
        slots: Slots(4),
        cold: Slots(1),
        ..Limits::default()
    });
    assert!(allowance.allowed(at(0)) <= 4);
}

#[test]
fn an_answer_that_says_failed_lowers_the_allowance_however_fast_it_comes() {
    let limits = Limits {
        slots: Slots(10),
        cold: Slots(2),
        warm_ms: 0,
        ..Limits::default()
    };
    let mut gate = Gate::new(Boot(1), limits, RetentionLimits::default());
    gate.set_open(true);
    gate.extend_lease(Moment::MAX);
    let session = gate.open_session(Boot(2), at(0));
    let mut run = |seq: u64, status: u16| {
        let id = AttemptId {
            boot: Boot(1),
            session,
            seq: Seq(seq),
        };
        let (now, deadline) = (at(seq * 10), at(seq * 10 + 1_000));
        let offer = Offer {
            id,
            floor: Seq(seq),
            deadline,
            fail_fast: false,
            wrong_server: false,
            rank: gate::Rank::default(),
        };
        gate.offer(offer, now);
        let answer = Answer {
            status,
            ..Answer::default()
        };
        gate.complete(
            id,
            Completion::Answered(Arc::new(answer)),
            now + Span::from_millis(5),
        );
        gate.load(now).allowed
    };
    let warm = (1..=100).map(|seq| run(seq, 200)).max().unwrap_or_default();
    let failing = (101..=110)
        .map(|seq| run(seq, 500))
        .min()
        .unwrap_or_default();
    assert_eq!(warm, 10);
    assert_eq!(failing, 2);
}
