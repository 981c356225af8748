//! Bodies and small messages share a link, played without a network.

use std::collections::VecDeque;

use call::{BodyWindow, LinkWindow};
use types::{Moment, Size, Span};

/// Time after which the window has found its size.
const SETTLED: Moment = Moment(1_000_000);

/// A link with one queue.
struct Link {
    /// Bytes a second.
    rate: f64,
    /// When the link has sent all that waits in front of it.
    free_at: Moment,
}

impl Link {
    fn new(mbit: f64) -> Self {
        Self {
            rate: mbit * 125_000.0,
            free_at: Moment(0),
        }
    }

    /// Puts a message on the link. Returns when it has passed.
    fn send(&mut self, bytes: Size, now: Moment) -> Moment {
        let took = Span((bytes.0 as f64 / self.rate * 1e6) as u64);
        self.free_at = self.free_at.max(now) + took;
        self.free_at
    }
}

/// What bodies and small messages get of a link.
#[derive(Debug)]
struct Shares {
    /// Part of the link that bodies to each host use.
    used: Vec<f64>,
    /// Waits of small messages in front of the link, in order.
    waits: Vec<Span>,
}

impl Shares {
    fn wait(&self, quantile: f64) -> Span {
        self.waits[((self.waits.len() - 1) as f64 * quantile) as usize]
    }
}

/// Bodies without end to hosts with links of these rates, for `duration`, beside small messages, over one link
/// that they share.
fn play(mbit: f64, round_trip: Span, hosts: &[f64], duration: Span) -> Shares {
    let mut link = Link::new(mbit);
    let mut host_links: Vec<Link> = hosts.iter().copied().map(Link::new).collect();
    let mut windows: Vec<BodyWindow> = hosts.iter().map(|_| BodyWindow::default()).collect();
    let mut sum = LinkWindow::default();
    // Chunks on the way: when they are acknowledged, when they were sent, to whom, their size, and what they take
    // of the sum.
    let mut in_flight: Vec<(Moment, Moment, usize, Size, Size)> = Vec::new();
    // The next chunk of each host, its size, and what it takes of the sum.
    let mut turns: VecDeque<(usize, Size, Size)> = VecDeque::new();
    let (mut carried, mut waits) = (vec![0.0; hosts.len()], Vec::new());
    let end = Moment(0) + duration;
    for now in (0..end.0).step_by(50).map(Moment) {
        let due = in_flight.extract_if(.., |(at, ..)| *at <= now);
        for (at, sent, host, bytes, share) in due.collect::<Vec<_>>() {
            let delay = windows[host].on_acknowledged(bytes, at.since(sent), now);
            sum.on_acknowledged(share, sent, delay, now);
            if now >= SETTLED {
                carried[host] += bytes.0 as f64;
            }
        }
        if now >= SETTLED && now.0.is_multiple_of(7_350) {
            waits.push(link.free_at.since(now));
        }
        // One chunk of each host waits for its turn.
        loop {
            for (host, window) in windows.iter_mut().enumerate() {
                let waits = turns.iter().any(|(waiting, ..)| *waiting == host);
                let chunk = window.next_chunk().filter(|_| !waits);
                if let Some(bytes) = chunk.map(|chunk| sum.limit_chunk(chunk)) {
                    turns.push_back((host, bytes, window.share(bytes)));
                    window.on_sent(bytes);
                }
            }
            let is_open = |(_, _, share): &mut (usize, Size, Size)| sum.open_at(*share, now) <= now;
            let Some((host, bytes, share)) = turns.pop_front_if(is_open) else {
                break;
            };
            sum.on_sent(share, now);
            let passed = link.send(bytes, now);
            let acknowledged = host_links[host].send(bytes, passed) + round_trip;
            in_flight.push((acknowledged, now, host, bytes, share));
        }
    }
    waits.sort();
    let time = end.since(SETTLED).0 as f64 / 1e6;
    Shares {
        used: carried.iter().map(|c| c / link.rate / time).collect(),
        waits,
    }
}

#[test]
fn small_messages_wait_less_than_refusals_may_take() {
    for (hosts, round_trip) in [
        (1, 200),
        (1, 2_000),
        (1, 20_000),
        (2, 2_000),
        (4, 200),
        (8, 2_000),
        (16, 2_000),
    ] {
        let to = vec![200.0; hosts];
        let shares = play(10.0, Span(round_trip), &to, Span::from_millis(30_000));
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

/// Each sender has a link of its own, and all meet in front of the gate's.
#[test]
fn small_messages_to_a_gate_wait_little_behind_bodies_of_many_hosts() {
    for (senders, round_trip) in [(2, 200), (4, 2_000), (8, 200), (8, 10_000)] {
        let mut gate = Link::new(10.0);
        let mut windows: Vec<BodyWindow> = (0..senders).map(|_| BodyWindow::default()).collect();
        let mut in_flight: Vec<(Moment, Moment, usize, Size)> = Vec::new();
        let mut waits = Vec::new();
        for now in (0..30_000_000).step_by(50).map(Moment) {
            let due = in_flight.extract_if(.., |(at, ..)| *at <= now);
            for (at, sent, host, bytes) in due.collect::<Vec<_>>() {
                windows[host].on_acknowledged(bytes, at.since(sent), now);
            }
            for (host, window) in windows.iter_mut().enumerate() {
                while let Some(bytes) = window.next_chunk() {
                    window.on_sent(bytes);
                    let acknowledged = gate.send(bytes, now) + Span(round_trip);
                    in_flight.push((acknowledged, now, host, bytes));
                }
            }
            if now >= SETTLED && now.0.is_multiple_of(7_350) {
                waits.push(gate.free_at.since(now));
            }
        }
        waits.sort();
        let [p50, p99] = [0.5, 0.99].map(|part| waits[(waits.len() as f64 * part) as usize]);
        assert!(
            p50 < Span::from_millis(10),
            "{senders} {round_trip}: {p50:?}"
        );
        assert!(
            p99 < Span::from_millis(50),
            "{senders} {round_trip}: {p99:?}"
        );
    }
}

#[test]
fn bodies_use_most_of_the_link() {
    for (mbit, round_trip, hosts) in [
        (10.0, 1_000, 1),
        (10.0, 20_000, 1),
        (200.0, 1_000, 1),
        (200.0, 5_000, 1),
        (10.0, 1_000, 8),
        (200.0, 5_000, 8),
    ] {
        let to = vec![1_000.0; hosts];
        let shares = play(mbit, Span(round_trip), &to, Span::from_millis(30_000));
        let used: f64 = shares.used.iter().sum();
        assert!(used > 0.8, "{mbit} {round_trip} {hosts}: {used}");
    }
}

#[test]
fn hosts_with_slow_links_dont_hold_up_bodies_to_others() {
    for slow in [10.0, 0.1] {
        let to = [slow, 200.0];
        let shares = play(200.0, Span(2_000), &to, Span::from_millis(30_000));
        assert!(shares.used[1] > 0.5, "{slow}: {:?}", shares.used);
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
