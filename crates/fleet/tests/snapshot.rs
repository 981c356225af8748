//! Views made of newest values.

use std::net::SocketAddr;

use fleet::Snapshot;
use note::{ListedServer, Listing, OperatorConfig, Server, ServerStatus};
use types::{Boot, Moment, Revision, Slots, Span};

fn server(name: &str) -> Server {
    let port = 80 + u16::from(name.as_bytes()[0]);
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Server {
        id: name.parse().expect("a name"),
        service: "draws".parse().expect("a name"),
        zone: "nadi".parse().expect("a name"),
        host: name.parse().expect("a name"),
        node: address,
        address,
        status: ServerStatus::In,
        boot: Boot(1),
        slots: Some(Slots(9)),
    }
}

fn listed(name: &str, beat: u64) -> ListedServer {
    ListedServer {
        server: server(name),
        beat,
    }
}

fn listing(revision: u64, servers: Vec<ListedServer>) -> Listing {
    Listing {
        revision: Revision(revision),
        servers,
        ..Listing::default()
    }
}

fn orders(revision: u64, version: u64) -> OperatorConfig {
    OperatorConfig {
        revision: Revision(revision),
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
fn each_part_makes_another_view_even_if_both_were_read_at_one_revision() {
    let mut snapshot = Snapshot::default();
    assert!(snapshot.update_listing(listing(100, vec![listed("a", 1)]), NOW));
    let first = snapshot.view().revision;
    assert!(snapshot.update_orders(orders(100, 7)));
    assert!(snapshot.view().revision > first);
    assert!(snapshot.is_complete());
}

#[test]
fn heartbeats_alone_change_nothing() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 1)]), NOW);
    assert!(!snapshot.update_listing(listing(101, vec![listed("a", 2)]), NOW));
}

#[test]
fn older_parts_are_passed_over() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 1)]), NOW);
    snapshot.update_orders(orders(100, 7));
    assert!(!snapshot.update_listing(listing(99, vec![]), NOW));
    assert!(!snapshot.update_orders(orders(101, 6)));
    assert_eq!(names(&snapshot), ["a"]);
}

#[test]
fn a_leaving_backend_server_stays_leaving_and_late_entries_are_passed_over() {
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
fn what_is_gone_comes_back_with_newer_entries_only() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 5)]), NOW);
    snapshot.update_listing(listing(101, vec![]), NOW);
    snapshot.update_listing(listing(102, vec![listed("a", 5)]), NOW);
    assert!(names(&snapshot).is_empty());
    snapshot.update_listing(listing(103, vec![listed("a", 6)]), NOW);
    assert_eq!(names(&snapshot), ["a"]);
}

#[test]
fn entries_that_vanish_around_an_outage_are_kept_until_their_owners_had_time() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 5), listed("b", 5)]), NOW);
    snapshot.on_read_failure(NOW);
    let back = NOW + Span::from_millis(1_000);
    snapshot.update_listing(listing(101, vec![listed("b", 6)]), back);
    assert_eq!(names(&snapshot), ["a", "b"]);
    let later = back + Span::from_millis(1_999);
    snapshot.update_listing(listing(102, vec![listed("b", 7)]), later);
    assert!(!snapshot.expire(later));
    assert_eq!(names(&snapshot), ["a", "b"]);
    let over = snapshot.next_expiry().expect("one is kept");
    assert_eq!(over, back + Span::from_millis(2_000));
    assert!(snapshot.expire(over));
    assert_eq!(names(&snapshot), ["b"]);
    assert_eq!(snapshot.next_expiry(), None);
}

#[test]
fn an_entry_that_is_kept_and_listed_again_stays() {
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing(100, vec![listed("a", 5), listed("b", 5)]), NOW);
    snapshot.on_read_failure(NOW);
    snapshot.update_listing(listing(101, vec![listed("b", 6)]), NOW);
    snapshot.update_listing(listing(102, vec![listed("a", 6), listed("b", 7)]), NOW);
    assert!(!snapshot.expire(NOW + Span::from_millis(60_000)));
    assert_eq!(names(&snapshot), ["a", "b"]);
}

#[test]
fn peers_get_the_listing_without_what_is_kept() {
    let mut one = Snapshot::default();
    one.update_listing(listing(100, vec![listed("a", 5), listed("b", 5)]), NOW);
    let mut other = one.clone();
    one.on_read_failure(NOW);
    one.update_listing(listing(101, vec![listed("b", 6)]), NOW);
    assert!(other.merge(one.parts(other.digests()), NOW));
    assert_eq!(names(&other), ["b"]);
    assert_eq!(one.digests(), other.digests());
}

#[test]
fn an_older_incarnation_at_an_address_is_gone_though_its_entry_has_not_expired() {
    let mut snapshot = Snapshot::default();
    let mut anew = listed("b", 1);
    anew.server.boot = Boot(2);
    anew.server.address = server("a").address;
    snapshot.update_listing(listing(100, vec![listed("a", 5), anew]), NOW);
    assert_eq!(names(&snapshot), ["b"]);
}

#[test]
fn a_peer_gets_only_the_part_that_it_lacks() {
    let mut giver = Snapshot::default();
    giver.update_listing(listing(100, vec![listed("a", 1)]), NOW);
    giver.update_orders(orders(100, 7));
    let mut taker = giver.clone();
    giver.update_listing(listing(105, vec![listed("b", 1)]), NOW);
    let parts = giver.parts(taker.digests());
    assert!(parts.orders.is_none());
    assert!(taker.merge(parts, NOW));
    assert_eq!(names(&taker), ["b"]);
    assert_eq!(taker.view().digest, giver.view().digest);
}

#[test]
fn parts_that_two_nodes_read_apart_come_together() {
    let mut one = Snapshot::default();
    one.update_listing(listing(100, vec![listed("a", 1)]), NOW);
    one.update_orders(orders(90, 7));
    let mut two = one.clone();
    one.update_listing(listing(110, vec![listed("b", 1)]), NOW);
    two.update_orders(orders(105, 8));
    let (to_two, to_one) = (one.parts(two.digests()), two.parts(one.digests()));
    assert!(one.merge(to_one, NOW));
    assert!(two.merge(to_two, NOW));
    assert_eq!(one.view().digest, two.view().digest);
    assert_eq!(names(&two), ["b"]);
}
