//! Tests of the read budget with a faulty platform, and of a view that takes long to receive.

mod evidence;
mod keys;
mod silent_watch;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use board::{Board, Phase};
use fixtures::board;
use fleet::{Snapshot, ViewUpdate};
use futures::{FutureExt, future::BoxFuture, stream::BoxStream};
use metrics::Metrics;
use note::{Listing, OperatorConfig};
use platform::{
    ConfigRead, HostList, NotePage, Platform, PlatformError, RefusedRead, RefusedVersion, Registry,
    RegistryEntries,
};
use tokio::{net::TcpListener, time::timeout};
use tonic::{
    Request, Response, Status, Streaming,
    transport::{Server, server::TcpIncoming},
};
use types::{Fingerprint, Moment, Rate, Revision, Span, Stamp};
use wire::peer::{
    AskRequest, BodyChunk, DeliverReply, DrawReply, DrawRequest, OfferReply, OfferRequest,
    OpenReply, OpenRequest, Outcome, PullReply, PullRequest, RunRequest, ServerEnd, SuspectRequest,
    View,
    peer_server::{Peer, PeerServer},
};

use super::{Dump, Source, SyncOptions, spawn};

/// Number of reads after which the fake stops answering, so that a loop of reads ends.
const MAX_READS: u64 = 1_000;
/// Read budget of the node, in reads per second.
const READS_PER_SECOND: u64 = 100;

/// Options of a node that knows these peers, and may read so many times a second.
fn options(seeds: Vec<SocketAddr>, reads: f64) -> SyncOptions {
    SyncOptions {
        seeds,
        reads: Rate::new(reads).expect("a valid rate"),
        lease: Span::from_millis(3_000),
        key_lease: None,
    }
}

async fn wait_until_ready(board: &Board) {
    let mut phases = board.phase.subscribe();
    let ready = phases.wait_for(|phase| *phase == Phase::Ready);
    let ready = timeout(Duration::from_secs(5), ready).await;
    ready.expect("ready in time").expect("a phase");
}

/// An empty listing of a registry at this revision.
fn no_entries(revision: u64) -> RegistryEntries {
    let listing = Listing {
        stamp: Stamp::without_era(Revision(revision)),
        ..Listing::default()
    };
    RegistryEntries {
        listing,
        ..RegistryEntries::default()
    }
}

/// A platform that reports a newer revision but serves no notes, as happens if the next note
/// exceeds the maximum value size.
#[derive(Default)]
struct MissingNotePlatform {
    reads: AtomicU64,
}

impl Platform for MissingNotePlatform {
    fn notes(&self, _: Revision) -> BoxFuture<'_, Result<NotePage, PlatformError>> {
        let reads = self.reads.fetch_add(1, Ordering::Relaxed);
        async move {
            if reads >= MAX_READS {
                std::future::pending::<()>().await;
            }
            Ok(NotePage {
                head: Revision(5),
                notes: Vec::new(),
            })
        }
        .boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        async { Ok(HostList::new()) }.boxed()
    }
}

#[tokio::test]
async fn platform_without_its_newest_note_is_read_within_the_budget() {
    let board = board();
    let platform = Arc::new(MissingNotePlatform::default());
    let metrics = Arc::new(Metrics::new());
    let _view_sync = spawn(
        &board,
        Source::notes(Arc::clone(&platform) as _),
        &metrics,
        options(Vec::new(), READS_PER_SECOND as f64),
    );
    let seconds = 3;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let reads = platform.reads.load(Ordering::Relaxed);
    assert!(reads <= READS_PER_SECOND * seconds, "{reads} reads");
}

/// A registry that answers no read.
struct UnreachableRegistry;

impl Registry for UnreachableRegistry {
    fn entries(&self) -> BoxFuture<'_, Result<RegistryEntries, PlatformError>> {
        async { Err(PlatformError::EraChanged) }.boxed()
    }

    fn config(&self, _: Option<Stamp>) -> BoxFuture<'_, Result<ConfigRead, PlatformError>> {
        async { Err(PlatformError::EraChanged) }.boxed()
    }
}

/// Time that the peer's view takes to arrive: 3 MB on a link of 10 Mbit/s.
const TRANSFER_TIME: Duration = Duration::from_millis(2_500);

/// A peer whose view takes [`TRANSFER_TIME`] to arrive.
struct SlowPeer {
    snapshot: Snapshot,
    address: String,
    /// Time that it takes for a comparison.
    compare_time: Duration,
    suspects: Vec<SuspectRequest>,
    /// Whether it knows a configuration itself.
    ready: bool,
    /// Whether those that compared with it said that their view is current, in this order.
    told: Arc<Mutex<Vec<bool>>>,
}

impl SlowPeer {
    fn new(compare_time: Duration, suspects: Vec<SuspectRequest>) -> Self {
        Self {
            snapshot: snapshot(),
            address: String::new(),
            compare_time,
            suspects,
            ready: true,
            told: Arc::default(),
        }
    }

    /// Starts to serve, and returns the address.
    async fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let peer = Self {
            address: address.to_string(),
            ..self
        };
        let server = Server::builder().add_service(PeerServer::new(peer));
        tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
        address
    }
}

/// Starts a peer, and returns its address.
async fn start_peer(compare_time: Duration, suspects: Vec<SuspectRequest>) -> SocketAddr {
    SlowPeer::new(compare_time, suspects).start().await
}

#[tonic::async_trait]
impl Peer for SlowPeer {
    async fn open(&self, _: Request<OpenRequest>) -> Result<Response<OpenReply>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn run(&self, _: Request<RunRequest>) -> Result<Response<Outcome>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn offer(&self, _: Request<OfferRequest>) -> Result<Response<OfferReply>, Status> {
        Err(Status::unimplemented("not used"))
    }

    type DeliverStream = BoxStream<'static, Result<DeliverReply, Status>>;

    async fn deliver(
        &self,
        _: Request<Streaming<BodyChunk>>,
    ) -> Result<Response<Self::DeliverStream>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn ask(&self, _: Request<AskRequest>) -> Result<Response<Outcome>, Status> {
        Err(Status::unimplemented("not used"))
    }

    async fn compare(&self, request: Request<View>) -> Result<Response<View>, Status> {
        let ready = request.into_inner().ready;
        let told = || self.told.lock().expect("no test panics with this lock");
        told().push(ready);
        tokio::time::sleep(self.compare_time).await;
        let view = self.snapshot.view();
        Ok(Response::new(View {
            revision: view.revision.0,
            digest: view.digest.0.to_vec().into(),
            node: self.address.clone(),
            ready: self.ready,
            suspects: self.suspects.clone(),
            ..View::default()
        }))
    }

    async fn draw(&self, _: Request<DrawRequest>) -> Result<Response<DrawReply>, Status> {
        Err(Status::unimplemented("no allowances"))
    }

    async fn pull(&self, _: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        tokio::time::sleep(TRANSFER_TIME).await;
        let parts = self.snapshot.parts(fleet::Digests::default(), Moment(0));
        let update = ViewUpdate::Parts(Box::new(parts));
        let view = serde_json::to_vec(&update).unwrap_or_default().into();
        Ok(Response::new(PullReply { view }))
    }
}

fn snapshot() -> Snapshot {
    let stamp = Stamp::without_era(Revision(5));
    let mut snapshot = Snapshot::default();
    snapshot.update_listing(
        Listing {
            stamp,
            ..Listing::default()
        },
        Moment(0),
    );
    let config = OperatorConfig {
        stamp,
        version: 7,
        ..OperatorConfig::default()
    };
    snapshot.update_config(config, Moment(0));
    snapshot
}

#[tokio::test]
async fn a_view_that_takes_seconds_to_arrive_from_a_peer_is_taken() {
    let address = start_peer(Duration::ZERO, Vec::new()).await;
    let board = board();
    let mut views = board.view.subscribe();
    let _view_sync = spawn(
        &board,
        Source::registry(Arc::new(UnreachableRegistry)),
        &Arc::new(Metrics::new()),
        options(vec![address], 3.0),
    );
    let changed = timeout(TRANSFER_TIME * 2, views.changed()).await;
    changed.expect("the peer's view in time").expect("a view");
}

/// A registry that has what [`snapshot`] has.
struct FastRegistry;

impl Registry for FastRegistry {
    fn entries(&self) -> BoxFuture<'_, Result<RegistryEntries, PlatformError>> {
        async { Ok(no_entries(5)) }.boxed()
    }

    fn config(&self, _: Option<Stamp>) -> BoxFuture<'_, Result<ConfigRead, PlatformError>> {
        let config = OperatorConfig {
            stamp: Stamp::without_era(Revision(5)),
            checked: Stamp::without_era(Revision(5)),
            version: 7,
            ..OperatorConfig::default()
        };
        async { Ok(ConfigRead::Changed(Box::new(config))) }.boxed()
    }
}

#[tokio::test]
async fn a_node_is_ready_once_a_peer_has_told_it_which_requests_end_servers() {
    let suspect = SuspectRequest {
        fingerprint: 7_u128.to_be_bytes().to_vec().into(),
        ends: vec![ServerEnd {
            id: 1,
            server: "server".into(),
            ..ServerEnd::default()
        }],
    };
    let address = start_peer(Duration::from_millis(200), vec![suspect]).await;
    let board = board();
    let _view_sync = spawn(
        &board,
        Source::registry(Arc::new(FastRegistry)),
        &Arc::new(Metrics::new()),
        options(vec![address], 3.0),
    );
    wait_until_ready(&board).await;
    let quarantine = board.quarantine.borrow();
    assert!(quarantine.evidence(Fingerprint(7)).is_some());
}

/// A node that was stopped before it had joined told its peers that its view is current.
#[tokio::test]
async fn a_node_that_is_stopped_before_it_has_joined_does_not_tell_peers_that_its_view_is_current()
{
    let peer = SlowPeer {
        ready: false,
        ..SlowPeer::new(Duration::ZERO, Vec::new())
    };
    let told = Arc::clone(&peer.told);
    let address = peer.start().await;
    let board = board();
    board.phase.send_replace(Phase::Leaving);
    let _view_sync = spawn(
        &board,
        Source::registry(Arc::new(UnreachableRegistry)),
        &Arc::new(Metrics::new()),
        options(vec![address], 3.0),
    );
    tokio::time::sleep(Duration::from_secs(2)).await;
    let told = told.lock().expect("no test panics with this lock");
    assert!(!told.is_empty() && !told.contains(&true), "{told:?}");
}

#[tokio::test]
async fn a_node_that_learns_the_configuration_while_it_stops_has_joined_and_goes_on_stopping() {
    let board = board();
    board.phase.send_replace(Phase::Leaving);
    let mut joined = board.joined.subscribe();
    let _view_sync = spawn(
        &board,
        Source::registry(Arc::new(FastRegistry)),
        &Arc::new(Metrics::new()),
        options(Vec::new(), 3.0),
    );
    let joining = joined.wait_for(|joined| *joined);
    let joined = timeout(Duration::from_secs(5), joining).await;
    joined.expect("joined in time").expect("a board");
    assert_eq!(board.phase(), Phase::Leaving);
}

/// A registry whose configuration is invalid.
#[derive(Default)]
struct RefusingRegistry {
    reads: AtomicU64,
}

impl Registry for RefusingRegistry {
    fn entries(&self) -> BoxFuture<'_, Result<RegistryEntries, PlatformError>> {
        FastRegistry.entries()
    }

    fn config(&self, _: Option<Stamp>) -> BoxFuture<'_, Result<ConfigRead, PlatformError>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let config = OperatorConfig::default();
        let refused = RefusedVersion {
            version: Some(9),
            faults: note::check_config(&config),
        };
        let read = RefusedRead {
            checked: Stamp::without_era(Revision(5)),
            refused: vec![refused],
            valid: None,
        };
        async { Ok(ConfigRead::Refused(Box::new(read))) }.boxed()
    }
}

#[tokio::test]
async fn a_refused_configuration_is_counted_once_and_shown_with_its_faults() {
    let registry = Arc::new(RefusingRegistry::default());
    let metrics = Arc::new(Metrics::new());
    let view_sync = spawn(
        &board(),
        Source::registry(Arc::clone(&registry) as _),
        &metrics,
        options(Vec::new(), READS_PER_SECOND as f64),
    );
    while registry.reads.load(Ordering::Relaxed) < 4 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let text = metrics.prometheus_text();
    let counters = text.lines().filter(|l| l.starts_with("refused_configs"));
    let counts: Vec<_> = counters.filter_map(|l| l.rsplit(' ').next()).collect();
    assert_eq!(counts, ["1"], "{text}");
    let mut versions = text.lines().filter(|l| l.starts_with("config_version{"));
    let is_refused = |l: &str| l.contains("refused") && l.ends_with(" 9");
    assert!(versions.any(is_refused), "{text}");
    let dump = view_sync.ask(Dump).await.expect("a dump");
    let dump = serde_json::to_value(&dump).expect("JSON");
    assert_eq!(dump["registry"]["refused"]["faults"][0]["place"], "version");
    assert_eq!(dump["registry"]["version"], 0);
}
