//! Adaptive limit on concurrent requests.

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

/// Records one good response per millisecond.
fn warmup(limit: &mut ConcurrencyLimit, from: u64, to: u64) {
    (from..to).for_each(|ms| limit.record(GOOD, at(ms)));
}

#[test]
fn good_responses_do_not_raise_the_limit_of_a_cold_backend_server() {
    let mut limit = ConcurrencyLimit::new(limits());
    for ms in 0..1_000 {
        limit.record(GOOD, at(ms));
        assert!(limit.current(at(ms)) <= 2, "at {ms} ms");
    }
    warmup(&mut limit, 1_000, 1_100);
    assert_eq!(limit.current(at(1_100)), 10);
}

#[test]
fn a_restart_resets_the_limit_to_the_cold_one() {
    let mut limit = ConcurrencyLimit::new(limits());
    warmup(&mut limit, 0, 2_000);
    limit.record(Feedback::Restarted, at(2_000));
    assert_eq!(limit.current(at(2_000)), 2);
    assert_eq!(
        limit.current(at(60_000)),
        2,
        "time without responses doesn't warm it"
    );
}

#[test]
fn the_cold_limit_holds_after_idleness_until_the_first_response() {
    let mut limit = ConcurrencyLimit::new(limits());
    warmup(&mut limit, 0, 2_000);
    assert_eq!(limit.current(at(2_100)), 10);
    limit.set_idle();
    assert_eq!(
        limit.current(at(2_100)),
        2,
        "it may have restarted while idle"
    );
    limit.record(GOOD, at(5_010));
    assert_eq!(limit.current(at(5_010)), 10, "it has not restarted");
}

#[test]
fn slow_responses_lower_the_limit_and_fast_ones_raise_it_again() {
    let mut limit = ConcurrencyLimit::new(limits());
    warmup(&mut limit, 0, 2_000);
    for ms in 2_000..2_100 {
        limit.record(Feedback::Success(Span::from_millis(80)), at(ms));
    }
    let slowed = limit.current(at(2_100));
    assert!(slowed < 10, "{slowed}");
    warmup(&mut limit, 2_100, 2_600);
    assert_eq!(limit.current(at(2_600)), 10);
}

#[test]
fn new_limits_apply_at_once() {
    let mut limit = ConcurrencyLimit::new(Limits::default());
    let wide = Limits {
        slots: Slots(10),
        cold: Slots(10),
        ..Limits::default()
    };
    limit.set_limits(wide);
    assert_eq!(limit.current(at(0)), 10);
    limit.set_limits(Limits {
        slots: Slots(4),
        cold: Slots(1),
        ..Limits::default()
    });
    assert!(limit.current(at(0)) <= 4);
}

#[test]
fn failed_responses_lower_the_limit_even_if_they_are_fast() {
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
            is_retry: false,
            refusal: None,
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
