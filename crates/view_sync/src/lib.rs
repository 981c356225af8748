//! Keeps the view in sync with the platform and with peers, by gossip.
//!
//! The [`ViewSync`] actor owns the [`Source`] that the view is computed from. It writes the board's
//! `view`, `lease` and `hosts`, and joins once. Reads, comparisons
//! and pulls run in tasks that report back to the actor with the moment at which they sent their
//! request.
//!
//! [`notes`] reads a platform that publishes a history of release notes, [`registry`] one that
//! stores only current values. The gossip between peers, in [`exchange`], is the same for both.

#[cfg(test)]
mod tests;

mod evidence;
mod exchange;
mod keys;
mod notes;
mod progress;
mod registry;
mod source;

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use board::Board;
use fleet::{Action, Digests, Gossip, KeyLease, Lease, ReadBudget, Readiness, ViewUpdate};
use kameo::{
    actor::{ActorRef, Spawn, WeakActorRef},
    error::Infallible,
    mailbox,
    message::{Context, Message},
};
use metrics::Metrics;
use note::Digest;
use rand::{SeedableRng, rngs::SmallRng};
use serde::Serialize;
use support::timer::WakeTimer;
use tonic::transport::Channel;
use types::{Moment, Revision, Span, Stamp};

use self::keys::KeySync;

pub use evidence::{leaving_servers, merge_evidence, suspects_for};
pub use exchange::checked_stamp;
pub use source::{RegistryDump, Source, SyncOptions};

/// Capacity of the actor's mailbox, in messages.
const MAILBOX_MESSAGES: usize = 4_096;

/// A peer's report of its revision. It has a digest if it is part of a comparison of views.
#[derive(Debug)]
pub struct PeerReport {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Revision of the peer's view.
    pub revision: Revision,
    /// Digest of the peer's view.
    pub digest: Option<Digest>,
    /// The fleet's time according to the peer. `None` if the peer didn't send it.
    pub clock: Option<Moment>,
    /// Nonzero if the peer asks for a read of the platform: the number of nodes that the request
    /// may visit, this one included.
    pub read_hops: u32,
    /// Stamp up to which the peer's configuration has been compared with the registry.
    pub checked: Stamp,
}

impl PeerReport {
    /// Returns a report of a revision that a peer sent along with another message.
    pub fn revision_only(peer: SocketAddr, revision: Revision) -> Self {
        Self {
            peer,
            revision,
            digest: None,
            clock: None,
            read_hops: 0,
            checked: Stamp::default(),
        }
    }
}

/// A peer's request for an update of its view.
#[derive(Debug)]
pub struct UpdateRequest {
    /// Revision of the peer's view.
    pub after: Revision,
    /// Digests of the peer's snapshot, if the platform stores only current values.
    pub digests: Digests,
}

/// Request for the actor's state.
#[derive(Debug)]
pub struct Dump;

/// State of the actor, as the admin API shows it.
#[derive(Debug, Clone, Serialize, kameo::Reply)]
pub struct SyncDump {
    neighbours: Vec<SocketAddr>,
    behind: bool,
    read_period: Span,
    reads: u64,
    failed_reads: u64,
    stale_reads: u64,
    forks: u64,
    /// Era and revision of the listing, if the platform stores only current values.
    stamp: Option<Stamp>,
    /// What was read of the registry, if the platform is one.
    registry: Option<RegistryDump>,
}

/// The timer fired.
#[derive(Debug)]
struct Tick;

/// There is something new to tell peers: a leaving backend server, or a suspect request.
#[derive(Debug)]
struct EvidenceChanged;

/// The actor that synchronizes the view.
pub struct ViewSync {
    board: Arc<Board>,
    source: Source,
    metrics: Arc<Metrics>,
    seeds: Vec<SocketAddr>,
    gossip: Gossip,
    readiness: Readiness,
    lease: Lease,
    keys: Option<KeySync>,
    /// Connections to neighbours. They are kept because establishing one costs more than a
    /// comparison.
    channels: HashMap<SocketAddr, Channel>,
    actor: Option<WeakActorRef<Self>>,
    timer: WakeTimer,
    reads: u64,
    failed_reads: u64,
    stale_reads: u64,
    forks: u64,
}

/// Starts the actor and its timer.
pub fn spawn(
    board: &Arc<Board>,
    source: Source,
    metrics: &Arc<Metrics>,
    options: SyncOptions,
) -> ActorRef<ViewSync> {
    let SyncOptions {
        seeds,
        reads,
        lease,
        key_lease,
    } = options;
    let own_address = board.identity.node;
    board.keys.send_replace(key_lease.map(KeyLease::new));
    let rng = SmallRng::seed_from_u64(board.identity.boot.0);
    let view_sync = ViewSync {
        board: Arc::clone(board),
        source,
        metrics: Arc::clone(metrics),
        gossip: Gossip::new(own_address, seeds.clone(), ReadBudget { reads }, rng),
        seeds,
        readiness: Readiness::default(),
        lease: Lease::new(lease),
        keys: key_lease.map(KeySync::new),
        channels: HashMap::new(),
        actor: None,
        timer: WakeTimer::default(),
        reads: 0,
        failed_reads: 0,
        stale_reads: 0,
        forks: 0,
    };
    ViewSync::spawn_with_mailbox(view_sync, mailbox::bounded(MAILBOX_MESSAGES))
}

impl kameo::Actor for ViewSync {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut view_sync: Self, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        view_sync.actor = Some(actor.downgrade());
        let board = Arc::clone(&view_sync.board);
        tokio::spawn(watch_evidence(board, actor.downgrade()));
        view_sync.tick();
        Ok(view_sync)
    }
}

impl Message<Tick> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.tick();
    }
}

impl Message<EvidenceChanged> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, _msg: EvidenceChanged, _ctx: &mut Context<Self, ()>) {
        let actions = self.gossip.push();
        self.execute(actions);
    }
}

impl Message<PeerReport> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: PeerReport, _ctx: &mut Context<Self, ()>) {
        let now = self.board.clock.now();
        if let Some(clock) = msg.clock {
            self.gossip.on_peer_clock(clock, now);
        }
        if let Some(hops) = msg.read_hops.checked_sub(1) {
            let actions = self.gossip.on_read_request(hops, now);
            self.execute(actions);
        }
        let actions = self.handle_report(msg);
        self.execute(actions);
        self.set_timer();
    }
}

impl Message<UpdateRequest> for ViewSync {
    type Reply = Option<ViewUpdate>;

    async fn handle(
        &mut self,
        msg: UpdateRequest,
        _ctx: &mut Context<Self, Option<ViewUpdate>>,
    ) -> Option<ViewUpdate> {
        match &self.source {
            Source::Notes { history, .. } => history.since(msg.after),
            Source::Registry { snapshot, .. } => {
                let now = self.board.clock.now();
                let parts = snapshot.parts(msg.digests, now);
                Some(ViewUpdate::Parts(Box::new(parts)))
            }
        }
    }
}

impl Message<Dump> for ViewSync {
    type Reply = SyncDump;

    async fn handle(&mut self, _msg: Dump, _ctx: &mut Context<Self, SyncDump>) -> SyncDump {
        SyncDump {
            neighbours: self.gossip.neighbours().to_vec(),
            behind: self.gossip.is_behind(),
            read_period: self.gossip.read_period(),
            reads: self.reads,
            failed_reads: self.failed_reads,
            stale_reads: self.stale_reads,
            forks: self.forks,
            stamp: self.source.stamp(),
            registry: self.source.dump(),
        }
    }
}

impl ViewSync {
    fn tick(&mut self) {
        let now = self.board.clock.now();
        self.timer.clear_expired(now);
        self.drop_expired(now);
        self.check_keys(now);
        let mut actions = self.gossip.tick(now);
        if !self.board.has_joined() {
            let unasked = self.readiness.take_unasked(self.gossip.neighbours());
            actions.extend(unasked.into_iter().map(Action::Compare));
        }
        if self.gossip.is_alone() {
            self.renew_lease(now);
        }
        self.execute(actions);
        self.set_timer();
    }

    /// Sets the timer to the next moment at which the gossip or the source has something to do.
    fn set_timer(&mut self) {
        let wake = tell(self.actor.clone(), Tick);
        let at = self.gossip.next_tick();
        let at = self
            .source
            .next_expiry()
            .map_or(at, |expiry| expiry.min(at));
        let at = self.next_key_check().map_or(at, |check| check.min(at));
        self.timer.set(at, self.board.clock, wake);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read => self.read(),
                Action::Compare(peer) => self.compare(peer, 0),
                Action::Delegate(peer, hops) => self.compare(peer, hops + 1),
                Action::Pull(peer) => self.pull(peer),
            }
        }
    }

    fn read(&mut self) {
        match self.source {
            Source::Notes { .. } => self.read_history(),
            Source::Registry { .. } => self.read_registry(),
        }
    }

    /// Renews the lease, counted from the moment at which the successful request was sent.
    fn renew_lease(&mut self, sent_at: Moment) {
        self.lease.renew(sent_at);
        self.board.lease.send_replace(self.lease);
    }

    /// Publishes the source's view on the board if it changed, and gossips its revision to
    /// neighbours.
    fn publish(&mut self) {
        let view = self.source.view();
        let previous = self.board.view();
        if Arc::ptr_eq(view, &previous) || view.revision == previous.revision {
            return;
        }
        assert!(
            view.revision > previous.revision,
            "invariant: the revision of the view never decreases"
        );
        if let Source::Registry { snapshot, .. } = &self.source {
            self.metrics
                .record_config_version(snapshot.config_version());
        }
        self.log_view();
        let nodes = view.state.nodes();
        let members = nodes.chain(self.seeds.iter().copied()).collect();
        let revision = view.revision;
        self.board.view.send_replace(Arc::clone(view));
        self.publish_keys();
        self.gossip.set_members(members);
        let actions = self.gossip.on_new_revision(revision);
        self.execute(actions);
        self.set_timer();
    }

    fn log_view(&self) {
        let view = self.source.view();
        let state = &view.state;
        let faults = view.rejected.back().filter(|r| r.revision == view.revision);
        let faults = faults.map_or(0, |r| r.faults.len());
        let out_of_service = state
            .servers
            .values()
            .filter(|e| !state.is_in_service(&e.item))
            .count();
        log::info!(
            revision:% = view.revision, digest:% = view.digest, faults,
            servers = state.servers.len(), closed = out_of_service, routes = state.routes.len(),
            teams = state.teams.len();
            "view_in_force"
        );
    }

    /// Joins once the view is known to be current. A node that is stopping then judges the requests that it still
    /// gets.
    fn try_join(&mut self) {
        if self.board.has_joined() {
            return;
        }
        let unasked = self.readiness.take_unasked(self.gossip.neighbours());
        unasked.into_iter().for_each(|peer| self.compare(peer, 0));
        let current = match &self.source {
            Source::Notes { .. } => self.readiness.is_ready(self.gossip.is_behind()),
            Source::Registry { .. } => self.is_snapshot_current(),
        };
        if current && self.readiness.has_heard_peers() {
            let revision = self.source.view().revision;
            match self.board.join() {
                true => log::info!(revision:%; "ready"),
                false => log::info!(revision:%; "joined_while_stopping"),
            }
        }
    }
}

/// Sends the actor an [`EvidenceChanged`] whenever there is something new to tell peers.
async fn watch_evidence(board: Arc<Board>, actor: WeakActorRef<ViewSync>) {
    let mut leaving = board.leaving.subscribe();
    let mut quarantine = board.quarantine.subscribe();
    loop {
        let changed = tokio::select! {
            changed = leaving.changed() => changed,
            changed = quarantine.changed() => changed,
        };
        let Some(actor) = actor.upgrade() else { return };
        if changed.is_err() || actor.tell(EvidenceChanged).await.is_err() {
            return;
        }
    }
}

/// Sends a message to the actor if it still runs.
async fn tell<M: Send + 'static>(actor: Option<WeakActorRef<ViewSync>>, message: M)
where
    ViewSync: Message<M>,
{
    if let Some(actor) = actor.and_then(|a| a.upgrade()) {
        let _ = actor.tell(message).await;
    }
}
