//! Stub of the platform: it serves release notes and the list of hosts, which nodes can only read.
//!
//! Code in the same process changes it through the methods of [`Platform`], other processes through the
//! endpoints below `/control`.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::{Query, State},
    http::StatusCode,
    routing::{get, post},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Maximum total size of the release notes in one response.
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Sliding window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Faults that the platform injects into its read endpoints.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Responds to every read with 503.
    #[serde(default)]
    pub down: bool,
    /// Serves no release note after this revision.
    #[serde(default)]
    pub stale: Option<u64>,
    /// Maximum reads per second; further reads get a 429.
    #[serde(default)]
    pub limit: Option<usize>,
}

#[derive(Debug, Default)]
struct Inner {
    notes: Vec<Arc<str>>,
    hosts: BTreeMap<String, String>,
    faults: Faults,
    reads: u64,
    refused: u64,
    recent_reads: VecDeque<Instant>,
}

/// The platform stub. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Deserialize)]
struct NotesQuery {
    after: u64,
}

impl Platform {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("mutex isn't poisoned")
    }

    /// Publishes a release note and returns its revision.
    pub fn publish(&self, note: &str) -> u64 {
        let mut inner = self.inner();
        inner.notes.push(Arc::from(note));
        inner.notes.len() as u64
    }

    /// Revision of the newest release note, or 0 without one.
    pub fn head(&self) -> u64 {
        self.inner().notes.len() as u64
    }

    /// Sets the status of a host on the list: `live` or `leaving`.
    pub fn set_host(&self, host: &str, status: &str) {
        self.inner()
            .hosts
            .insert(host.to_owned(), status.to_owned());
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner().faults = faults;
    }

    /// Number of all reads, and of those refused by the rate limit.
    pub fn reads(&self) -> (u64, u64) {
        let inner = self.inner();
        (inner.reads, inner.refused)
    }

    /// Serves the platform at `address` until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        axum::serve(listener, self.router()).await
    }

    fn router(&self) -> Router {
        Router::new()
            .route("/v1/notes", get(notes))
            .route("/v1/hosts", get(hosts))
            .route("/control/notes", post(publish))
            .route("/control/faults", post(set_faults))
            .route("/control/reads", get(reads))
            .with_state(self.clone())
    }

    /// Counts a read, and returns the error status if the injected faults refuse it.
    fn count_read(&self) -> Result<(), StatusCode> {
        let mut inner = self.inner();
        let now = Instant::now();
        inner.reads += 1;
        while inner
            .recent_reads
            .front()
            .is_some_and(|at| now.duration_since(*at) > RATE_WINDOW)
        {
            inner.recent_reads.pop_front();
        }
        let over_limit = inner
            .faults
            .limit
            .is_some_and(|limit| inner.recent_reads.len() >= limit);
        match () {
            () if inner.faults.down => Err(StatusCode::SERVICE_UNAVAILABLE),
            () if over_limit => {
                inner.refused += 1;
                Err(StatusCode::TOO_MANY_REQUESTS)
            }
            () => {
                inner.recent_reads.push_back(now);
                Ok(())
            }
        }
    }
}

async fn notes(
    State(platform): State<Platform>,
    Query(NotesQuery { after }): Query<NotesQuery>,
) -> Result<Json<Value>, StatusCode> {
    platform.count_read()?;
    let inner = platform.inner();
    let stale = inner.faults.stale.map_or(usize::MAX, |s| s as usize);
    let head = inner.notes.len().min(stale);
    let mut bytes_left = MAX_PAGE_BYTES;
    let candidates = inner
        .notes
        .get((after as usize).min(head)..head)
        .unwrap_or_default();
    let mut notes: Vec<&str> = Vec::new();
    for note in candidates {
        if note.len() > bytes_left {
            break;
        }
        bytes_left -= note.len();
        notes.push(note);
    }
    Ok(Json(json!({ "head": head, "notes": notes })))
}

async fn hosts(
    State(platform): State<Platform>,
) -> Result<Json<BTreeMap<String, String>>, StatusCode> {
    platform.count_read()?;
    Ok(Json(platform.inner().hosts.clone()))
}

async fn publish(State(platform): State<Platform>, body: String) -> Json<u64> {
    Json(platform.publish(&body))
}

async fn set_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) {
    platform.set_faults(faults);
}

async fn reads(State(platform): State<Platform>) -> Json<(u64, u64)> {
    Json(platform.reads())
}
