//! Stand-in of the users' store: items under keys, one revision counter, pages, and changes since a
//! revision.
//!
//! Each node reads it at an address of its own, so that single nodes can be turned away. Writers are in
//! this process; a write returns once the store has acknowledged it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::{Value, json};
use tokio::{sync::watch, time::sleep};

use super::http1::{Message, response};

mod serve;

/// Largest number of items, and of bytes, of a page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// Longest time that a read of changes waits.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Time after which a writer without an answer writes again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which entries whose writer is silent are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Stands for a field that [`Store::put_raw`] leaves out.
pub const MISSING: &str = "(missing)";

/// What is wrong with the store, for one node or for all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// Connections are reset, new ones refused.
    Refused,
    /// Every read gets this status, such as 503 or 429.
    Status(u16),
    /// Connections are accepted, requests never answered.
    Silent,
    /// Every answer takes this long.
    Slow(Duration),
    /// Connections are closed once a request was read. Writes are done, but not acknowledged.
    Lost,
}

/// Acknowledgement of a write.
#[derive(Debug, Clone, Copy)]
pub struct Ack {
    /// When the write was sent.
    pub sent: Instant,
    /// When the store acknowledged it.
    pub at: Instant,
}

#[derive(Debug, Clone)]
struct Item {
    /// The item as it is served.
    shown: Value,
    /// When it is removed unless it is written again.
    expires: Option<Instant>,
}

/// All items at one moment.
#[derive(Debug, Clone)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    era: Option<u64>,
    items: BTreeMap<String, Item>,
    /// Keys, revisions and events since `history_start`.
    history: Vec<(String, u64, Value)>,
    history_start: u64,
    reads: u64,
}

impl State {
    /// Writes an item, or deletes it without `shown`. The revision is put into it.
    fn write(&mut self, key: &str, shown: Option<Value>, expires: Option<Instant>) {
        self.revision += 1;
        let revision = self.revision;
        let event = match shown {
            Some(mut shown) => {
                shown["rev"] = json!(revision);
                let created = self.items.get(key).map(|item| &item.shown["created"]);
                shown["created"] = created.cloned().unwrap_or(json!(revision));
                let event = shown.clone();
                self.items.insert(key.to_owned(), Item { shown, expires });
                event
            }
            None => {
                self.items.remove(key);
                json!({ "key": key, "rev": revision, "deleted": true })
            }
        };
        self.history.push((key.to_owned(), revision, event));
    }

    fn page(&self, prefix: &str, after: &str) -> Value {
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in &self.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            let length = item.shown.to_string().len();
            if !items.is_empty() && (items.len() == PAGE_ITEMS || bytes + length > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += length;
            items.push(&item.shown);
        }
        json!({ "items": items, "has_more": has_more, "as_of": self.revision })
    }

    /// Events after a revision, or `None` if they aren't known any more.
    fn events(&self, prefix: &str, after: u64) -> Option<Vec<&Value>> {
        let wanted = |(key, revision, _): &&(String, u64, Value)| {
            *revision > after && key.starts_with(prefix)
        };
        let events = self
            .history
            .iter()
            .filter(wanted)
            .map(|(_, _, event)| event);
        (after >= self.history_start).then(|| events.collect())
    }
}

/// The store. Clones share their state.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    revision: Arc<watch::Sender<u64>>,
    /// Troubles by node.
    troubles: Arc<Vec<watch::Sender<Trouble>>>,
    /// Trouble of the writers.
    writing: Arc<watch::Sender<Trouble>>,
}

impl Store {
    /// Creates an empty store for a number of nodes.
    pub fn new(nodes: usize) -> Self {
        Self {
            state: Arc::default(),
            revision: Arc::default(),
            troubles: Arc::new((0..nodes).map(|_| watch::Sender::default()).collect()),
            writing: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex isn't poisoned")
    }

    /// Sets what is wrong for one node.
    pub fn trouble_node(&self, node: usize, trouble: Trouble) {
        self.troubles[node].send_replace(trouble);
    }

    /// Sets what is wrong for all nodes and writers.
    pub fn trouble(&self, trouble: Trouble) {
        self.writing.send_replace(trouble);
        for node in self.troubles.iter() {
            node.send_replace(trouble);
        }
    }

    /// Number of reads that the store has received.
    pub fn reads(&self) -> u64 {
        self.state().reads
    }

    /// Writes a value and returns when the store has acknowledged it, which may be after a trouble.
    pub async fn put(&self, key: &str, value: &[u8]) -> Ack {
        self.write(key, Some(shown(key, value)), None).await
    }

    /// Writes a value that is removed unless it is written again within `lease`.
    pub async fn put_leased(&self, key: &str, value: &[u8], lease: Duration) -> Ack {
        self.write(key, Some(shown(key, value)), Some(lease)).await
    }

    /// Deletes an item.
    pub async fn delete(&self, key: &str) -> Ack {
        self.write(key, None, None).await
    }

    /// Puts an item whose `fields` replace the sound ones and are served as they are given. Those that are
    /// [`MISSING`] are left out. It comes where `key` does in the order of keys.
    pub fn put_raw(&self, key: &str, fields: &Value) {
        let mut item = shown(key, b"{}");
        for (name, field) in fields.as_object().into_iter().flatten() {
            match field.as_str() {
                Some(MISSING) => {
                    let object = item.as_object_mut().expect("an item is an object");
                    object.remove(name);
                }
                _ => item[name] = field.clone(),
            }
        }
        self.state().write(key, Some(item), None);
        self.announce();
    }

    /// Removes an item at once, whatever trouble there is.
    pub fn remove(&self, key: &str) {
        self.state().write(key, None, None);
        self.announce();
    }

    /// Forgets all changes up to now.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.history.clear();
        state.history_start = state.revision;
    }

    /// Whether there is an item with this key.
    pub fn contains(&self, key: &str) -> bool {
        self.state().items.contains_key(key)
    }

    /// A copy of all items, for [`restore`](Self::restore).
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
        }
    }

    /// Restores a copy, as a store does that comes back after a loss: the era rises, the revision falls to
    /// that of the copy, and no history is known. Leases start anew with `lease`.
    pub fn restore(&self, copy: Copy, lease: Duration) {
        let mut state = self.state();
        let now = Instant::now();
        state.era = Some(state.era.unwrap_or_default() + 1);
        state.revision = copy.revision;
        state.items = copy.items;
        for item in state.items.values_mut().filter(|i| i.expires.is_some()) {
            item.expires = Some(now + lease);
        }
        state.history.clear();
        state.history_start = state.revision;
        drop(state);
        self.announce();
    }

    fn announce(&self) {
        let revision = self.state().revision;
        self.revision.send_replace(revision);
    }

    async fn write(&self, key: &str, shown: Option<Value>, lease: Option<Duration>) -> Ack {
        let sent = Instant::now();
        let mut writing = self.writing.subscribe();
        loop {
            let trouble = *writing.borrow_and_update();
            match trouble {
                Trouble::None => {
                    self.apply(key, shown, lease);
                    break;
                }
                Trouble::Slow(delay) => {
                    sleep(delay / 2).await;
                    self.apply(key, shown, lease);
                    sleep(delay / 2).await;
                    break;
                }
                Trouble::Lost => {
                    self.apply(key, shown.clone(), lease);
                    sleep(REPEAT_INTERVAL).await;
                }
                Trouble::Refused | Trouble::Status(_) | Trouble::Silent => {
                    // The sender lives as long as this store.
                    let _ = writing.changed().await;
                }
            }
        }
        let at = Instant::now();
        Ack { sent, at }
    }

    fn apply(&self, key: &str, shown: Option<Value>, lease: Option<Duration>) {
        let expires = lease.map(|lease| Instant::now() + lease);
        self.state().write(key, shown, expires);
        self.announce();
    }

    /// Removes the entries whose writers have been silent.
    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let expired = |item: &Item| item.expires.is_some_and(|at| at < now);
        let expired: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| expired(item))
            .map(|(key, _)| key.clone())
            .collect();
        let has_expired = !expired.is_empty();
        for key in expired {
            state.write(&key, None, None);
        }
        drop(state);
        if has_expired {
            self.announce();
        }
    }

    /// Answers a read.
    async fn answer(&self, request: &Message) -> Vec<u8> {
        self.state().reads += 1;
        let path = request.target().split('?').next().unwrap_or_default();
        let query = |name| request.query(name).unwrap_or_default();
        match path {
            "/-/kv-key" => {
                let state = self.state();
                match state.items.get(&query("key")) {
                    Some(item) => {
                        let mut shown = item.shown.clone();
                        shown["as_of"] = json!(state.revision);
                        respond("200 OK", &state, &shown)
                    }
                    None => respond("404 Not Found", &state, &json!({})),
                }
            }
            "/-/kv-range" => {
                let state = self.state();
                let page = state.page(&query("path_prefix"), &query("after"));
                respond("200 OK", &state, &page)
            }
            "/-/kv-watch" => {
                let after = query("after").parse().unwrap_or_default();
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or_default());
                self.changes(&query("path_prefix"), after, wait).await
            }
            _ => respond("404 Not Found", &self.state(), &json!({})),
        }
    }

    async fn changes(&self, prefix: &str, after: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait.min(MAX_WAIT);
        let mut revision = self.revision.subscribe();
        loop {
            {
                let state = self.state();
                match state.events(prefix, after) {
                    None => return respond("410 Gone", &state, &json!({})),
                    Some(events) if !events.is_empty() || Instant::now() >= until => {
                        let body = json!({ "events": events, "as_of": state.revision });
                        return respond("200 OK", &state, &body);
                    }
                    Some(_) => {}
                }
            }
            // Either way the events are looked up again.
            let _ = tokio::time::timeout_at(until.into(), revision.changed()).await;
        }
    }
}

fn shown(key: &str, value: &[u8]) -> Value {
    json!({ "key": key, "value": BASE64_STANDARD.encode(value), "lease": 0 })
}

fn respond(status: &str, state: &State, body: &Value) -> Vec<u8> {
    let era = state
        .era
        .map_or(String::new(), |era| format!("Store-Era: {era}\r\n"));
    let headers = format!("Content-Type: application/json\r\n{era}");
    response(status, &headers, body.to_string().as_bytes())
}
