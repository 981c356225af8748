//! Offers over links that lose packets, and to gates that are slow to reply.

use call::RepeatTimer;
use types::Span;

/// After this time a lost packet is sent again.
const RETRANSMISSION: Span = Span::from_millis(200);
/// The users' target for the slowest hundredth of refusals.
const TARGET: Span = Span::from_millis(50);

/// Replies that take `usual` ms and up to half more. Each 50th message is lost, as is each 50th that repeats one.
/// Returns the times until replies came, in order, and the part of the offers that were repeated.
fn play(usual: u64) -> (Vec<Span>, f64) {
    let mut timer = RepeatTimer::default();
    let (mut times, mut repeated, mut sent) = (Vec::new(), 0, 0_u64);
    let mut reply_time = || {
        sent += 1;
        let jitter = Span(usual * 500 * (sent * 7 % 11) / 10);
        let lost = if sent.is_multiple_of(50) {
            RETRANSMISSION
        } else {
            Span(0)
        };
        Span::from_millis(usual) + jitter + lost
    };
    for _ in 0..5_000 {
        let (first, delay) = (reply_time(), timer.delay());
        let took = match first > delay {
            true => {
                repeated += 1;
                first.min(delay + reply_time())
            }
            false => first,
        };
        timer.record(took);
        times.push(took);
    }
    times.sort();
    (times, f64::from(repeated) / 5_000.0)
}

#[test]
fn a_lost_packet_doesnt_hold_up_a_refusal() {
    for usual in [1, 10] {
        let (times, repeated) = play(usual);
        let p99 = times[times.len() * 99 / 100];
        assert!(p99 < TARGET, "{usual}: {p99:?}");
        assert!(repeated < 0.05, "{usual}: {repeated}");
    }
}

#[test]
fn gates_that_are_slow_to_reply_get_few_offers_twice() {
    for usual in [30, 60] {
        let (_, repeated) = play(usual);
        assert!(repeated < 0.1, "{usual}: {repeated}");
    }
}
