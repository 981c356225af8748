//! Where the watch of the configuration starts after answers without changes.

use fleet::WatchStart;
use types::{Moment, Revision, Span, Stamp};

fn stamp(revision: u64) -> Stamp {
    Stamp::without_era(Revision(revision))
}

fn at(ms: u64) -> Moment {
    Moment(0) + Span::from_millis(ms)
}

#[test]
fn there_is_no_start_before_a_configuration_is_known() {
    assert_eq!(WatchStart::default().at(at(0)), None);
}

#[test]
fn answers_without_changes_count_once_they_have_settled() {
    let mut start = WatchStart::default();
    start.on_read(stamp(10));
    start.on_unchanged(stamp(20), at(1_000));
    start.on_unchanged(stamp(30), at(2_000));
    assert_eq!(start.at(at(5_999)), Some(stamp(10)));
    assert_eq!(start.at(at(6_000)), Some(stamp(20)));
    assert_eq!(start.at(at(7_000)), Some(stamp(30)));
}

#[test]
fn a_settled_answer_isn_t_forgotten_as_others_arrive() {
    let mut start = WatchStart::default();
    start.on_read(stamp(10));
    for second in 1..100 {
        start.on_unchanged(stamp(10 + second), at(1_000 * second));
    }
    assert_eq!(start.at(at(99_000)), Some(stamp(104)));
}

#[test]
fn a_change_that_is_in_force_isn_t_read_again() {
    let mut start = WatchStart::default();
    start.on_read(stamp(10));
    start.on_unchanged(stamp(20), at(1_000));
    start.on_read(stamp(25));
    assert_eq!(start.at(at(6_000)), Some(stamp(25)));
}

#[test]
fn answers_in_quick_succession_don_t_keep_the_start_back() {
    let mut start = WatchStart::default();
    start.on_read(stamp(1));
    for tick in 0..1_000 {
        start.on_unchanged(stamp(2 + tick), at(10 * tick));
    }
    assert!(start.at(at(10_000)) >= Some(stamp(2 + 450)));
}
