//! A few nodes that draw from each other over a fake network.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use allowance::owners;
use board::{Board, Identity};
use dialect::Rejection;
use futures::{FutureExt, future::BoxFuture};
use metrics::Metrics;
use note::{
    Allowance, Limits, ListedServer, Listing, OperatorConfig, Server, ServerStatus, Service, State,
    Team, View,
};
use tokio::time::sleep;
use types::{Boot, Moment, Rate, Revision, Span, TeamId};
use wire::peer::{DrawReply, DrawRequest};

use super::{Allowances, Courier, members_of};

const NODES: usize = 6;
const ZONES: usize = 3;

/// Nodes by address, and pairs of nodes without a way between them.
#[derive(Default)]
struct Network {
    nodes: Mutex<HashMap<SocketAddr, Arc<Allowances>>>,
    cut: Mutex<HashSet<(SocketAddr, SocketAddr)>>,
}

struct FakeCourier {
    network: Arc<Network>,
    from: SocketAddr,
}

impl Courier for FakeCourier {
    fn draw(&self, to: SocketAddr, request: DrawRequest) -> BoxFuture<'_, Option<DrawReply>> {
        let is_cut = self.network.cut.lock().unwrap().contains(&(self.from, to));
        let node = self.network.nodes.lock().unwrap().get(&to).cloned();
        match node.filter(|_| !is_cut) {
            Some(node) => async move { node.serve(request).await }.boxed(),
            None => futures::future::pending().boxed(),
        }
    }

    fn retain(&self, _: &HashSet<SocketAddr>) {}
}

struct Fleet {
    network: Arc<Network>,
    view: Arc<View>,
    nodes: Vec<Arc<Allowances>>,
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + index as u16).into()
}

fn team() -> TeamId {
    "team".parse().expect("a valid id")
}

fn view(allowance: Option<Allowance>) -> Arc<View> {
    let service = Service {
        id: "service".parse().expect("a valid id"),
        limits: Limits::default(),
        routes: Vec::new(),
        sheds: Vec::new(),
    };
    let listed = |index: usize| ListedServer {
        server: Server {
            id: format!("server-{index}").parse().expect("a valid id"),
            service: service.id.clone(),
            zone: format!("zone-{}", index % ZONES)
                .parse()
                .expect("a valid id"),
            host: format!("host-{index}").parse().expect("a valid id"),
            node: address(index),
            address: address(index),
            status: ServerStatus::In,
            boot: Boot(1),
            slots: None,
        },
        seq: 1,
    };
    let listing = Listing {
        servers: (0..NODES).map(listed).collect(),
        ..Listing::default()
    };
    let team = Team {
        id: team(),
        keys: Default::default(),
        allowance,
        priority: None,
    };
    let config = OperatorConfig {
        services: vec![service.clone()],
        teams: vec![team],
        ..OperatorConfig::default()
    };
    let revision = Revision(1);
    Arc::new(View {
        revision,
        state: State::assemble(&listing, &config, revision),
        ..View::default()
    })
}

/// A fleet whose nodes have found each other.
async fn fleet(rate: f64, burst: u32) -> Fleet {
    let rate = Rate::new(rate).expect("a valid rate");
    let view = view(Some(Allowance { rate, burst }));
    let network = Arc::new(Network::default());
    let start = |index: usize| {
        let board = Board::new(Identity {
            host: format!("host-{index}").parse().expect("a valid id"),
            zone: format!("zone-{}", index % ZONES)
                .parse()
                .expect("a valid id"),
            node: address(index),
            boot: Boot(2),
        });
        board.view.send_replace(Arc::clone(&view));
        let courier = FakeCourier {
            network: Arc::clone(&network),
            from: address(index),
        };
        let node = Allowances::new(board, Arc::new(courier), Arc::new(Metrics::new()));
        let mut nodes = network.nodes.lock().unwrap();
        nodes.insert(address(index), Arc::clone(&node));
        tokio::spawn(Arc::clone(&node).run());
        node
    };
    let nodes = (0..NODES).map(start).collect();
    sleep(Duration::from_millis(1_600)).await;
    Fleet {
        network,
        view,
        nodes,
    }
}

impl Fleet {
    /// The nodes in the order in which they own the team.
    fn order(&self) -> Vec<usize> {
        let order = owners(&team(), &members_of(&self.view));
        order
            .iter()
            .map(|m| usize::from(m.node.port() - 7_000))
            .collect()
    }

    fn cut(&self, a: usize, b: usize) {
        let mut cut = self.network.cut.lock().unwrap();
        cut.extend([(address(a), address(b)), (address(b), address(a))]);
    }

    fn kill(&self, index: usize) {
        self.network.nodes.lock().unwrap().remove(&address(index));
    }

    async fn take(&self, index: usize) -> Result<(), &'static str> {
        let taken = self.nodes[index].take(&team(), Moment::MAX).await;
        taken.map(|_| ()).map_err(Rejection::name)
    }

    /// Requests that an ingress may run, of this number, sent 10 ms apart.
    async fn granted(&self, index: usize, requests: usize) -> usize {
        let mut granted = 0;
        for _ in 0..requests {
            granted += usize::from(self.take(index).await.is_ok());
            sleep(Duration::from_millis(10)).await;
        }
        granted
    }
}

#[tokio::test]
async fn a_team_without_an_allowance_needs_no_token() {
    let fleet = fleet(10.0, 1).await;
    let node = &fleet.nodes[0];
    node.board.view.send_replace(view(None));
    let taken = node.take(&team(), Moment::MAX).await;
    assert!(matches!(taken, Ok(None)));
}

#[tokio::test]
async fn all_ingresses_draw_from_one_bucket() {
    let fleet = fleet(20.0, 0).await;
    let started_at = Instant::now();
    let mut granted = 0;
    for index in (0..NODES).cycle().take(120) {
        granted += fleet.granted(index, 1).await;
    }
    // The bucket holds 8 tokens before, and gets 20.4 a second.
    let most = 8.0 + 20.4 * started_at.elapsed().as_secs_f64();
    assert!(granted >= 8, "{granted} of 120 ran");
    assert!(
        granted as f64 <= most,
        "{granted} of 120 ran, allowed are {most}"
    );
}

#[tokio::test]
async fn a_refused_request_is_told_when_there_is_room() {
    let fleet = fleet(2.0, 0).await;
    let refused = loop {
        match fleet.nodes[0].take(&team(), Moment::MAX).await {
            Ok(_) => {}
            Err(refused) => break refused,
        }
    };
    let Rejection::OverAllowance { retry_after } = refused else {
        panic!("{refused:?}");
    };
    assert!(retry_after <= Span::from_millis(500), "{retry_after}");
    sleep(retry_after.duration()).await;
    assert_eq!(fleet.take(0).await, Ok(()));
}

#[tokio::test]
async fn a_successor_replaces_a_dead_owner_after_a_while() {
    let fleet = fleet(50.0, 0).await;
    let order = fleet.order();
    fleet.kill(order[0]);
    let ingress = order[NODES - 1];
    assert_eq!(fleet.take(ingress).await, Err("allowance_unknown"));
    sleep(Duration::from_millis(1_500)).await;
    let granted = fleet.granted(ingress, 50).await;
    assert!(granted >= 20, "{granted} of 50 ran");
}

#[tokio::test]
async fn a_zone_that_doesnt_see_the_owners_gets_tokens_through_the_third() {
    let fleet = fleet(50.0, 0).await;
    let owner = fleet.order()[0];
    let blind = (owner + 1) % ZONES;
    for a in (0..NODES).filter(|i| i % ZONES == blind) {
        for b in (0..NODES).filter(|i| i % ZONES == owner % ZONES) {
            fleet.cut(a, b);
        }
    }
    sleep(Duration::from_millis(2_000)).await;
    let ingress = blind;
    let granted = fleet.granted(ingress, 50).await;
    assert!(granted >= 20, "{granted} of 50 ran");
    // Only the owner has granted any.
    for (index, node) in fleet.nodes.iter().enumerate() {
        let uses = node.core().owner.uses();
        assert_eq!(uses.is_empty(), index != owner, "node {index}: {uses:?}");
    }
}

#[tokio::test]
async fn a_malformed_question_gets_no_answer() {
    let fleet = fleet(10.0, 1).await;
    let bad_rate = DrawRequest {
        team: "team".into(),
        rate: f64::NAN,
        ..DrawRequest::default()
    };
    let bad_node = DrawRequest {
        node: "nowhere".into(),
        ..DrawRequest::default()
    };
    for request in [bad_rate, bad_node] {
        assert!(fleet.nodes[0].serve(request).await.is_none());
    }
}
