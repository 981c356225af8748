//! Verdicts on requests under which backend servers end.

use fleet::{Evidence, Quarantine, ServerEnd, Verdict};
use proptest::{collection::vec, prelude::*};
use types::{Fingerprint, Moment, Span};

const START: Moment = Moment(1_000_000_000);
const REQUEST: Fingerprint = Fingerprint(7);
const MAX_REQUESTS: usize = 4_096;
const HOLD_TIME: Span = Span::from_millis(30_000);

fn end(id: u64, ms: u64, trial: bool) -> ServerEnd {
    ServerEnd {
        id,
        server: format!("server-{id}").parse().expect("a valid name"),
        at: START + Span::from_millis(ms),
        trial,
        cleared: false,
    }
}

fn quarantine(ends: &[ServerEnd]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for end in ends {
        quarantine.record_end(REQUEST, end.clone());
    }
    quarantine
}

fn at(ms: u64) -> Moment {
    START + Span::from_millis(ms)
}

#[test]
fn a_popular_request_on_servers_that_are_stopped_together_is_not_held_back() {
    let ends: Vec<ServerEnd> = (0..8).map(|id| end(id, 0, false)).collect();
    let mut quarantine = quarantine(&ends);
    assert_eq!(quarantine.verdict(REQUEST, at(10)), Verdict::Suspect);
    assert!(quarantine.clear(REQUEST, at(20)));
    assert_eq!(quarantine.verdict(REQUEST, at(20)), Verdict::Clear);
}

#[test]
fn a_request_whose_second_trial_ends_another_server_is_blocked() {
    let mut quarantine = quarantine(&[end(1, 0, false), end(2, 100, true)]);
    let release = at(100) + HOLD_TIME;
    assert_eq!(quarantine.verdict(REQUEST, at(200)), Verdict::Held(release));
    assert_eq!(quarantine.verdict(REQUEST, release), Verdict::Suspect);
    quarantine.record_end(REQUEST, end(3, 40_000, true));
    assert_eq!(quarantine.verdict(REQUEST, at(50_000)), Verdict::Blocked);
    assert_eq!(
        quarantine.verdict(REQUEST, at(86_400_000)),
        Verdict::Blocked
    );
    assert!(quarantine.clear(REQUEST, at(86_500_000)));
    assert_eq!(quarantine.verdict(REQUEST, at(86_500_000)), Verdict::Clear);
}

#[test]
fn retries_that_end_servers_at_the_same_time_are_no_two_trials() {
    let quarantine = quarantine(&[end(1, 0, true), end(2, 100, true), end(3, 200, true)]);
    let release = at(200) + HOLD_TIME;
    assert_eq!(quarantine.verdict(REQUEST, at(300)), Verdict::Held(release));
}

#[test]
fn an_answer_clears_a_request_until_the_next_end() {
    let mut quarantine = quarantine(&[end(1, 0, false), end(2, 100, true)]);
    assert!(quarantine.clear(REQUEST, at(200)));
    assert_eq!(quarantine.verdict(REQUEST, at(300)), Verdict::Clear);
    assert!(!quarantine.clear(REQUEST, at(300)), "already clear");
    quarantine.record_end(REQUEST, end(3, 400, false));
    assert_eq!(quarantine.verdict(REQUEST, at(500)), Verdict::Suspect);
}

#[test]
fn suspicion_lasts_until_an_answer() {
    let mut quarantine = quarantine(&[end(1, 0, false)]);
    let day = at(86_400_000);
    assert_eq!(quarantine.verdict(REQUEST, day), Verdict::Suspect);
    assert!(quarantine.clear(REQUEST, day));
    assert_eq!(quarantine.verdict(REQUEST, day), Verdict::Clear);
}

#[test]
fn other_requests_are_clear() {
    let quarantine = quarantine(&[end(1, 0, true)]);
    let other = Fingerprint(8);
    assert_eq!(quarantine.verdict(other, at(10)), Verdict::Clear);
}

#[test]
fn the_number_of_requests_with_evidence_is_bounded() {
    let mut quarantine = Quarantine::default();
    for request in 0..5_000_u64 {
        let end = end(request, request, false);
        quarantine.record_end(Fingerprint(request.into()), end);
    }
    assert_eq!(quarantine.latest().len(), MAX_REQUESTS);
    let newest = Fingerprint(4_999);
    assert_eq!(quarantine.verdict(newest, at(5_000)), Verdict::Suspect);
}

#[test]
fn a_caller_that_fills_the_memory_frees_no_blocked_request() {
    let mut quarantine = quarantine(&[end(1, 0, true), end(2, 40_000, true)]);
    for request in 100..10_100_u64 {
        let end = end(request, 100_000 + request, false);
        quarantine.record_end(Fingerprint(request.into()), end);
    }
    assert_eq!(quarantine.latest().len(), MAX_REQUESTS);
    let verdict = quarantine.verdict(REQUEST, at(200_000));
    assert_eq!(verdict, Verdict::Blocked);
}

#[test]
fn a_page_of_a_full_memory_isnt_news_to_a_node_that_has_no_room_for_it() {
    let mut quarantine = Quarantine::default();
    for request in 0..MAX_REQUESTS as u64 {
        let end = end(1 + request, 10_000 + request, false);
        quarantine.record_end(Fingerprint(request.into()), end);
    }
    let older = Evidence {
        ends: vec![end(0, 0, false)],
    };
    let digest = quarantine.digest();
    assert!(!quarantine.merge(Fingerprint(9_999), &older, at(20_000)));
    assert_eq!(quarantine.digest(), digest);
}

#[test]
fn pages_name_each_request_in_turn() {
    let mut quarantine = Quarantine::default();
    for request in 0..100_u64 {
        quarantine.record_end(Fingerprint(request.into()), end(request, 0, false));
    }
    let mut peer = Quarantine::default();
    let mut after = Fingerprint(0);
    for _ in 0..4 {
        for (request, evidence) in quarantine.page(after, 32) {
            peer.merge(request, evidence, START);
            after = request;
        }
    }
    assert_eq!(peer.digest(), quarantine.digest());
}

/// One piece of evidence about [`REQUEST`].
fn evidence() -> impl Strategy<Value = Evidence> {
    let end = (0..6_u64, any::<bool>()).prop_map(|(id, cleared)| ServerEnd {
        cleared,
        ..end_of(id)
    });
    vec(end, 0..3).prop_map(|ends| Evidence { ends })
}

/// An end has one time and one kind, whichever node names it.
fn end_of(id: u64) -> ServerEnd {
    end(id, id * 1_700, id.is_multiple_of(2))
}

proptest! {
    #[test]
    fn evidence_in_any_order_leads_to_the_same_verdict(
        list in vec(evidence(), 1..8),
        now in 0..100_000_u64,
    ) {
        let merged = |list: Vec<&Evidence>| {
            let mut quarantine = Quarantine::default();
            for evidence in list {
                quarantine.merge(REQUEST, evidence, START);
            }
            quarantine.verdict(REQUEST, at(now))
        };
        let forwards = merged(list.iter().collect());
        let backwards = merged(list.iter().rev().collect());
        let twice = merged(list.iter().chain(&list).collect());
        prop_assert_eq!(forwards, backwards);
        prop_assert_eq!(forwards, twice);
    }
}

#[test]
fn a_request_that_has_ended_three_servers_is_tried_at_most_three_times_more() {
    let mut quarantine = quarantine(&[end(1, 0, false), end(2, 100, false), end(3, 200, false)]);
    let mut trials = 0;
    for minute in 1..=24 * 60 {
        let now = minute * 60_000;
        if matches!(
            quarantine.verdict(REQUEST, at(now)),
            Verdict::Clear | Verdict::Suspect
        ) {
            trials += 1;
            quarantine.record_end(REQUEST, end(3 + trials, now, true));
        }
    }
    assert!(trials <= 3, "{trials} trials in a day");
}

#[test]
fn nodes_that_know_more_ends_than_they_keep_stop_telling_each_other() {
    let mut nodes = [Quarantine::default(), Quarantine::default()];
    for id in 0..16 {
        nodes[(id % 2) as usize].record_end(REQUEST, end(id, 0, false));
    }
    let mut changes = 0;
    for _ in 0..100 {
        let told = nodes.clone().map(|node| {
            let mut told = node.evidence(REQUEST).cloned().unwrap_or_default();
            // A message takes some time, which makes the ends look later.
            for end in &mut told.ends {
                end.at = end.at + Span::from_millis(1);
            }
            told
        });
        for (node, told) in nodes.iter_mut().zip(told.iter().rev()) {
            changes += usize::from(node.merge(REQUEST, told, START));
        }
    }
    assert!(changes <= 2, "{changes} changes");
    assert_eq!(nodes[0].digest(), nodes[1].digest());
}
