//! Tests of views made from the current values of a registry.

use std::net::SocketAddr;

use fleet::Snapshot;
use note::{ListedServer, Listing, OperatorConfig, Server, ServerStatus, ZoneStatus};
use types::{Boot, Moment, Revision, Slots, Span, Stamp};

fn server(name: &str) -> Server {
    let port = 80 + u16::from(name.as_bytes()[0]);
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Server {
        id: name.parse().expect("a valid identifier"),
        service: "draws".parse().expect("a valid identifier"),
        zone: "nadi".parse().expect("a valid identifier"),
        host: name.parse().expect("a valid identifier"),
        node: address,
        address,
        status: ServerStatus::In,
        boot: Boot(1),
        slots: Some(Slots(9)),
    }
}

fn listed(name: &str, seq: u64) -> ListedServer {
    ListedServer {
        server: server(name),
        seq,
    }
}

fn listing(revision: u64, servers: Vec<ListedServer>) -> Listing {
    Listing {
        stamp: Stamp::without_era(Revision(revision)),
        servers,
        ..Listing::default()
    }
}

fn config(revision: u64, version: u64) -> OperatorConfig {
    OperatorConfig {
        stamp: Stamp::without_era(Revision(revision)),
        version,
        ..OperatorConfig::default()
    }
}

fn names(snapshot: &Snapshot) -> Vec<String> {
    let servers = snapshot.view().state.servers.keys();
    servers.map(ToString::to_string).collect()
}

const NOW: Moment = Moment(10_000_000);

#[test]
fn each_part_advances_the_revision_even_if_both_were_read_at_the_same_one() {
    let mut snapshot = Snapshot::default();
    assert!(snapshot.update_listing(listing(100, vec![listed("a", 1)]), NOW));
    let first = snapshot.view().revision;
    assert!(snapshot.update_config(config(100, 7), NOW));
    assert!(snapshot.view().revision > first);
    assert!(snapshot.is_complete());
}

#[test]
fn heartbeats_alone_do_not_change_the_view() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 1)]), NOW);
    assert!(!snapshot.update_listing(listing(101, vec![listed("a", 2)]), NOW));
}

#[test]
fn older_parts_are_ignored() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 1)]), NOW);
    snapshot.update_config(config(100, 7), NOW);
    assert!(!snapshot.update_listing(listing(99, vec![]), NOW));
    assert!(!snapshot.update_config(config(101, 6), NOW));
    assert_eq!(names(&snapshot), ["a"]);
}

#[test]
fn a_backend_server_stays_leaving_and_delayed_entries_are_ignored() {
    let mut snapshot = Snapshot::default();
    let mut leaving = listed("a", 5);
    leaving.server.status = ServerStatus::Leaving;
    snapshot.update_listing(listing(100, vec![leaving]), NOW);
    snapshot.update_listing(listing(101, vec![listed("a", 4)]), NOW);
    snapshot.update_listing(listing(102, vec![listed("a", 6)]), NOW);
    let status = snapshot
        .view()
        .state
        .servers
        .values()
        .map(|e| e.item.status);
    assert_eq!(status.collect::<Vec<_>>(), [ServerStatus::Leaving]);
}

#[test]
fn a_removed_backend_server_returns_only_with_a_newer_entry() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 5)]), NOW);
    snapshot.update_listing(listing(101, vec![]), NOW);
    snapshot.update_listing(listing(102, vec![listed("a", 5)]), NOW);
    assert!(names(&snapshot).is_empty());
    snapshot.update_listing(listing(103, vec![listed("a", 6)]), NOW);
    assert_eq!(names(&snapshot), ["a"]);
}

#[test]
fn entries_that_disappear_during_an_outage_are_retained_temporarily() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 5), listed("b", 5)]), NOW);
    snapshot.on_read_failure(NOW);
    let recovered = NOW + Span::from_millis(1_000);
    snapshot.update_listing(listing(101, vec![listed("b", 6)]), recovered);
    assert_eq!(names(&snapshot), ["a", "b"]);
    let later = recovered + Span::from_millis(1_999);
    snapshot.update_listing(listing(102, vec![listed("b", 7)]), later);
    assert!(!snapshot.expire(later));
    assert_eq!(names(&snapshot), ["a", "b"]);
    let expiry = snapshot.next_expiry().expect("a retained entry");
    assert_eq!(expiry, recovered + Span::from_millis(2_000));
    assert!(snapshot.expire(expiry));
    assert_eq!(names(&snapshot), ["b"]);
    assert_eq!(snapshot.next_expiry(), None);
}

#[test]
fn a_retained_entry_that_is_listed_again_stays() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 5), listed("b", 5)]), NOW);
    snapshot.on_read_failure(NOW);
    snapshot.update_listing(listing(101, vec![listed("b", 6)]), NOW);
    snapshot.update_listing(listing(102, vec![listed("a", 6), listed("b", 7)]), NOW);
    assert!(!snapshot.expire(NOW + Span::from_millis(60_000)));
    assert_eq!(names(&snapshot), ["a", "b"]);
}

#[test]
fn peers_get_the_listing_without_retained_entries() {
    let mut left = Snapshot::default();
    left.update_listing(listing(100, vec![listed("a", 5), listed("b", 5)]), NOW);
    let mut right = left.clone();
    left.on_read_failure(NOW);
    left.update_listing(listing(101, vec![listed("b", 6)]), NOW);
    assert!(right.merge(left.parts(right.digests(), NOW), NOW));
    assert_eq!(names(&right), ["b"]);
    assert_eq!(left.digests(), right.digests());
}

#[test]
fn an_older_incarnation_at_the_same_address_is_left_out_before_its_entry_expires() {
    let mut snapshot = Snapshot::default();
    let mut restarted = listed("b", 1);
    restarted.server.boot = Boot(2);
    restarted.server.address = server("a").address;
    snapshot.update_listing(listing(100, vec![listed("a", 5), restarted]), NOW);
    assert_eq!(names(&snapshot), ["b"]);
}

#[test]
fn a_peer_gets_only_the_part_that_it_lacks() {
    let mut sender = Snapshot::default();
    sender.update_listing(listing(100, vec![listed("a", 1)]), NOW);
    sender.update_config(config(100, 7), NOW);
    let mut receiver = sender.clone();
    sender.update_listing(listing(105, vec![listed("b", 1)]), NOW);
    let parts = sender.parts(receiver.digests(), NOW);
    assert!(parts.config.is_none());
    assert!(receiver.merge(parts, NOW));
    assert_eq!(names(&receiver), ["b"]);
    assert_eq!(receiver.view().digest, sender.view().digest);
}

#[test]
fn nodes_that_read_different_parts_converge() {
    let mut left = Snapshot::default();
    left.update_listing(listing(100, vec![listed("a", 1)]), NOW);
    left.update_config(config(90, 7), NOW);
    let mut right = left.clone();
    left.update_listing(listing(110, vec![listed("b", 1)]), NOW);
    right.update_config(config(105, 8), NOW);
    let (to_right, to_left) = (
        left.parts(right.digests(), NOW),
        right.parts(left.digests(), NOW),
    );
    assert!(left.merge(to_left, NOW));
    assert!(right.merge(to_right, NOW));
    assert_eq!(left.view().digest, right.view().digest);
    assert_eq!(names(&right), ["b"]);
}

#[test]
fn zones_out_of_service_take_effect_before_the_configuration_is_read() {
    let mut snapshot = Snapshot::default();
    snapshot.update_config(config(100, 7), NOW);
    let zone = || vec!["nadi".parse().expect("a valid identifier")];
    assert!(snapshot.update_zones(zone(), Stamp::without_era(Revision(101)), NOW));
    let out = |s: &Snapshot| {
        s.view()
            .state
            .zones
            .values()
            .any(|z| z.item.status == ZoneStatus::Out)
    };
    assert!(out(&snapshot));
    let older = Stamp::without_era(Revision(100));
    assert!(
        !snapshot.update_zones(Vec::new(), older, NOW),
        "of an older read"
    );
    let read = OperatorConfig {
        checked: Stamp::without_era(Revision(102)),
        ..config(0, 8)
    };
    assert!(snapshot.update_from_registry(read, NOW));
    assert!(out(&snapshot), "the configuration says nothing of zones");
}

#[test]
fn the_configuration_of_a_peer_brings_the_stamp_up_to_which_it_was_compared() {
    let checked = Stamp::without_era(Revision(110));
    let mut sender = Snapshot::default();
    sender.update_from_registry(
        OperatorConfig {
            checked,
            ..config(0, 7)
        },
        NOW,
    );
    let mut receiver = Snapshot::default();
    assert_eq!(receiver.checked(), None);
    receiver.merge(sender.parts(receiver.digests(), NOW), NOW);
    assert_eq!(receiver.checked(), Some(checked));
    receiver.confirm_config(Stamp::without_era(Revision(105)));
    assert_eq!(receiver.checked(), Some(checked), "never earlier");
}
