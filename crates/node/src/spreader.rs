//! Carries the spread of release notes.
//!
//! The actor owns the [`History`] and writes the board's `view`, `lease`, `hosts` and, once, the
//! step from joining to ready. Reads, comparisons and pulls run in tasks that report back with the
//! moment at which they asked.

#[cfg(test)]
mod tests;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use board::{Board, Phase};
use fleet::{Action, Budget, Extension, History, HistoryError, Join, Lease, Spread};
use kameo::{
    actor::{ActorRef, Spawn, WeakActorRef},
    error::Infallible,
    mailbox,
    message::{Context, Message},
};
use note::Digest;
use platform::{HostList, Page, Platform, PlatformError};
use rand::{SeedableRng, rngs::SmallRng};
use serde::Serialize;
use tokio::time::timeout;
use tonic::transport::Channel;
use types::{Moment, Rate, Revision, Span};
use wire::peer::{PullRequest, View, peer_client::PeerClient};

use crate::{alarm::Alarm, meter::Meter, peers};

/// Messages that may wait for the actor.
const MAILBOX_MESSAGES: usize = 4_096;
/// Longest time that a comparison may take.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a pull may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Largest view that a peer may send.
const MOST_VIEW_BYTES: usize = 64 << 20;
/// Of so many reads one asks for the list of hosts.
const READS_PER_HOSTS: u64 = 4;

/// A peer named its revision.
#[derive(Debug)]
pub(crate) struct Heard {
    pub(crate) peer: SocketAddr,
    pub(crate) revision: Revision,
}

/// A peer lacks what follows this revision.
#[derive(Debug)]
pub(crate) struct Lacks {
    pub(crate) after: Revision,
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

#[derive(Debug)]
struct ReadNotes {
    after: Revision,
    asked: Moment,
    page: Result<Page, PlatformError>,
}

#[derive(Debug)]
struct ReadHosts(Result<HostList, PlatformError>);

#[derive(Debug)]
struct Compared {
    peer: SocketAddr,
    asked: Moment,
    view: Option<View>,
}

#[derive(Debug)]
struct Pulled {
    peer: SocketAddr,
    asked: Moment,
    extension: Option<Extension>,
}

/// The actor.
pub(crate) struct Spreader {
    board: Arc<Board>,
    platform: Arc<dyn Platform>,
    meter: Arc<Meter>,
    spread: Spread,
    history: History,
    join: Join,
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
    platform: Arc<dyn Platform>,
    meter: &Arc<Meter>,
    seeds: Vec<SocketAddr>,
    reads: Rate,
) -> ActorRef<Spreader> {
    let own = board.identity.node;
    let rng = SmallRng::seed_from_u64(board.identity.boot.0);
    let spreader = Spreader {
        board: Arc::clone(board),
        platform,
        meter: Arc::clone(meter),
        spread: Spread::new(own, seeds, Budget { reads }, rng),
        history: History::default(),
        join: Join::default(),
        lease: Lease::default(),
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
        let actions = self.spread.heard(msg.peer, msg.revision);
        self.carry_out(actions);
    }
}

impl Message<Lacks> for Spreader {
    type Reply = Option<Extension>;

    async fn handle(
        &mut self,
        msg: Lacks,
        _ctx: &mut Context<Self, Option<Extension>>,
    ) -> Option<Extension> {
        self.history.since(msg.after)
    }
}

impl Message<ReadNotes> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: ReadNotes, _ctx: &mut Context<Self, ()>) {
        self.reads += 1;
        match msg.page {
            Ok(page) => self.take_page(msg.after, msg.asked, &page),
            Err(error) => {
                self.failed_reads += 1;
                log::debug!(error:% = error; "read_failed");
            }
        }
        self.try_ready();
    }
}

impl Message<ReadHosts> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: ReadHosts, _ctx: &mut Context<Self, ()>) {
        self.reads += 1;
        match msg.0 {
            Ok(hosts) if hosts != **self.board.hosts.borrow() => {
                log::info!(hosts = hosts.len(); "hosts_changed");
                self.board.hosts.send_replace(Arc::new(hosts));
            }
            Ok(_) => {}
            Err(_) => self.failed_reads += 1,
        }
    }
}

impl Message<Compared> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: Compared, _ctx: &mut Context<Self, ()>) {
        match msg.view {
            Some(view) => self.take_comparison(msg.peer, msg.asked, &view),
            None => {
                // It may have gone silent: the next comparison makes another.
                self.channels.remove(&msg.peer);
                self.join.failed(msg.peer);
                self.spread.lost(msg.peer, self.board.clock.now());
                self.set_timer();
            }
        }
        self.try_ready();
    }
}

impl Message<Pulled> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: Pulled, _ctx: &mut Context<Self, ()>) {
        self.spread.pulled(msg.peer);
        if let Some(extension) = msg.extension {
            match self.history.take(extension) {
                Ok(()) => {
                    self.renew(msg.asked);
                    self.publish();
                }
                Err(HistoryError::Older) => {}
                Err(error) => self.report_fork(msg.peer, &error),
            }
        }
        self.try_ready();
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
        let mut actions = self.spread.tick(now);
        if self.board.phase() == Phase::Joining {
            let new = self.join.ask(self.spread.neighbours());
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
        self.alarm.set(at, self.board.clock, wake);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read if self.reads % READS_PER_HOSTS == READS_PER_HOSTS - 1 => {
                    self.read_hosts();
                }
                Action::Read => self.read_notes(),
                Action::Compare(peer) => self.compare(peer),
                Action::Pull(peer) => self.pull(peer),
            }
        }
    }

    fn read_notes(&self) {
        self.meter.control("read");
        let (platform, actor) = (Arc::clone(&self.platform), self.actor.clone());
        let after = self.history.view().revision;
        let asked = self.board.clock.now();
        tokio::spawn(async move {
            let page = platform.notes(after).await;
            tell(actor, ReadNotes { after, asked, page }).await;
        });
    }

    fn read_hosts(&self) {
        self.meter.control("read");
        let (platform, actor) = (Arc::clone(&self.platform), self.actor.clone());
        tokio::spawn(async move {
            let hosts = platform.hosts().await;
            tell(actor, ReadHosts(hosts)).await;
        });
    }

    /// The connection with a peer. It is kept if the peer is a neighbour.
    fn channel(&mut self, peer: SocketAddr) -> Channel {
        let neighbours = self.spread.neighbours();
        self.channels.retain(|kept, _| neighbours.contains(kept));
        let connect = || peers::connect(peer).connect_lazy();
        match neighbours.contains(&peer) {
            true => self.channels.entry(peer).or_insert_with(connect).clone(),
            false => connect(),
        }
    }

    fn compare(&mut self, peer: SocketAddr) {
        self.meter.control("compare");
        let channel = self.channel(peer);
        let actor = self.actor.clone();
        let asked = self.board.clock.now();
        let own = self.history.view();
        let own = View {
            revision: own.revision.0,
            digest: own.digest.0.to_vec().into(),
            node: self.board.identity.node.to_string(),
            ready: self.board.phase() != Phase::Joining,
        };
        tokio::spawn(async move {
            let view = timeout(COMPARE_TIMEOUT, compare(channel, own))
                .await
                .ok()
                .flatten();
            tell(actor, Compared { peer, asked, view }).await;
        });
    }

    fn pull(&mut self, peer: SocketAddr) {
        self.meter.control("pull");
        let channel = self.channel(peer);
        let actor = self.actor.clone();
        let asked = self.board.clock.now();
        let after = self.history.view().revision;
        tokio::spawn(async move {
            let extension = timeout(PULL_TIMEOUT, pull(channel, after))
                .await
                .ok()
                .flatten();
            tell(
                actor,
                Pulled {
                    peer,
                    asked,
                    extension,
                },
            )
            .await;
        });
    }

    fn take_page(&mut self, after: Revision, asked: Moment, page: &Page) {
        if page.head < self.history.view().revision {
            self.stale_reads += 1;
            return;
        }
        let folded = self.history.extend(after, &page.notes);
        self.publish();
        if page.head == self.history.view().revision {
            self.join.read();
            self.renew(asked);
        } else if folded > 0 {
            // The page was full: the next one follows at once.
            self.read_notes();
        }
    }

    fn take_comparison(&mut self, peer: SocketAddr, asked: Moment, theirs: &View) {
        let own = self.history.view();
        let revision = Revision(theirs.revision);
        let differs = own.digest != digest(theirs);
        self.join.answered(peer, theirs.ready);
        match revision {
            r if r > own.revision => {
                let actions = self.spread.heard(peer, revision);
                self.carry_out(actions);
            }
            r if r == own.revision && differs => {
                let error = HistoryError::Forked { revision };
                self.report_fork(peer, &error);
            }
            _ if theirs.ready => self.renew(asked),
            _ => {}
        }
    }

    fn report_fork(&mut self, peer: SocketAddr, error: &HistoryError) {
        self.forks += 1;
        log::error!(peer:% = peer, error:% = error; "notes_forked");
    }

    fn renew(&mut self, asked: Moment) {
        self.lease.renew(asked);
        self.board.lease.send_replace(self.lease);
    }

    /// Puts the view in force, if it advanced, and tells some neighbours.
    fn publish(&mut self) {
        let view = self.history.view();
        let before = self.board.view.borrow().revision;
        if view.revision == before {
            return;
        }
        assert!(view.revision > before, "invariant: a view never reverts");
        let faults = view.rejected.back().filter(|r| r.revision == view.revision);
        let faults = faults.map_or(0, |r| r.faults.len());
        log::info!(revision:% = view.revision, digest:% = view.digest, faults; "notes_in_force");
        let members = view.state.servers.values().map(|e| e.item.node).collect();
        let revision = view.revision;
        self.board.view.send_replace(Arc::clone(view));
        self.spread.set_members(members);
        let actions = self.spread.advanced(revision);
        self.carry_out(actions);
    }

    fn try_ready(&mut self) {
        if self.board.phase() != Phase::Joining {
            return;
        }
        let new = self.join.ask(self.spread.neighbours());
        new.into_iter().for_each(|peer| self.compare(peer));
        if self.join.is_ready(self.spread.is_behind()) {
            log::info!(revision:% = self.history.view().revision; "ready");
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

async fn compare(channel: Channel, own: View) -> Option<View> {
    let reply = PeerClient::new(channel).compare(own).await.ok()?;
    Some(reply.into_inner())
}

async fn pull(channel: Channel, after: Revision) -> Option<Extension> {
    let mut client = PeerClient::new(channel).max_decoding_message_size(MOST_VIEW_BYTES);
    let reply = client
        .pull(PullRequest { revision: after.0 })
        .await
        .ok()?
        .into_inner();
    serde_json::from_slice(&reply.view).ok()
}

fn digest(view: &View) -> Digest {
    Digest(view.digest.as_ref().try_into().unwrap_or_default())
}
