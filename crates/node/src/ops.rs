//! The life of a node, from settings to a graceful shutdown.

use std::{
    error::Error,
    fmt, io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use adapter::{SiteDialect, SiteRegistry};
use axum::{Router, http::StatusCode, routing::get};
use board::{Board, Identity, Phase};
use dialect::{Dialect, NativeDialect};
use kameo::actor::ActorRef;
use platform::{HttpClient, HttpPlatform, PlatformError};
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};
use tonic::{codec::CompressionEncoding, transport::server::TcpIncoming};
use types::{Boot, Span};
use wire::peer::peer_server::PeerServer;

use crate::{
    admin::{self, Admin},
    backend::HttpBackend,
    gatekeeper::{self, Gatekeeper},
    ingress::{self, BodyRoom, Ingress, RetryPolicy, Services},
    meter::Meter,
    peers::{Peers, server::PeerService},
    reload::Reload,
    settings::{Conventions, Readiness, Settings},
    spreader::{self, Plan, Source},
};

/// Time for which a stopping node goes on answering, so that peers and callers learn of it.
const LINGER: Duration = Duration::from_millis(500);
/// Time between two looks whether the gate is idle.
const IDLE_POLL: Duration = Duration::from_millis(20);
/// Largest message from a peer: the largest body that callers may send, and room for headers.
const MOST_MESSAGE_BYTES: usize = 68 << 20;

/// Why a node could not run.
#[derive(Debug)]
pub enum RunError {
    /// An address can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        cause: io::Error,
    },
    /// The client of the configuration service can't be set up.
    Platform(PlatformError),
    /// The threads can't be started.
    Runtime(io::Error),
    /// Signals can't be handled.
    Signals(io::Error),
    /// Requests in progress were cut, by the deadline or by a second signal.
    Cut,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, .. } => write!(f, "can't listen on {address}"),
            Self::Platform(_) => f.write_str("can't set up the configuration service's client"),
            Self::Runtime(_) => f.write_str("can't start threads"),
            Self::Signals(_) => f.write_str("can't handle signals"),
            Self::Cut => f.write_str("stopped before all requests were finished"),
        }
    }
}

impl Error for RunError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Listen { cause, .. } | Self::Signals(cause) | Self::Runtime(cause) => Some(cause),
            Self::Platform(cause) => Some(cause),
            Self::Cut => None,
        }
    }
}

/// Runs a node until a signal stops it.
///
/// # Errors
///
/// [`RunError`] if it can't start, or had to cut requests to stop in time.
pub async fn run(settings: Settings, path: &Path) -> Result<(), RunError> {
    let mut signals = Signals::new()?;
    let node = start(&settings).await?;
    log::info!(
        host:% = settings.host, zone:% = settings.zone, boot:% = node.board.identity.boot,
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let mut reload = Reload::new(settings, path);
    tokio::select! {
        () = signals.stop.wait() => {}
        () = reload.follow(&mut signals.hup) => {}
    }
    let settings = reload.settings();
    log::info!(within_ms = settings.stop_ms, linger_ms = settings.linger_ms; "stopping");
    let deadline = Instant::now() + settings.stop().duration();
    node.linger(settings.linger()).await;
    tokio::select! {
        stopped = node.stop(deadline) => stopped,
        () = signals.stop.wait() => Err(RunError::Cut),
    }
    .inspect(|()| log::info!("stopped"))
    .inspect_err(|_| log::warn!("stopped_early"))
}

struct Node {
    board: Arc<Board>,
    gatekeeper: ActorRef<Gatekeeper>,
    /// Closes the callers' side.
    callers: Server,
    /// Closes the peers' side.
    peers: Server,
    /// Closes the admin API, as the last.
    admin: Server,
    /// Answers until the process ends, if settings ask for it.
    _readiness: Option<Server>,
}

/// A server and the switch that closes it.
struct Server {
    close: watch::Sender<bool>,
    task: JoinHandle<()>,
}

async fn start(settings: &Settings) -> Result<Node, RunError> {
    let board = Board::new(Identity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        node: settings.node,
        boot: Boot(rand::random::<u64>() >> 1),
    });
    let meter = Arc::new(Meter::new());
    let (source, dialect) = conventions(settings)?;
    let backend = HttpBackend::new(Arc::clone(&dialect), board.clock);
    let callers = listen(settings.listen).await?;
    let peers = listen(settings.node).await?;
    let admin = listen(settings.admin).await?;

    let gatekeeper = gatekeeper::spawn(&board, Arc::new(backend), &meter, settings.cold_over);
    let plan = Plan {
        seeds: settings.seeds.clone(),
        reads: settings.reads,
        lease: settings.lease(),
    };
    let spreader = spreader::spawn(&board, source, &meter, plan);
    let retries = RetryPolicy {
        slack: settings.repeats,
    };
    let ingress = Arc::new(Ingress {
        board: Arc::clone(&board),
        dialect,
        origin: settings.service.clone(),
        peers: Peers::new(Arc::clone(&board), gatekeeper.clone()),
        services: Services::new(board.identity.boot, settings.policy, retries),
        directory: Mutex::default(),
        meter,
        spreader: spreader.clone(),
        room: BodyRoom::default(),
    });
    tokio::spawn(Arc::clone(&ingress).follow());
    let readiness = match &settings.readiness {
        Some(readiness) => {
            let listener = listen(readiness.listen).await?;
            Some(serve_http(listener, readiness_router(readiness, &board)))
        }
        None => None,
    };

    let service = PeerService::new(Arc::clone(&board), gatekeeper.clone(), spreader.clone());
    let peers = serve_peers(peers, service);
    let callers = serve_callers(callers, Arc::clone(&ingress));
    let admin_state = Admin {
        ingress,
        gatekeeper: gatekeeper.clone(),
        spreader,
    };
    let admin = serve_http(admin, admin::router(Arc::new(admin_state)));
    Ok(Node {
        board,
        gatekeeper,
        callers,
        peers,
        admin,
        _readiness: readiness,
    })
}

/// What the platform and its callers speak, as settings say.
fn conventions(settings: &Settings) -> Result<(Source, Arc<dyn Dialect>), RunError> {
    let client = HttpClient::new(&settings.platform).map_err(RunError::Platform)?;
    Ok(match settings.conventions {
        Conventions::Native => {
            let platform = HttpPlatform::new(client);
            (Source::notes(Arc::new(platform)), Arc::new(NativeDialect))
        }
        Conventions::Site => {
            let registry = SiteRegistry::new(client, settings.node.port());
            (Source::registry(Arc::new(registry)), Arc::new(SiteDialect))
        }
    })
}

/// Answers whether the node takes callers.
fn readiness_router(readiness: &Readiness, board: &Arc<Board>) -> Router {
    let board = Arc::clone(board);
    let answer = move || async move {
        match board.phase() {
            Phase::Ready => StatusCode::OK,
            Phase::Joining | Phase::Leaving | Phase::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    };
    Router::new().route(&readiness.path, get(answer))
}

impl Node {
    /// Says that the node is about to stop, and takes work until callers have gone elsewhere.
    async fn linger(&self, time: Span) {
        if time > Span::default() {
            self.board.phase.send_replace(Phase::Leaving);
            sleep(time.duration()).await;
        }
    }

    /// Stops in an order that cuts nothing, by `deadline` at the latest.
    ///
    /// The gate takes nothing new and finishes what it has. Until it has, the callers' side stays
    /// open for nested calls of its backend server. Then the callers' side closes and finishes, and
    /// last the peers' side.
    async fn stop(self, deadline: Instant) -> Result<(), RunError> {
        self.board.phase.send_replace(Phase::Stopping);
        let orderly = async {
            sleep(LINGER).await;
            finish(&self.gatekeeper).await;
            self.callers.close().await;
            finish(&self.gatekeeper).await;
            self.peers.close().await;
            let idle = self
                .gatekeeper
                .ask(gatekeeper::Dump)
                .await
                .is_ok_and(|dump| dump.idle);
            assert!(idle, "invariant: a graceful stop cuts no request");
            self.admin.close().await;
        };
        timeout_at(deadline, orderly)
            .await
            .map_err(|_| RunError::Cut)
    }
}

/// Waits until nothing waits or runs at the gate.
async fn finish(gatekeeper: &ActorRef<Gatekeeper>) {
    while gatekeeper
        .ask(gatekeeper::Dump)
        .await
        .is_ok_and(|dump| !dump.idle)
    {
        sleep(IDLE_POLL).await;
    }
}

impl Server {
    /// Takes no new connections and waits until the open ones have finished their requests.
    async fn close(self) {
        self.close.send_replace(true);
        let _ = self.task.await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| RunError::Listen { address, cause })
}

async fn closed(mut close: watch::Receiver<bool>) {
    let _ = close.wait_for(|closed| *closed).await;
}

fn serve_http(listener: TcpListener, router: Router) -> Server {
    let (close, closing) = watch::channel(false);
    let listener = axum::serve::ListenerExt::tap_io(listener, |stream| {
        let _ = stream.set_nodelay(true);
    });
    let task = tokio::spawn(async move {
        let serving = axum::serve(listener, router).with_graceful_shutdown(closed(closing));
        if let Err(error) = serving.await {
            log::error!(error:% = error; "http_server_failed");
        }
    });
    Server { close, task }
}

fn serve_callers(listener: TcpListener, ingress: Arc<Ingress>) -> Server {
    let (close, closing) = watch::channel(false);
    let task = tokio::spawn(ingress::listen(ingress, listener, closing));
    Server { close, task }
}

fn serve_peers(listener: TcpListener, service: PeerService) -> Server {
    let (close, closing) = watch::channel(false);
    let service = PeerServer::new(service)
        .max_decoding_message_size(MOST_MESSAGE_BYTES)
        .max_encoding_message_size(usize::MAX)
        .send_compressed(CompressionEncoding::Gzip);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let task = tokio::spawn(async move {
        let router = tonic::transport::Server::builder().add_service(service);
        let serving = router.serve_with_incoming_shutdown(incoming, closed(closing));
        if let Err(error) = serving.await {
            log::error!(error:% = error; "peer_server_failed");
        }
    });
    Server { close, task }
}

/// Signals that the process handles.
struct Signals {
    stop: StopSignals,
    hup: Signal,
}

/// Signals that ask for a graceful shutdown.
struct StopSignals {
    term: Signal,
    int: Signal,
}

impl Signals {
    fn new() -> Result<Self, RunError> {
        let on = |kind| signal(kind).map_err(RunError::Signals);
        Ok(Self {
            stop: StopSignals {
                term: on(SignalKind::terminate())?,
                int: on(SignalKind::interrupt())?,
            },
            hup: on(SignalKind::hangup())?,
        })
    }
}

impl StopSignals {
    /// Waits for SIGTERM or SIGINT.
    async fn wait(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
