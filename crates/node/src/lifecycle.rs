//! Startup and graceful shutdown of a node.

use std::{
    error::Error,
    fmt, io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use adapter::{SiteDialect, SiteRegistry};
use allowances::{Allowances, TonicCourier};
use axum::{Router, http::StatusCode, routing::get};
use backend::HttpBackend;
use board::{Board, Identity, Phase};
use dialect::{Dialect, NativeDialect};
use gate_actor::{GateActor, GateOptions};
use ingress::{Ingress, RetryPolicy, Services, ZoneShares};
use kameo::actor::ActorRef;
use metrics::Metrics;
use peers::{Peers, server::PeerService};
use platform::{HttpClient, HttpPlatform, PlatformError};
use support::body_budget::BodyBudget;
use tokio::{
    net::TcpListener,
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::JoinHandle,
    time::{sleep, sleep_until},
};
use tonic::{codec::CompressionEncoding, transport::server::TcpIncoming};
use types::{Boot, Span};
use view_sync::{Source, SyncOptions};
use wire::peer::peer_server::PeerServer;

use crate::{
    admin::{self, Admin},
    reload::Reload,
    settings::{Conventions, Readiness, Settings, ZoneMode},
    stop::{Grace, StopTimes},
};

/// Time for which a stopping node keeps answering before it closes anything, so that peers and
/// callers learn that it stops.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(500);
/// Time between two checks whether the gate is idle.
const IDLE_POLL: Duration = Duration::from_millis(20);
/// Largest message from a peer: the largest body that callers may send, plus headers.
const MAX_MESSAGE_BYTES: usize = 68 << 20;

/// Why a node failed to start or to shut down gracefully.
#[derive(Debug)]
pub enum RunError {
    /// A listener couldn't be bound.
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// The operating system's error.
        cause: io::Error,
    },
    /// The client of the configuration service couldn't be created.
    Platform(PlatformError),
    /// The async runtime couldn't be started.
    Runtime(io::Error),
    /// A signal handler couldn't be installed.
    Signals(io::Error),
    /// Requests were still in progress at the shutdown deadline or at a second SIGINT.
    Interrupted,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, .. } => write!(f, "failed to listen on {address}"),
            Self::Platform(_) => {
                f.write_str("failed to create the client of the configuration service")
            }
            Self::Runtime(_) => f.write_str("failed to start the async runtime"),
            Self::Signals(_) => f.write_str("failed to install signal handlers"),
            Self::Interrupted => f.write_str("stopped before all requests were completed"),
        }
    }
}

impl Error for RunError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Listen { cause, .. } | Self::Signals(cause) | Self::Runtime(cause) => Some(cause),
            Self::Platform(cause) => Some(cause),
            Self::Interrupted => None,
        }
    }
}

/// Runs a node until it is stopped by a signal. `grace` is the time that the platform gives it to stop.
///
/// # Errors
///
/// [`RunError`] if the node can't start, or stops with requests in progress.
pub async fn run(
    settings: Settings,
    path: &Path,
    grace: Option<Grace>,
    mut signals: Signals,
) -> Result<(), RunError> {
    let node = start(&settings).await?;
    log::info!(
        host:% = settings.host, zone:% = settings.zone, boot:% = node.board.identity.boot,
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let mut reload = Reload::new(settings, path);
    tokio::select! {
        () = signals.stop.wait() => {}
        () = reload.watch(&mut signals.hup) => {}
    }
    let times = StopTimes::new(reload.settings(), grace);
    log::info!(
        within_ms = times.limit.as_millis(), linger_ms = times.linger.as_millis();
        "stopping"
    );
    tokio::select! {
        stopped = node.stop(times) => stopped,
        () = signals.stop.wait_interrupt() => Err(RunError::Interrupted),
    }
    .inspect(|()| log::info!("stopped"))
    .inspect_err(|_| log::warn!("stopped_early"))
}

struct Node {
    board: Arc<Board>,
    gate_actor: ActorRef<GateActor>,
    callers: Server,
    peers: Server,
    /// Closed last.
    admin: Server,
    /// Serves until the process exits, if settings configure it.
    _readiness: Option<Server>,
}

/// A running server and the channel that requests its graceful shutdown.
struct Server {
    shutdown: watch::Sender<bool>,
    task: JoinHandle<()>,
}

async fn start(settings: &Settings) -> Result<Node, RunError> {
    let board = Board::new(Identity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        node: settings.node,
        boot: Boot(rand::random::<u64>() >> 1),
    });
    let metrics = Arc::new(Metrics::new());
    let (source, dialect) = platform_adapters(settings)?;
    let body_budget = BodyBudget::default();
    let backend = HttpBackend::new(Arc::clone(&dialect), board.clock, body_budget.clone());
    let caller_listener = listen(settings.listen).await?;
    let peer_listener = listen(settings.node).await?;
    let admin_listener = listen(settings.admin).await?;

    let options = GateOptions {
        cold_factor: settings.cold_over,
        full_resets: settings.full_resets,
        nested_waits: settings.nested_waits,
    };
    let gate_actor = gate_actor::spawn(&board, Arc::new(backend), &metrics, options);
    let options = SyncOptions {
        seeds: settings.seeds.clone(),
        reads: settings.reads,
        lease: settings.lease(),
        key_lease: settings.key_lease(),
    };
    let view_sync = view_sync::spawn(&board, source, &metrics, options);
    let retries = RetryPolicy {
        fleet_burst: settings.repeats,
        limits_unknown: settings.full_resets,
    };
    let courier = Arc::new(TonicCourier::default());
    let allowances = Allowances::new(Arc::clone(&board), courier, Arc::clone(&metrics));
    tokio::spawn(Arc::clone(&allowances).run());
    let services = Services::new(board.identity.boot, settings.policy, retries);
    let services = match settings.share_cost() {
        Some(cost) => {
            let only_far = settings.zones == ZoneMode::Auto;
            services.with_shares(ZoneShares::new(settings.zone.clone(), cost, only_far))
        }
        None => services,
    };
    let ingress = Arc::new(Ingress {
        board: Arc::clone(&board),
        dialect,
        local_service: settings.service.clone(),
        peers: Peers::new(Arc::clone(&board), gate_actor.clone()),
        services,
        routes: Mutex::default(),
        metrics,
        view_sync: view_sync.clone(),
        body_budget,
        allowances: Arc::clone(&allowances),
        offer_bytes: settings.offer_bytes,
    });
    tokio::spawn(Arc::clone(&ingress).watch_board());
    let readiness = match &settings.readiness {
        Some(readiness) => {
            let listener = listen(readiness.listen).await?;
            Some(serve_http(listener, readiness_router(readiness, &board)))
        }
        None => None,
    };

    let service = PeerService::new(
        Arc::clone(&board),
        gate_actor.clone(),
        view_sync.clone(),
        allowances,
    );
    let peers = serve_peers(peer_listener, service);
    let callers = serve_callers(caller_listener, Arc::clone(&ingress));
    let admin_state = Admin {
        ingress,
        gate_actor: gate_actor.clone(),
        view_sync,
    };
    let admin = serve_http(admin_listener, admin::router(Arc::new(admin_state)));
    Ok(Node {
        board,
        gate_actor,
        callers,
        peers,
        admin,
        _readiness: readiness,
    })
}

/// Returns the source of the view and the header dialect for the configured conventions.
fn platform_adapters(settings: &Settings) -> Result<(Source, Arc<dyn Dialect>), RunError> {
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

/// Returns the route of the readiness endpoint for callers.
fn readiness_router(readiness: &Readiness, board: &Arc<Board>) -> Router {
    let board = Arc::clone(board);
    let handler = move || async move {
        match board.phase() {
            Phase::Ready => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    };
    Router::new().route(&readiness.path, get(handler))
}

impl Node {
    /// Stops the node, which exits after `times.limit` even if requests are still in progress.
    async fn stop(self, times: StopTimes) -> Result<(), RunError> {
        let started_at = self.board.clock.now();
        let stop_at = started_at + times.limit;
        self.board.stop_at.send_replace(stop_at);
        let deadline = self.board.clock.instant(stop_at);
        let queue_end = self.board.clock.instant(started_at + times.queue);
        let board = Arc::clone(&self.board);
        let stopping = async {
            self.announce_leaving(times.linger).await;
            self.shut_down().await;
        };
        let exiting = async {
            sleep_until(queue_end).await;
            board.phase.send_replace(Phase::Exiting);
            sleep_until(deadline).await;
        };
        tokio::select! {
            () = stopping => Ok(()),
            () = exiting => Err(RunError::Interrupted),
        }
    }

    /// Announces that the node is about to stop, and keeps accepting requests for `duration` so
    /// that callers can move away.
    async fn announce_leaving(&self, duration: Span) {
        if duration > Span::default() {
            self.board.phase.send_replace(Phase::Leaving);
            sleep(duration.duration()).await;
        }
    }

    /// Shuts down in an order that interrupts no request.
    ///
    /// The gate refuses new attempts and completes those it has. Meanwhile the ingress stays open
    /// for nested calls of the backend server. Afterwards the ingress is closed, then the server
    /// for peers, and finally the admin API.
    async fn shut_down(self) {
        self.board.phase.send_replace(Phase::Stopping);
        sleep(SHUTDOWN_NOTICE).await;
        wait_until_idle(&self.gate_actor).await;
        self.callers.close().await;
        wait_until_idle(&self.gate_actor).await;
        self.peers.close().await;
        let idle = self
            .gate_actor
            .ask(gate_actor::Dump)
            .await
            .is_ok_and(|dump| dump.idle);
        assert!(idle, "invariant: a graceful shutdown interrupts no request");
        self.admin.close().await;
    }
}

/// Waits until no attempt is queued or running at the gate.
async fn wait_until_idle(gate_actor: &ActorRef<GateActor>) {
    while gate_actor
        .ask(gate_actor::Dump)
        .await
        .is_ok_and(|dump| !dump.idle)
    {
        sleep(IDLE_POLL).await;
    }
}

impl Server {
    /// Stops accepting connections, and waits until the requests on the open ones are completed.
    async fn close(self) {
        self.shutdown.send_replace(true);
        let _ = self.task.await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| RunError::Listen { address, cause })
}

/// Waits until a graceful shutdown is requested.
async fn wait_for_shutdown(mut shutdown: watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|requested| *requested).await;
}

fn serve_http(listener: TcpListener, router: Router) -> Server {
    let (shutdown, shutdown_requested) = watch::channel(false);
    let listener = axum::serve::ListenerExt::tap_io(listener, |stream| {
        let _ = stream.set_nodelay(true);
    });
    let task = tokio::spawn(async move {
        let serving = axum::serve(listener, router)
            .with_graceful_shutdown(wait_for_shutdown(shutdown_requested));
        if let Err(error) = serving.await {
            log::error!(error:% = error; "http_server_failed");
        }
    });
    Server { shutdown, task }
}

fn serve_callers(listener: TcpListener, ingress: Arc<Ingress>) -> Server {
    let (shutdown, shutdown_requested) = watch::channel(false);
    let task = tokio::spawn(ingress::serve(ingress, listener, shutdown_requested));
    Server { shutdown, task }
}

fn serve_peers(listener: TcpListener, service: PeerService) -> Server {
    let (shutdown, shutdown_requested) = watch::channel(false);
    let service = PeerServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(usize::MAX)
        .send_compressed(CompressionEncoding::Gzip);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let task = tokio::spawn(async move {
        let router = tonic::transport::Server::builder().add_service(service);
        let serving =
            router.serve_with_incoming_shutdown(incoming, wait_for_shutdown(shutdown_requested));
        if let Err(error) = serving.await {
            log::error!(error:% = error; "peer_server_failed");
        }
    });
    Server { shutdown, task }
}

/// Signals handled by the process.
pub struct Signals {
    stop: StopSignals,
    hup: Signal,
}

/// Signals that request a graceful shutdown.
struct StopSignals {
    term: Signal,
    int: Signal,
    /// Whether a SIGINT has come.
    is_interrupted: bool,
}

impl Signals {
    /// Installs the handlers. Signals that arrive before [`run`] are handled once it runs.
    ///
    /// # Errors
    ///
    /// [`RunError`] if a handler can't be installed.
    pub fn install() -> Result<Self, RunError> {
        // The runtime that registers a signal needn't be the one that waits for it.
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(RunError::Runtime)?;
        let _entered = runtime.enter();
        let handler = |kind| signal(kind).map_err(RunError::Signals);
        Ok(Self {
            stop: StopSignals {
                term: handler(SignalKind::terminate())?,
                int: handler(SignalKind::interrupt())?,
                is_interrupted: false,
            },
            hup: handler(SignalKind::hangup())?,
        })
    }
}

impl StopSignals {
    /// Waits for SIGTERM or SIGINT.
    async fn wait(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => self.is_interrupted = true,
        }
    }

    /// Waits for the second SIGINT, by which a user ends a graceful shutdown early. Supervisors repeat SIGTERM.
    async fn wait_interrupt(&mut self) {
        if !self.is_interrupted {
            self.int.recv().await;
            self.is_interrupted = true;
        }
        self.int.recv().await;
    }
}
