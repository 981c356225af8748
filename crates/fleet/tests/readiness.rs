//! When a starting node may accept requests.

use std::net::SocketAddr;

use fleet::Readiness;

fn peers() -> [SocketAddr; 2] {
    ["127.0.0.1:1", "127.0.0.1:2"].map(|text| text.parse().expect("a valid address"))
}

fn asked() -> Readiness {
    let mut readiness = Readiness::default();
    assert_eq!(readiness.take_unasked(&peers()), peers());
    readiness.on_platform_read();
    readiness
}

#[test]
fn a_restarted_node_hears_from_a_ready_peer_first() {
    let mut readiness = asked();
    assert!(!readiness.has_heard_peers());
    readiness.on_peer_answer(peers()[0], false);
    assert!(!readiness.has_heard_peers(), "it knows no more");
    readiness.on_peer_answer(peers()[1], true);
    assert!(readiness.has_heard_peers());
}

#[test]
fn a_node_that_reaches_no_peer_starts_with_what_the_platform_says() {
    let mut readiness = asked();
    for peer in peers() {
        readiness.on_peer_failure(peer);
    }
    assert!(readiness.has_heard_peers());
}
