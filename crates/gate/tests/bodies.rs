//! Attempts that are admitted before their body has arrived.

use gate::{Action, Completion, Gate, Offer, Query, Rank, RetentionLimits};
use note::Limits;
use types::{AttemptId, Boot, Moment, Outcome, Refusal, Seq, SessionId, Size, Slots, Span};

const NOW: Moment = Moment(10_000_000);
const BODY: Size = Size(360_000);

fn after(ms: u64) -> Moment {
    NOW + Span::from_millis(ms)
}

/// An open gate whose backend server has two slots and a queue of one.
fn gate() -> (Gate, SessionId) {
    gate_with(2, 1)
}

fn gate_with(slots: u32, queue: u32) -> (Gate, SessionId) {
    let limits = Limits {
        slots: Slots(slots),
        cold: Slots(slots),
        queue: Slots(queue),
        ..Limits::default()
    };
    let mut gate = Gate::new(Boot(1), limits, RetentionLimits::default());
    let session = gate.open_session(Boot(2), NOW);
    gate.set_open(true);
    gate.extend_lease(Moment::MAX);
    (gate, session)
}

fn offer(session: SessionId, seq: u64) -> Offer {
    Offer {
        id: AttemptId {
            boot: Boot(1),
            session,
            seq: Seq(seq),
        },
        floor: Seq(0),
        deadline: after(6_000),
        fail_fast: false,
        refusal: None,
        rank: Rank::default(),
    }
}

fn refused(id: AttemptId, refusal: Refusal) -> Vec<Action> {
    vec![Action::Reply(id, Outcome::refused(refusal))]
}

fn is_refused(actions: &[Action], expected: Refusal) -> bool {
    let is_expected = |action: &Action| {
        matches!(
            action,
            Action::Reply(_, Outcome::NotRun { refusal, .. }) if *refusal == expected
        )
    };
    actions.iter().any(is_expected)
}

#[test]
fn an_admitted_attempt_starts_once_its_body_is_whole() {
    let (mut gate, session) = gate();
    let offer = offer(session, 1);
    assert_eq!(gate.offer_body(offer, BODY, NOW), vec![]);
    assert_eq!(gate.tick(after(1)), vec![], "no start");
    let started = gate.deliver(offer.id, BODY, None, after(2));
    assert_eq!(started, vec![Action::Start(offer.id, offer.deadline)]);
    assert_eq!(gate.deliver(offer.id, BODY, None, after(3)), vec![]);
}

#[test]
fn a_body_of_another_length_is_never_started() {
    for length in [0, BODY.0 - 1, BODY.0 + 1] {
        let (mut gate, session) = gate();
        let offer = offer(session, 1);
        gate.offer_body(offer, BODY, NOW);
        let actions = gate.deliver(offer.id, Size(length), None, after(1));
        assert_eq!(actions, refused(offer.id, Refusal::Cancelled), "{length}");
        let again = gate.deliver(offer.id, BODY, None, after(2));
        assert_eq!(again, refused(offer.id, Refusal::Barred), "{length}");
    }
}

#[test]
fn a_body_that_was_not_offered_bars_its_attempt() {
    let (mut gate, session) = gate();
    let offer = offer(session, 1);
    let actions = gate.deliver(offer.id, BODY, None, NOW);
    assert_eq!(actions, refused(offer.id, Refusal::Barred));
    assert!(is_refused(
        &gate.offer_body(offer, BODY, NOW),
        Refusal::Barred
    ));
}

#[test]
fn a_place_is_given_up_unless_the_body_goes_on_arriving() {
    let (mut gate, session) = gate();
    let (stalled, slow) = (offer(session, 1), offer(session, 2));
    gate.offer_body(stalled, BODY, NOW);
    gate.offer_body(slow, BODY, NOW);
    gate.extend_reservation(slow.id, after(900));
    assert!(!is_refused(&gate.tick(after(999)), Refusal::Cancelled));
    assert_eq!(
        gate.tick(after(1_000)),
        refused(stalled.id, Refusal::Cancelled)
    );
    let started = gate.deliver(slow.id, BODY, None, after(1_800));
    assert_eq!(started, vec![Action::Start(slow.id, slow.deadline)]);
}

#[test]
fn small_requests_take_the_slots_while_bodies_come() {
    let (mut gate, session) = gate();
    let large = offer(session, 1);
    gate.offer_body(large, BODY, NOW);
    for seq in [2, 3] {
        let small = offer(session, seq);
        let started = gate.offer(small, NOW);
        assert_eq!(started, vec![Action::Start(small.id, small.deadline)]);
    }
    let waits = gate.deliver(large.id, BODY, None, after(5));
    assert_eq!(waits, vec![], "it has its place in the queue");
    let ended = gate.complete(offer(session, 2).id, Completion::Shed, after(9));
    assert!(ended.contains(&Action::Start(large.id, large.deadline)));
}

#[test]
fn offers_beyond_the_slots_and_the_queue_are_refused() {
    let (mut gate, session) = gate();
    let fail_fast = |seq| Offer {
        fail_fast: true,
        ..offer(session, seq)
    };
    for seq in [1, 2] {
        assert_eq!(gate.offer_body(fail_fast(seq), BODY, NOW), vec![]);
    }
    assert!(is_refused(
        &gate.offer_body(fail_fast(3), BODY, NOW),
        Refusal::Busy
    ));
    let mut places = 2;
    for seq in 4..10 {
        places += usize::from(gate.offer_body(offer(session, seq), BODY, NOW).is_empty());
    }
    assert!(places <= 3, "{places} places");
}

/// Bodies took all places on a slow link, and lookups that found no free slot were refused.
#[test]
fn bodies_on_their_way_leave_half_of_the_queue_to_small_requests() {
    let (mut gate, session) = gate_with(4, 4);
    for seq in 1..20 {
        gate.offer_body(offer(session, seq), BODY, NOW);
    }
    let small = |seq| offer(session, seq);
    for seq in 20..24 {
        let started = gate.offer(small(seq), NOW);
        assert_eq!(
            started,
            vec![Action::Start(small(seq).id, small(seq).deadline)]
        );
    }
    for seq in 24..26 {
        assert_eq!(gate.offer(small(seq), NOW), vec![], "{seq} waits");
    }
    assert!(is_refused(&gate.offer(small(26), NOW), Refusal::Busy));
    assert!(is_refused(
        &gate.offer_body(offer(session, 27), BODY, NOW),
        Refusal::Busy
    ));
}

#[test]
fn a_body_larger_than_what_may_be_on_its_way_is_taken_alone() {
    let (mut gate, session) = gate();
    let huge = Size(60 << 20);
    assert_eq!(gate.offer_body(offer(session, 1), huge, NOW), vec![]);
    assert!(is_refused(
        &gate.offer_body(offer(session, 2), BODY, NOW),
        Refusal::Busy
    ));
    gate.query(offer(session, 1).id, Query::Cancel, NOW);
    assert_eq!(gate.offer_body(offer(session, 3), BODY, NOW), vec![]);
}

#[test]
fn whatever_ends_a_wait_in_the_queue_ends_a_reservation() {
    type End = fn(&mut Gate, AttemptId) -> Vec<Action>;
    let ends: [(End, Refusal); 7] = [
        (|g, id| g.query(id, Query::Cancel, NOW), Refusal::Cancelled),
        (
            |g, id| g.query(id, Query::Withdraw, NOW),
            Refusal::Cancelled,
        ),
        (|g, _| g.set_open(false), Refusal::Leaving),
        (|g, _| g.replace_server(NOW), Refusal::Misplaced),
        (|g, _| g.observe_identity(false, NOW), Refusal::Misplaced),
        (|g, _| g.stop(after(60_000), NOW), Refusal::Stopping),
        (
            |g, id| {
                let next = Offer {
                    floor: Seq(2),
                    ..offer(id.session, 2)
                };
                g.offer(next, NOW)
            },
            Refusal::Cancelled,
        ),
    ];
    for (index, (end, refusal)) in ends.into_iter().enumerate() {
        let (mut gate, session) = gate();
        let offer = offer(session, 1);
        gate.offer_body(offer, BODY, NOW);
        assert!(!gate.is_idle());
        let actions = end(&mut gate, offer.id);
        assert!(is_refused(&actions, refusal), "{index}: {actions:?}");
        let late = gate.deliver(offer.id, BODY, None, NOW);
        let started = late.iter().any(|a| matches!(a, Action::Start(..)));
        assert!(!started, "{index}: {late:?}");
    }
}

#[test]
fn a_query_about_an_attempt_without_its_body_waits_for_the_outcome() {
    let (mut gate, session) = gate();
    let offer = offer(session, 1);
    gate.offer_body(offer, BODY, NOW);
    assert_eq!(gate.query(offer.id, Query::Outcome, NOW), vec![]);
    assert_eq!(gate.load(NOW).waiting, 1);
}

#[test]
fn a_suspect_is_refused_once_its_body_is_known() {
    let (mut gate, session) = gate();
    let offer = offer(session, 1);
    gate.offer_body(offer, BODY, NOW);
    let actions = gate.deliver(offer.id, BODY, Some(Refusal::Quarantined), NOW);
    assert_eq!(actions, refused(offer.id, Refusal::Quarantined));
}
