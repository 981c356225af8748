//! Stand-in for the platform: release notes and the list of hosts, read only for the system.
//!
//! The control side (`POST /control/...`, and [`Platform`]'s methods) belongs to operators and tests.

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

/// Largest value that the service serves, in bytes.
const MOST_VALUE_BYTES: usize = 1 << 20;
/// Time over which reads are counted against the limit.
const WINDOW: Duration = Duration::from_secs(1);

/// What can go wrong with the service, and what it counted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Answers no read.
    #[serde(default)]
    pub down: bool,
    /// Serves no note after this revision.
    #[serde(default)]
    pub stale: Option<u64>,
    /// Reads per second above which it refuses.
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
    recent: VecDeque<Instant>,
}

/// The stand-in.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Deserialize)]
struct After {
    after: u64,
}

impl Platform {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Publishes a note and returns its revision.
    pub fn publish(&self, note: &str) -> u64 {
        let mut inner = self.inner();
        inner.notes.push(Arc::from(note));
        inner.notes.len() as u64
    }

    /// Revision of the newest note.
    pub fn head(&self) -> u64 {
        self.inner().notes.len() as u64
    }

    /// Shows a host as `live` or `leaving`.
    pub fn set_host(&self, host: &str, status: &str) {
        self.inner()
            .hosts
            .insert(host.to_owned(), status.to_owned());
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.inner().faults = faults;
    }

    /// Number of reads that were counted, and of those that were refused.
    pub fn reads(&self) -> (u64, u64) {
        let inner = self.inner();
        (inner.reads, inner.refused)
    }

    /// Serves at `address` until the task is dropped.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        axum::serve(listener, self.router()).await
    }

    fn router(&self) -> Router {
        Router::new()
            .route("/v1/notes", get(notes))
            .route("/v1/hosts", get(hosts))
            .route("/control/notes", post(publish))
            .route("/control/conduct", post(set_faults))
            .route("/control/reads", get(reads))
            .with_state(self.clone())
    }

    fn count(&self) -> Result<(), StatusCode> {
        let mut inner = self.inner();
        let now = Instant::now();
        inner.reads += 1;
        while inner
            .recent
            .front()
            .is_some_and(|at| now.duration_since(*at) > WINDOW)
        {
            inner.recent.pop_front();
        }
        let crowded = inner
            .faults
            .limit
            .is_some_and(|limit| inner.recent.len() >= limit);
        match () {
            () if inner.faults.down => Err(StatusCode::SERVICE_UNAVAILABLE),
            () if crowded => {
                inner.refused += 1;
                Err(StatusCode::TOO_MANY_REQUESTS)
            }
            () => {
                inner.recent.push_back(now);
                Ok(())
            }
        }
    }
}

async fn notes(
    State(platform): State<Platform>,
    Query(After { after }): Query<After>,
) -> Result<Json<Value>, StatusCode> {
    platform.count()?;
    let inner = platform.inner();
    let stale = inner.faults.stale.map_or(usize::MAX, |s| s as usize);
    let head = inner.notes.len().min(stale);
    let mut room = MOST_VALUE_BYTES;
    let wanted = inner
        .notes
        .get((after as usize).min(head)..head)
        .unwrap_or_default();
    let mut notes: Vec<&str> = Vec::new();
    for note in wanted {
        if note.len() > room {
            break;
        }
        room -= note.len();
        notes.push(note);
    }
    Ok(Json(json!({ "head": head, "notes": notes })))
}

async fn hosts(
    State(platform): State<Platform>,
) -> Result<Json<BTreeMap<String, String>>, StatusCode> {
    platform.count()?;
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
