//! Carries the spread of the view.
//!
//! The actor owns what the view is made of, a [`Source`], and writes the board's `view`, `lease`,
//! `hosts` and, once, the step from joining to ready. Reads, comparisons and pulls run in tasks that
//! report back with the moment at which they asked.
//!
//! [`notes`] reads a platform that publishes a history of release notes, [`registry`] one that keeps
//! newest values only. Whom to tell and to compare with is the same for both.

#[cfg(test)]
mod tests;

mod exchange;
mod notes;
mod registry;
mod source;

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use board::{Board, Phase};
use fleet::{Action, Digests, Extension, Gossip, Lease, ReadBudget, Readiness};
use kameo::{
    actor::{ActorRef, Spawn, WeakActorRef},
    error::Infallible,
    mailbox,
    message::{Context, Message},
};
use note::Digest;
use rand::{SeedableRng, rngs::SmallRng};
use serde::Serialize;
use tonic::transport::Channel;
use types::{Moment, Revision, Span};

use crate::{alarm::Alarm, meter::Meter};

pub(crate) use source::{Plan, Source};

/// Messages that may wait for the actor.
const MAILBOX_MESSAGES: usize = 4_096;

/// A peer named its revision, and the digest of its view unless it spoke of other things.
#[derive(Debug)]
pub(crate) struct Heard {
    pub(crate) peer: SocketAddr,
    pub(crate) revision: Revision,
    pub(crate) digest: Option<Digest>,
    /// The fleet's clock at the peer.
    pub(crate) clock: Option<Moment>,
    /// Number of nodes that may pass on the peer's wish to have the platform read, if it has it.
    pub(crate) read_hops: u32,
}

impl Heard {
    /// A peer named its revision while it spoke of other things.
    pub(crate) fn revision(peer: SocketAddr, revision: Revision) -> Self {
        Self {
            peer,
            revision,
            digest: None,
            clock: None,
            read_hops: 0,
        }
    }
}

/// A peer lacks what follows this revision.
#[derive(Debug)]
pub(crate) struct Lacks {
    pub(crate) after: Revision,
    /// What it has, where the platform keeps newest values.
    pub(crate) digests: Digests,
}

/// Wants to know what the spreader holds.
#[derive(Debug)]
pub(crate) struct Dump;

/// What the spreader holds.
#[derive(Debug, Clone, Serialize, kameo::Reply)]
pub(crate) struct Dumped {
    neighbours: Vec<SocketAddr>,
    behind: bool,
    read_period: Span,
    reads: u64,
    failed_reads: u64,
    stale_reads: u64,
    forks: u64,
}

#[derive(Debug)]
struct Tick;

/// The actor.
pub(crate) struct Spreader {
    board: Arc<Board>,
    source: Source,
    meter: Arc<Meter>,
    seeds: Vec<SocketAddr>,
    spread: Gossip,
    join: Readiness,
    lease: Lease,
    /// Connections with neighbours, kept since making one costs more than a comparison.
    channels: HashMap<SocketAddr, Channel>,
    actor: Option<WeakActorRef<Self>>,
    alarm: Alarm,
    reads: u64,
    failed_reads: u64,
    stale_reads: u64,
    forks: u64,
}

/// Starts the actor and its clock.
pub(crate) fn spawn(
    board: &Arc<Board>,
    source: Source,
    meter: &Arc<Meter>,
    plan: Plan,
) -> ActorRef<Spreader> {
    let Plan {
        seeds,
        reads,
        lease,
    } = plan;
    let own = board.identity.node;
    let rng = SmallRng::seed_from_u64(board.identity.boot.0);
    let spreader = Spreader {
        board: Arc::clone(board),
        source,
        meter: Arc::clone(meter),
        spread: Gossip::new(own, seeds.clone(), ReadBudget { reads }, rng),
        seeds,
        join: Readiness::default(),
        lease: Lease::new(lease),
        channels: HashMap::new(),
        actor: None,
        alarm: Alarm::default(),
        reads: 0,
        failed_reads: 0,
        stale_reads: 0,
        forks: 0,
    };
    Spreader::spawn_with_mailbox(spreader, mailbox::bounded(MAILBOX_MESSAGES))
}

impl kameo::Actor for Spreader {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut spreader: Self, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        spreader.actor = Some(actor.downgrade());
        spreader.tick();
        Ok(spreader)
    }
}

impl Message<Tick> for Spreader {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.tick();
    }
}

impl Message<Heard> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: Heard, _ctx: &mut Context<Self, ()>) {
        let now = self.board.clock.now();
        if let Some(clock) = msg.clock {
            self.spread.on_peer_clock(clock, now);
        }
        if let Some(hops) = msg.read_hops.checked_sub(1) {
            let actions = self.spread.on_read_request(hops, now);
            self.carry_out(actions);
        }
        let actions = self.hear(msg);
        self.carry_out(actions);
        self.set_timer();
    }
}

impl Message<Lacks> for Spreader {
    type Reply = Option<Extension>;

    async fn handle(
        &mut self,
        msg: Lacks,
        _ctx: &mut Context<Self, Option<Extension>>,
    ) -> Option<Extension> {
        match &self.source {
            Source::Notes { history, .. } => history.since(msg.after),
            Source::Registry { snapshot, .. } => {
                Some(Extension::Parts(Box::new(snapshot.parts(msg.digests))))
            }
        }
    }
}

impl Message<Dump> for Spreader {
    type Reply = Dumped;

    async fn handle(&mut self, _msg: Dump, _ctx: &mut Context<Self, Dumped>) -> Dumped {
        Dumped {
            neighbours: self.spread.neighbours().to_vec(),
            behind: self.spread.is_behind(),
            read_period: self.spread.read_period(),
            reads: self.reads,
            failed_reads: self.failed_reads,
            stale_reads: self.stale_reads,
            forks: self.forks,
        }
    }
}

impl Spreader {
    fn tick(&mut self) {
        let now = self.board.clock.now();
        self.alarm.clear(now);
        self.expire(now);
        let mut actions = self.spread.tick(now);
        if self.board.phase() == Phase::Joining {
            let new = self.join.take_unasked(self.spread.neighbours());
            actions.extend(new.into_iter().map(Action::Compare));
        }
        if self.spread.is_alone() {
            self.renew(now);
        }
        self.carry_out(actions);
        self.set_timer();
    }

    /// Wakes the actor when the spread has something to do.
    fn set_timer(&mut self) {
        let wake = tell(self.actor.clone(), Tick);
        let at = self.spread.next_tick();
        let at = self
            .source
            .next_expiry()
            .map_or(at, |expiry| expiry.min(at));
        self.alarm.set(at, self.board.clock, wake);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
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
        match &self.source {
            Source::Notes { .. } => self.read_history(),
            Source::Registry { .. } => self.read_registry(),
        }
    }

    fn renew(&mut self, asked: Moment) {
        self.lease.renew(asked);
        self.board.lease.send_replace(self.lease);
    }

    /// Puts the view in force, if it changed, and tells some neighbours.
    fn publish(&mut self) {
        let view = self.source.view();
        let before = self.board.view();
        if Arc::ptr_eq(view, &before) || view.revision == before.revision {
            return;
        }
        assert!(
            view.revision > before.revision,
            "invariant: a view never reverts"
        );
        self.log_view();
        let servers = view.state.servers.values().map(|e| e.item.node);
        let members = servers.chain(self.seeds.iter().copied()).collect();
        let revision = view.revision;
        self.board.view.send_replace(Arc::clone(view));
        self.spread.set_members(members);
        let actions = self.spread.on_new_revision(revision);
        self.carry_out(actions);
        self.set_timer();
    }

    fn log_view(&self) {
        let view = self.source.view();
        let state = &view.state;
        let faults = view.rejected.back().filter(|r| r.revision == view.revision);
        let faults = faults.map_or(0, |r| r.faults.len());
        let leaving = state
            .servers
            .values()
            .filter(|e| !state.takes_work(&e.item))
            .count();
        log::info!(
            revision:% = view.revision, digest:% = view.digest, faults,
            servers = state.servers.len(), closed = leaving, routes = state.routes.len();
            "view_in_force"
        );
    }

    fn try_ready(&mut self) {
        if self.board.phase() != Phase::Joining {
            return;
        }
        let new = self.join.take_unasked(self.spread.neighbours());
        new.into_iter().for_each(|peer| self.compare(peer, 0));
        let known = match &self.source {
            Source::Notes { .. } => self.join.is_ready(self.spread.is_behind()),
            Source::Registry { .. } => self.is_known(),
        };
        if known {
            log::info!(revision:% = self.source.view().revision; "ready");
            self.board.phase.send_if_modified(|phase| {
                let joining = *phase == Phase::Joining;
                if joining {
                    *phase = Phase::Ready;
                }
                joining
            });
        }
    }
}

async fn tell<M: Send + 'static>(actor: Option<WeakActorRef<Spreader>>, message: M)
where
    Spreader: Message<M>,
{
    if let Some(actor) = actor.and_then(|a| a.upgrade()) {
        let _ = actor.tell(message).await;
    }
}
