//! Stand-in of a backend server, which registers itself at the store.

mod behavior;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::{Semaphore, SemaphorePermit},
    task::{JoinHandle, JoinSet},
    time::{interval, sleep, timeout_at},
};

pub use behavior::{Behavior, WhenFull};

use super::{
    config::{KEY_MARK, TEAM_HEADER},
    http1::{Message, bind, read_message, response},
    journal::{Arrival, Journal},
    store::{Ack, Store},
};

/// Path of health probes.
pub(super) const HEALTH_PATH: &str = "/healthz";
/// Key of an entry that no server writes.
pub const ODD_ENTRY: &str = "servers/i-odd";
/// Header of each answer that a backend server has made to a request.
pub(super) const SIGNATURE: &str = "x-response-signature";
/// Interval of the writes of an entry, and time without one after which it is removed.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time between two looks for an entry.
const REGISTRATION_POLL: Duration = Duration::from_millis(2);
/// Time without a write after which an entry is removed: three silent intervals.
pub const LEASE: Duration = Duration::from_millis(4_500);

/// Place of a server.
#[derive(Debug, Clone)]
pub struct Place {
    /// Index of the server.
    pub index: usize,
    /// Begin of its identifiers.
    pub prefix: String,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Largest number of concurrent requests.
    pub slots: usize,
}

/// One lifetime of a server.
#[derive(Debug)]
struct Life {
    id: String,
    born: u64,
    is_draining: AtomicBool,
    seq: AtomicU32,
    slots: Semaphore,
    waiting: AtomicUsize,
    /// Held during a write, as an entry has one writer.
    writing: tokio::sync::Mutex<()>,
}

#[derive(Debug)]
struct Shared {
    place: Place,
    behavior: Mutex<Behavior>,
    journal: Journal,
    rng: Mutex<SmallRng>,
}

/// A backend server, which ends on drop.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    life: Option<Arc<Life>>,
    starts: u32,
    task: Option<JoinHandle<io::Result<()>>>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.iter().for_each(JoinHandle::abort);
    }
}

impl Server {
    /// Creates a server that doesn't run yet.
    pub fn new(place: Place, behavior: Behavior, journal: Journal) -> Self {
        let shared = Shared {
            rng: Mutex::new(SmallRng::seed_from_u64(place.index as u64)),
            place,
            behavior: Mutex::new(behavior),
            journal,
        };
        Self {
            shared: Arc::new(shared),
            life: None,
            starts: 0,
            task: None,
        }
    }

    /// Place of the server.
    pub fn place(&self) -> &Place {
        &self.shared.place
    }

    /// Waits until the store has the server's entry, for one heartbeat at most.
    pub async fn wait_registered(&self, store: &Store) {
        let Some(life) = &self.life else { return };
        let deadline = Instant::now() + HEARTBEAT;
        while !store.contains(&key(life)) && Instant::now() < deadline {
            sleep(REGISTRATION_POLL).await;
        }
    }

    /// Identifier of the present or last lifetime.
    pub fn id(&self) -> &str {
        self.life.as_ref().map_or("", |life| &life.id)
    }

    /// Whether it has ended without having been told to, as it could not listen.
    pub fn has_failed(&self) -> bool {
        self.task.as_ref().is_some_and(JoinHandle::is_finished)
    }

    /// Changes the behavior.
    pub fn configure(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.shared.behavior());
    }

    /// Starts a new lifetime with a new identifier.
    pub fn start(&mut self, store: &Store) {
        self.starts += 1;
        let place = &self.shared.place;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let life = Arc::new(Life {
            id: format!("{}{}-{}", place.prefix, place.index, self.starts),
            born: since_epoch.unwrap_or_default().as_millis() as u64,
            is_draining: AtomicBool::new(false),
            seq: AtomicU32::new(0),
            slots: Semaphore::new(place.slots),
            waiting: AtomicUsize::new(0),
            writing: tokio::sync::Mutex::default(),
        });
        self.life = Some(Arc::clone(&life));
        let (shared, store) = (Arc::clone(&self.shared), store.clone());
        self.task = Some(tokio::spawn(async move {
            tokio::select! {
                ended = Arc::clone(&shared).serve(Arc::clone(&life)) => ended,
                () = shared.beat(&life, &store) => Ok(()),
            }
        }));
    }

    /// Ends the server as a crash does: connections end, and the store isn't told.
    pub async fn crash(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            let _ = task.await;
        }
    }

    /// Registers that the server leaves. The result is ready once the store has acknowledged it.
    pub fn drain(&self, store: &Store) -> impl Future<Output = Option<Ack>> + Send + use<> {
        let (shared, life, store) = (Arc::clone(&self.shared), self.life.clone(), store.clone());
        async move {
            let life = life?;
            life.is_draining.store(true, Ordering::SeqCst);
            Some(shared.register(&life, &store).await)
        }
    }

    /// Ends the server after it has left. The result is ready once its entry is deleted.
    pub async fn leave(&mut self, store: &Store) -> impl Future<Output = ()> + Send + use<> {
        self.crash().await;
        let (life, store) = (self.life.clone(), store.clone());
        async move {
            if let Some(life) = life {
                store.delete(&key(&life)).await;
            }
        }
    }
}

fn key(life: &Life) -> String {
    format!("servers/{}", life.id)
}

/// Body of the answer to the request with this id.
pub(super) fn body_of(id: &str, service: &str) -> String {
    format!("done {service} {id}")
}

fn teams_of(request: &Message) -> Vec<String> {
    let is_team = |name: &str| name.eq_ignore_ascii_case(TEAM_HEADER);
    let named = request.headers.iter().filter(|(name, _)| is_team(name));
    named.map(|(_, value)| value.clone()).collect()
}

/// What follows a request on its connection.
enum Reply {
    /// These bytes.
    Bytes(Vec<u8>),
    /// These bytes, and the end.
    Last(Vec<u8>),
    /// A reset.
    Reset,
    /// Nothing, for ever.
    Silence,
}

impl Shared {
    fn behavior(&self) -> MutexGuard<'_, Behavior> {
        self.behavior.lock().expect("mutex isn't poisoned")
    }

    /// Whether something that happens in a share of cases happens now.
    fn happens(&self, share: impl Fn(&Behavior) -> f64) -> bool {
        let share = share(&self.behavior());
        let mut rng = self.rng.lock().expect("mutex isn't poisoned");
        share > 0.0 && rng.random_bool(share)
    }

    async fn beat(&self, life: &Life, store: &Store) {
        let mut beats = interval(HEARTBEAT);
        loop {
            beats.tick().await;
            self.register(life, store).await;
        }
    }

    async fn register(&self, life: &Life, store: &Store) -> Ack {
        let _writer = life.writing.lock().await;
        let place = &self.place;
        let state = match life.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let entry = json!({
            "service": place.service, "address": place.address, "zone": place.zone,
            "version": "v1", "max_concurrency": place.slots, "state": state, "cold_left": "0ms",
            "seq": life.seq.fetch_add(1, Ordering::SeqCst), "born": life.born,
        });
        let entry = entry.to_string();
        store.put_leased(&key(life), entry.as_bytes(), LEASE).await
    }

    async fn serve(self: Arc<Self>, life: Arc<Life>) -> io::Result<()> {
        let listener = bind(self.place.address).await?;
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    let (shared, life) = (Arc::clone(&self), Arc::clone(&life));
                    connections.spawn(async move { shared.serve_connection(&life, stream).await });
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn serve_connection(&self, life: &Life, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let mut copy: Option<Vec<u8>> = None;
        while let Some(request) = read_message(&mut reader).await? {
            if let Some(copy) = copy.take() {
                reader.get_mut().write_all(&copy).await?;
            }
            match self.reply(life, &request, &mut reader).await {
                Reply::Bytes(bytes) => {
                    reader.get_mut().write_all(&bytes).await?;
                    copy = self.happens(|b| b.late_copies).then_some(bytes);
                }
                Reply::Last(bytes) => return reader.get_mut().write_all(&bytes).await,
                Reply::Reset => return reader.get_ref().set_zero_linger(),
                Reply::Silence => std::future::pending().await,
            }
        }
        Ok(())
    }

    async fn reply(
        &self,
        life: &Life,
        request: &Message,
        reader: &mut BufReader<TcpStream>,
    ) -> Reply {
        let path = request.target().split('?').next().unwrap_or_default();
        if path == HEALTH_PATH {
            return self.health(life).await;
        }
        let id = request.header("x-request-id").unwrap_or_default();
        let target = request.header("x-target-instance");
        let misdirected = target.is_some_and(|target| target != life.id);
        let number = self.journal.push(Arrival {
            server: self.place.index,
            server_id: life.id.clone(),
            at: Instant::now(),
            id: id.to_owned(),
            method: request.method().to_owned(),
            path: request.target().to_owned(),
            caller: request.header("x-caller-service").map(str::to_owned),
            teams: teams_of(request),
            has_key: request.headers.iter().any(|(_, v)| v.contains(KEY_MARK)),
            run_at: None,
            misdirected,
            answered: None,
            ended: None,
        });
        let headers = self.headers(life, id);
        let answered = |status: &str| {
            let code = status.split(' ').next().and_then(|code| code.parse().ok());
            self.journal.arrivals()[number].answered = code;
        };
        let refuse = |status| {
            answered(status);
            Reply::Bytes(response(status, &(headers.clone() + NOT_RUN), b""))
        };
        match () {
            () if misdirected => return refuse("421 Misdirected Request"),
            () if id.is_empty() => return refuse("400 Bad Request"),
            () => {}
        }
        let left = request.header("x-deadline-ms").and_then(|t| t.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(left.unwrap_or(60_000));
        let _slot = match self.take_slot(life, deadline).await {
            Ok(slot) => slot,
            Err(WhenFull::Rejects) => return refuse("503 Service Unavailable"),
            Err(WhenFull::Resets) => return Reply::Reset,
            Err(WhenFull::IsSilent) => return Reply::Silence,
        };
        self.journal.arrivals()[number].run_at = Some(Instant::now());
        let end = Instant::now() + self.work_time(path);
        let is_closed = tokio::select! {
            () = sleep(end.min(deadline).saturating_duration_since(Instant::now())) => false,
            () = wait_closed(reader) => true,
        };
        self.journal.arrivals()[number].ended = Some(Instant::now());
        match () {
            () if is_closed => Reply::Reset,
            () if end > deadline => {
                answered(TIMED_OUT);
                Reply::Bytes(response(TIMED_OUT, &self.headers(life, id), b""))
            }
            () if self.happens(|b| b.cut_answers) => {
                let mut bytes = self.success(life, id, "");
                bytes.truncate(bytes.len() - self.place.service.len());
                Reply::Last(bytes)
            }
            () if life.is_draining.load(Ordering::SeqCst) => {
                answered("200");
                Reply::Last(self.success(life, id, "Connection: close\r\n"))
            }
            () => {
                answered("200");
                Reply::Bytes(self.success(life, id, ""))
            }
        }
    }

    fn success(&self, life: &Life, id: &str, more: &str) -> Vec<u8> {
        let headers = self.headers(life, id) + more;
        let body = body_of(id, &self.place.service);
        response("200 OK", &headers, body.as_bytes())
    }

    /// Headers of an answer to a request.
    fn headers(&self, life: &Life, id: &str) -> String {
        let load = self.load(life);
        format!("X-Request-Id: {id}\r\nX-Response-Signature: sig.{id}\r\n{load}")
    }

    fn load(&self, life: &Life) -> String {
        if !self.behavior().tells_load {
            return String::new();
        }
        let slots = self.place.slots;
        let running = slots - life.slots.available_permits();
        let waiting = life.waiting.load(Ordering::SeqCst);
        format!("X-Server-Load: {running},{waiting},{slots},100\r\n")
    }

    async fn health(&self, life: &Life) -> Reply {
        let deadline = Instant::now() + HEARTBEAT;
        let slot = match self.behavior().tells_load {
            true => None,
            false => Some(self.take_slot(life, deadline)),
        };
        if let Some(slot) = slot {
            match slot.await {
                Ok(_) => {}
                Err(WhenFull::Rejects) => {
                    return Reply::Bytes(response("503 Service Unavailable", NOT_RUN, b""));
                }
                Err(WhenFull::Resets) => return Reply::Reset,
                Err(WhenFull::IsSilent) => return Reply::Silence,
            }
        }
        let load = self.load(life);
        let headers = format!("X-Instance-Id: {}\r\nX-Cold-Ms: 0\r\n{load}", life.id);
        let status = match life.is_draining.load(Ordering::SeqCst) {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        Reply::Bytes(response(status, &headers, b""))
    }

    async fn take_slot<'a>(
        &self,
        life: &'a Life,
        deadline: Instant,
    ) -> Result<SemaphorePermit<'a>, WhenFull> {
        let Behavior {
            queue,
            room,
            when_full,
            ..
        } = *self.behavior();
        let running = self.place.slots - life.slots.available_permits();
        if running + life.waiting.load(Ordering::SeqCst) >= room {
            return Err(when_full);
        }
        if let Ok(slot) = life.slots.try_acquire() {
            return Ok(slot);
        }
        if life.waiting.fetch_add(1, Ordering::SeqCst) >= queue {
            life.waiting.fetch_sub(1, Ordering::SeqCst);
            return Err(when_full);
        }
        let waited = timeout_at(deadline.into(), life.slots.acquire()).await;
        life.waiting.fetch_sub(1, Ordering::SeqCst);
        match waited {
            Ok(Ok(slot)) => Ok(slot),
            // The deadline has passed in the queue.
            _ => Err(WhenFull::Rejects),
        }
    }

    fn work_time(&self, path: &str) -> Duration {
        let segments = path.split('/');
        let named = segments.filter_map(|s| s.strip_prefix("work-")).next();
        let named = named.and_then(|text| text.parse().ok());
        named.map_or(self.behavior().work, Duration::from_millis)
    }
}

const TIMED_OUT: &str = "504 Gateway Timeout";
/// Header of an answer to a request that wasn't run.
const NOT_RUN: &str = "X-Not-Executed: 1\r\n";

/// Waits until the caller has closed the connection. Doesn't return if it has sent more.
async fn wait_closed(reader: &mut BufReader<TcpStream>) {
    match reader.fill_buf().await {
        Ok([]) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
