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
pub struct Conduct {
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
struct Book {
    notes: Vec<Arc<str>>,
    hosts: BTreeMap<String, String>,
    conduct: Conduct,
    reads: u64,
    refused: u64,
    recent: VecDeque<Instant>,
}

/// The stand-in.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    book: Arc<Mutex<Book>>,
}

#[derive(Debug, Deserialize)]
struct After {
    after: u64,
}

impl Platform {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().expect("no holder panics")
    }

    /// Publishes a note and returns its revision.
    pub fn publish(&self, note: &str) -> u64 {
        let mut book = self.book();
        book.notes.push(Arc::from(note));
        book.notes.len() as u64
    }

    /// Revision of the newest note.
    pub fn head(&self) -> u64 {
        self.book().notes.len() as u64
    }

    /// Shows a host as `live` or `leaving`.
    pub fn set_host(&self, host: &str, status: &str) {
        self.book().hosts.insert(host.to_owned(), status.to_owned());
    }

    /// Changes what goes wrong.
    pub fn set_conduct(&self, conduct: Conduct) {
        self.book().conduct = conduct;
    }

    /// Number of reads that were counted, and of those that were refused.
    pub fn reads(&self) -> (u64, u64) {
        let book = self.book();
        (book.reads, book.refused)
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
            .route("/control/conduct", post(conduct))
            .route("/control/reads", get(reads))
            .with_state(self.clone())
    }

    fn count(&self) -> Result<(), StatusCode> {
        let mut book = self.book();
        let now = Instant::now();
        book.reads += 1;
        while book
            .recent
            .front()
            .is_some_and(|at| now.duration_since(*at) > WINDOW)
        {
            book.recent.pop_front();
        }
        let crowded = book
            .conduct
            .limit
            .is_some_and(|limit| book.recent.len() >= limit);
        match () {
            () if book.conduct.down => Err(StatusCode::SERVICE_UNAVAILABLE),
            () if crowded => {
                book.refused += 1;
                Err(StatusCode::TOO_MANY_REQUESTS)
            }
            () => {
                book.recent.push_back(now);
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
    let book = platform.book();
    let stale = book.conduct.stale.map_or(usize::MAX, |s| s as usize);
    let head = book.notes.len().min(stale);
    let mut room = MOST_VALUE_BYTES;
    let wanted = book
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
    Ok(Json(platform.book().hosts.clone()))
}

async fn publish(State(platform): State<Platform>, body: String) -> Json<u64> {
    Json(platform.publish(&body))
}

async fn conduct(State(platform): State<Platform>, Json(conduct): Json<Conduct>) {
    platform.set_conduct(conduct);
}

async fn reads(State(platform): State<Platform>) -> Json<(u64, u64)> {
    Json(platform.reads())
}
