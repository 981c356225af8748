//! Bodies and small messages share a link, played without a network.

use call::BodyWindow;
use types::{Moment, Size, Span};

/// Time after which the window has found its size.
const SETTLED: Moment = Moment(1_000_000);

/// A link with one queue, on which a host sends bodies without end.
struct Link {
    /// Bytes a second.
    rate: f64,
    /// Time of a message both ways, and until it is answered.
    round_trip: Span,
    /// When the link has sent all that waits in front of it.
    free_at: Moment,
}

impl Link {
    /// Puts a message on the link. Returns when it is acknowledged.
    fn send(&mut self, bytes: Size, now: Moment) -> Moment {
        let took = Span((bytes.0 as f64 / self.rate * 1e6) as u64);
        self.free_at = self.free_at.max(now) + took;
        self.free_at + self.round_trip
    }
}

/// What bodies and small messages get of a link.
#[derive(Debug)]
struct Shares {
    /// Part of the link that bodies use.
    used: f64,
    /// Waits of small messages in front of the link, in order.
    waits: Vec<Span>,
}

impl Shares {
    fn wait(&self, quantile: f64) -> Span {
        self.waits[((self.waits.len() - 1) as f64 * quantile) as usize]
    }
}

/// Bodies without end to this number of hosts over one link for `duration`, beside small messages.
fn play(mbit: f64, round_trip: Span, hosts: usize, duration: Span) -> Shares {
    let mut link = Link {
        rate: mbit * 125_000.0,
        round_trip,
        free_at: Moment(0),
    };
    let mut windows: Vec<BodyWindow> = (0..hosts).map(|_| BodyWindow::default()).collect();
    // Chunks on the way: when they are acknowledged, when they were sent, to whom, and their size.
    let mut in_flight: Vec<(Moment, Moment, usize, Size)> = Vec::new();
    let (mut carried, mut waits) = (0.0, Vec::new());
    let end = Moment(0) + duration;
    for now in (0..end.0).step_by(50).map(Moment) {
        let due = in_flight.extract_if(.., |(at, ..)| *at <= now);
        for (at, sent, host, bytes) in due.collect::<Vec<_>>() {
            windows[host].on_acknowledged(bytes, at.since(sent), now);
            if now >= SETTLED {
                carried += bytes.0 as f64;
            }
        }
        if now >= SETTLED && now.0.is_multiple_of(7_350) {
            waits.push(link.free_at.since(now));
        }
        for (host, window) in windows.iter_mut().enumerate() {
            while let Some(bytes) = window.next_chunk() {
                window.on_sent(bytes);
                in_flight.push((link.send(bytes, now), now, host, bytes));
            }
        }
    }
    waits.sort();
    Shares {
        used: carried / link.rate / (end.since(SETTLED).0 as f64 / 1e6),
        waits,
    }
}

#[test]
fn small_messages_wait_less_than_refusals_may_take() {
    for (hosts, round_trip) in [(1, 200), (1, 2_000), (1, 20_000), (2, 2_000)] {
        let shares = play(10.0, Span(round_trip), hosts, Span::from_millis(30_000));
        let waits = [shares.wait(0.5), shares.wait(0.99)];
        assert!(
            waits[0] < Span::from_millis(10),
            "{hosts} {round_trip}: {waits:?}"
        );
        assert!(
            waits[1] < Span::from_millis(50),
            "{hosts} {round_trip}: {waits:?}"
        );
    }
}

#[test]
fn bodies_use_most_of_the_link() {
    for (mbit, round_trip) in [
        (10.0, 1_000),
        (10.0, 20_000),
        (200.0, 1_000),
        (200.0, 5_000),
    ] {
        let shares = play(mbit, Span(round_trip), 1, Span::from_millis(30_000));
        assert!(shares.used > 0.8, "{mbit} {round_trip}: {}", shares.used);
    }
}

#[test]
fn a_longer_way_is_learned() {
    let mut window = BodyWindow::default();
    let mut now = Moment(0);
    let mut largest = Vec::new();
    for round_trip in [Span::from_millis(1), Span::from_millis(30)] {
        let mut in_flight = Vec::new();
        let end = now + Span::from_millis(30_000);
        while now < end {
            while let Some(bytes) = window.next_chunk() {
                window.on_sent(bytes);
                in_flight.push(bytes);
            }
            largest.push(in_flight.iter().map(|bytes: &Size| bytes.0).sum::<u64>());
            now = now + round_trip;
            for bytes in in_flight.drain(..) {
                window.on_acknowledged(bytes, round_trip, now);
            }
        }
    }
    assert!(largest.last() > Some(&(400 << 10)), "{:?}", largest.last());
}
