//! Entries of services that the configuration doesn't name, beside a fleet of nodes in virtual time.

use std::net::SocketAddr;

use fleet::{Action, Gossip, ReadBudget, Snapshot};
use note::{Limits, ListedServer, Listing, OperatorConfig, Server, ServerStatus, Service, State};
use rand::{SeedableRng, rngs::SmallRng};
use types::{Boot, Moment, Rate, Revision, Span, Stamp};

/// Read budget of the fleet, as deployed.
const READS_PER_S: f64 = 3.0;
/// Longest allowed time between two reads: the fleet must distribute a change within two seconds.
const MAX_READ_GAP: Span = Span::from_millis(1_500);
const STEP: Span = Span::from_millis(20);
const REQUEST_TIMEOUT: Span = Span::from_millis(500);
const PLAY_TIME: Span = Span::from_millis(60_000);
/// Nodes of the fleet.
const NODES: u16 = 6;

fn node(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn listed(number: u16, service: &str) -> ListedServer {
    let node = node(number);
    let server = Server {
        id: format!("i-{number}").parse().expect("a valid identifier"),
        service: service.parse().expect("a valid identifier"),
        zone: "nadi".parse().expect("a valid identifier"),
        host: node.ip().to_string().parse().expect("a valid identifier"),
        node,
        address: SocketAddr::new(node.ip(), 80),
        status: ServerStatus::In,
        boot: Boot(1),
        slots: None,
    };
    ListedServer { server, seq: 1 }
}

/// The state of a fleet beside `foreign` entries.
fn state(foreign: u16) -> State {
    let own = (0..NODES).map(|number| listed(number, "fees"));
    let foreign = (NODES..NODES + foreign).map(|number| listed(number, "other"));
    let stamp = Stamp::without_era(Revision(5));
    let listing = Listing {
        stamp,
        servers: own.chain(foreign).collect(),
        ..Listing::default()
    };
    let service = Service {
        id: "fees".parse().expect("a valid identifier"),
        limits: Limits::default(),
        routes: Vec::new(),
        sheds: Vec::new(),
    };
    let config = OperatorConfig {
        stamp,
        version: 7,
        services: vec![service],
        ..OperatorConfig::default()
    };
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(listing, Moment(1));
    snapshot.update_config(config, Moment(1));
    snapshot.view().state.clone()
}

/// Returns the longest time between two reads of the registry.
fn max_read_gap(members: &[SocketAddr]) -> Span {
    let reads = Rate::new(READS_PER_S).expect("a rate");
    let gossip = |number: u16| {
        let rng = SmallRng::seed_from_u64(number.into());
        Gossip::new(node(number), members.to_vec(), ReadBudget { reads }, rng)
    };
    let mut nodes: Vec<Gossip> = (0..NODES).map(gossip).collect();
    let mut unanswered: Vec<(Moment, usize, SocketAddr)> = Vec::new();
    let (mut now, mut last_read, mut longest) = (Moment(1), Moment(1), Span::default());
    while now < Moment(1) + PLAY_TIME {
        now = now + STEP;
        for (_, index, peer) in unanswered.extract_if(.., |(at, ..)| *at <= now) {
            nodes[index].on_peer_unreachable(peer, now);
        }
        for (index, gossip) in nodes.iter_mut().enumerate() {
            for action in gossip.tick(now) {
                match action {
                    Action::Read => {
                        longest = longest.max(now.since(last_read));
                        last_read = now;
                    }
                    Action::Compare(peer) if (0..NODES).any(|number| node(number) == peer) => {
                        gossip.on_compare_answered(now);
                    }
                    Action::Compare(peer) => {
                        unanswered.push((now + REQUEST_TIMEOUT, index, peer));
                    }
                    Action::Pull(_) | Action::Delegate(..) => {}
                }
            }
        }
    }
    longest.max(now.since(last_read))
}

#[test]
fn entries_of_services_that_are_not_named_starve_no_reads() {
    let gap = |foreign| {
        let members: Vec<SocketAddr> = state(foreign).nodes().collect();
        max_read_gap(&members)
    };
    let gaps = [0, 1, 2, 3, 6, 12, 60, 600].map(|foreign| (foreign, gap(foreign)));
    assert!(gaps.iter().all(|(_, gap)| *gap <= MAX_READ_GAP), "{gaps:?}");
}

#[test]
fn all_nodes_are_members_until_a_service_is_named() {
    let mut state = state(3);
    assert_eq!(state.nodes().count(), usize::from(NODES));
    state.services.clear();
    assert_eq!(state.nodes().count(), usize::from(NODES) + 3);
}

/// Assembles the state of a named server and of an entry beside it, and checks that the first one holds.
fn check_named_server(foreign: ListedServer) {
    let listing = Listing {
        servers: vec![listed(0, "fees"), foreign],
        ..Listing::default()
    };
    let service = state(0).services.into_values().map(|e| e.item).collect();
    let config = OperatorConfig {
        services: service,
        ..OperatorConfig::default()
    };
    let state = State::assemble(&listing, &config, Revision(1));
    let own = listed(0, "fees").server;
    assert_eq!(state.server(&own.id), Some(&own));
    assert_eq!(state.server_on(&own.host), Some(&own));
}

#[test]
fn an_entry_of_a_service_that_is_not_named_hides_none_at_its_address() {
    let mut foreign = listed(9, "other");
    foreign.server.address = listed(0, "fees").server.address;
    foreign.server.boot = Boot(2);
    check_named_server(foreign);
}

#[test]
fn an_entry_of_a_service_that_is_not_named_hides_none_on_its_host() {
    let mut foreign = listed(9, "other");
    foreign.server.host = listed(0, "fees").server.host;
    foreign.server.boot = Boot(2);
    check_named_server(foreign);
}
