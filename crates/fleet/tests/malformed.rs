//! Messages of peers with values that no correct node sends must not end the process.

use std::net::SocketAddr;

use fleet::{Gossip, Parts, ReadBudget, Snapshot};
use note::{ListedServer, Listing, OperatorConfig, Server, ServerStatus};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use types::{Boot, Era, Moment, Rate, Revision, Span, Stamp};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Values near the ends of the range, and some in between.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(u64::MAX),
        (u64::MAX - 3)..=u64::MAX,
        0..1_000_u64,
        any::<u64>()
    ]
}

fn listed(seq: u64, boot: u64) -> ListedServer {
    let server = Server {
        id: "a".parse().expect("a valid identifier"),
        service: "draws".parse().expect("a valid identifier"),
        zone: "nadi".parse().expect("a valid identifier"),
        host: "a".parse().expect("a valid identifier"),
        node: address(7),
        address: address(8),
        status: ServerStatus::In,
        boot: Boot(boot),
        slots: None,
    };
    ListedServer { server, seq }
}

proptest! {
    #[test]
    fn gossip_survives_any_revision_clock_and_hops(
        messages in prop::collection::vec((0..4_u8, number(), 1..6_u16), 1..40),
    ) {
        let reads = Rate::new(3.0).expect("a valid rate");
        let rng = SmallRng::seed_from_u64(1);
        let peers = (1..6).map(address).collect();
        let mut gossip = Gossip::new(address(9), peers, ReadBudget { reads }, rng);
        let mut now = Moment(10_000_000);
        for (kind, value, port) in messages {
            now = now + Span::from_millis(50);
            match kind {
                0 => gossip.on_peer_clock(Moment(value), now),
                1 => drop(gossip.on_peer_revision(address(port), Revision(value))),
                2 => drop(gossip.on_read_request(value as u32, now)),
                _ => drop(gossip.on_peer_differs(address(port), now)),
            }
            gossip.tick(now);
            prop_assert!(gossip.next_tick() < now + Span::from_millis(120_000));
        }
    }

    #[test]
    fn a_snapshot_survives_any_parts_and_still_takes_the_registrys_next_change(
        parts in prop::collection::vec((number(), number(), number(), number(), number()), 1..10),
    ) {
        let mut snapshot = Snapshot::default();
        let now = Moment(10_000_000);
        for (view, era, revision, seq, version) in parts {
            let stamp = Stamp { era: Era(era), revision: Revision(revision) };
            snapshot.merge(Parts {
                revision: Revision(view),
                listing: Some(Listing {
                    stamp,
                    servers: vec![listed(seq, version)],
                    ..Listing::default()
                }),
                config: Some(OperatorConfig { stamp, version, ..OperatorConfig::default() }),
                held: None,
            }, now);
            snapshot.raise_revision(Revision(view));
        }
        let before = snapshot.view().revision;
        let stamp = Stamp { era: Era(Era::MAX_VALID.0), revision: Revision(Revision::MAX_VALID.0) };
        let servers = vec![listed(1, u64::MAX)];
        let changed = snapshot.update_listing(Listing { stamp, servers, ..Listing::default() }, now);
        prop_assert!(!changed || snapshot.view().revision > before);
    }
}
