//! Comparisons of this node's view with those of peers, and pulls of updates from them.
//!
//! Each runs in a task that reports back with the moment at which it sent its request. A lease is
//! counted from that moment, because the peer's view may have changed while the reply was on its
//! way.

use std::{net::SocketAddr, time::Duration};

use fleet::{Action, Digests, HistoryError, ViewUpdate};
use kameo::message::{Context, Message};
use note::Digest;
use support::endpoint::endpoint;
use tokio::time::timeout;
use tonic::{codec::CompressionEncoding, transport::Channel};
use types::{Era, Moment, Revision, Stamp};
use wire::peer::{PullRequest, View, peer_client::PeerClient};

use super::{
    PeerReport, Source, ViewSync,
    evidence::{changed_suspects, leaving_servers, merge_evidence},
    tell,
};

/// Timeout of a comparison.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a pull. A large view takes seconds on a slow link; a peer that no longer answers is
/// detected earlier, by the pings on its connection.
const PULL_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Largest update of the view that is accepted from a peer.
const MAX_UPDATE_BYTES: usize = 64 << 20;

#[derive(Debug)]
struct Compared {
    peer: SocketAddr,
    sent_at: Moment,
    view: Option<View>,
}

#[derive(Debug)]
struct Pulled {
    peer: SocketAddr,
    sent_at: Moment,
    update: Option<ViewUpdate>,
}

impl Message<Compared> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: Compared, _ctx: &mut Context<Self, ()>) {
        match msg.view {
            Some(view) => self.apply_comparison(msg.peer, msg.sent_at, &view),
            None => {
                // The connection may be dead, so the next comparison opens a new one.
                self.channels.remove(&msg.peer);
                self.readiness.on_peer_failure(msg.peer);
                self.gossip
                    .on_peer_unreachable(msg.peer, self.board.clock.now());
                self.set_timer();
            }
        }
        self.try_join();
    }
}

impl Message<Pulled> for ViewSync {
    type Reply = ();

    async fn handle(&mut self, msg: Pulled, _ctx: &mut Context<Self, ()>) {
        let actions = self.gossip.on_pull_ended(msg.peer);
        if let Some(update) = msg.update {
            self.apply_update(msg.peer, msg.sent_at, update);
        }
        self.execute(actions);
        self.try_join();
    }
}

impl ViewSync {
    /// Returns a connection to a peer. It is kept for reuse if the peer is a neighbour.
    fn channel(&mut self, peer: SocketAddr) -> Channel {
        let neighbours = self.gossip.neighbours();
        self.channels
            .retain(|address, _| neighbours.contains(address));
        let connect = || endpoint(peer).connect_lazy();
        match neighbours.contains(&peer) {
            true => self.channels.entry(peer).or_insert_with(connect).clone(),
            false => connect(),
        }
    }

    /// Starts a comparison with a peer. `read_hops` above 0 asks the peer to read the platform.
    pub(super) fn compare(&mut self, peer: SocketAddr, read_hops: u32) {
        self.metrics.record_control_message("compare");
        let channel = self.channel(peer);
        let actor = self.actor.clone();
        let sent_at = self.board.clock.now();
        let view = self.source.view();
        let checked = self.source.checked();
        let own = View {
            revision: view.revision.0,
            digest: view.digest.0.to_vec().into(),
            node: self.board.identity.node.to_string(),
            ready: self.board.has_joined(),
            clock: self.gossip.fleet_time(sent_at).0,
            read_hops,
            checked_era: checked.era.0,
            checked_revision: checked.revision.0,
            leaving: leaving_servers(&self.board),
            suspects: changed_suspects(&self.board),
            suspects_digest: self.board.quarantine.borrow().digest(),
            // A question's way may take any time, so the age in one would prove nothing.
            proof: None,
        };
        tokio::spawn(async move {
            let view = timeout(COMPARE_TIMEOUT, compare(channel, own))
                .await
                .ok()
                .flatten();
            tell(
                actor,
                Compared {
                    peer,
                    sent_at,
                    view,
                },
            )
            .await;
        });
    }

    /// Starts a pull of an update of this node's view from a peer.
    pub(super) fn pull(&mut self, peer: SocketAddr) {
        self.metrics.record_control_message("pull");
        let channel = self.channel(peer);
        let actor = self.actor.clone();
        let sent_at = self.board.clock.now();
        let after = self.source.view().revision;
        let digests = self.source.digests();
        tokio::spawn(async move {
            let update = timeout(PULL_TIMEOUT, pull(channel, after, digests))
                .await
                .ok()
                .flatten();
            tell(
                actor,
                Pulled {
                    peer,
                    sent_at,
                    update,
                },
            )
            .await;
        });
    }

    /// Handles a peer's report of its revision and digest.
    pub(super) fn handle_report(&mut self, report: PeerReport) -> Vec<Action> {
        let own = self.source.view();
        match self.source {
            Source::Notes { .. } => self.gossip.on_peer_revision(report.peer, report.revision),
            Source::Registry { .. } => match report.digest {
                Some(digest) if digest != own.digest => {
                    let now = self.board.clock.now();
                    self.gossip.on_peer_differs(report.peer, now)
                }
                Some(_) => {
                    self.confirm_config(report.checked);
                    self.raise_revision(report.revision);
                    Vec::new()
                }
                None => self.gossip.on_peer_revision(report.peer, report.revision),
            },
        }
    }

    fn apply_comparison(&mut self, peer: SocketAddr, sent_at: Moment, peer_view: &View) {
        merge_evidence(&self.board, peer_view);
        let own = self.source.view();
        let revision = Revision(peer_view.revision);
        let digest = view_digest(peer_view);
        let differs = own.digest != digest;
        let is_history = matches!(self.source, Source::Notes { .. });
        let newer = revision > own.revision;
        let forked = revision == own.revision && differs;
        self.readiness.on_peer_answer(peer, peer_view.ready);
        self.gossip.on_compare_answered(self.board.clock.now());
        if !differs {
            self.confirm_config(checked_stamp(peer_view));
        }
        if let Some(proof) = &peer_view.proof {
            self.adopt_proof(proof, sent_at);
        }
        let report = PeerReport {
            digest: Some(digest),
            ..PeerReport::revision_only(peer, revision)
        };
        match () {
            () if is_history && forked => {
                let error = HistoryError::Forked { revision };
                self.record_fork(peer, &error);
                return;
            }
            () if newer || differs => {
                let actions = self.handle_report(report);
                self.execute(actions);
            }
            () => {}
        }
        // The lease is renewed only if this node's history is no older than the peer's, or its
        // snapshot is the same as the peer's.
        let current = if is_history { !newer } else { !differs };
        if peer_view.ready && current {
            self.renew_lease(sent_at);
        }
    }

    fn apply_update(&mut self, peer: SocketAddr, sent_at: Moment, update: ViewUpdate) {
        match (&mut self.source, update) {
            (Source::Registry { .. }, ViewUpdate::Parts(parts)) => {
                let revision = parts.revision;
                self.merge_parts(*parts);
                self.renew_lease(sent_at);
                self.publish();
                self.publish_checked();
                self.raise_revision(revision);
            }
            (Source::Registry { .. }, _) => self.record_fork(peer, &HistoryError::OtherFormat),
            (Source::Notes { history, .. }, update) => match history.apply(update) {
                Ok(()) => {
                    self.renew_lease(sent_at);
                    self.publish();
                }
                Err(HistoryError::Older) => {}
                Err(error) => self.record_fork(peer, &error),
            },
        }
    }

    fn record_fork(&mut self, peer: SocketAddr, error: &HistoryError) {
        self.forks += 1;
        log::error!(peer:% = peer, error:% = error; "notes_forked");
    }
}

async fn compare(channel: Channel, own: View) -> Option<View> {
    let reply = PeerClient::new(channel).compare(own).await.ok()?;
    Some(reply.into_inner())
}

async fn pull(channel: Channel, after: Revision, digests: Digests) -> Option<ViewUpdate> {
    // Views compress well, and traffic between availability zones is billed.
    let mut client = PeerClient::new(channel)
        .max_decoding_message_size(MAX_UPDATE_BYTES)
        .accept_compressed(CompressionEncoding::Gzip);
    let reply = client
        .pull(PullRequest {
            revision: after.0,
            listing: digests.listing.0.to_vec().into(),
            orders: digests.config.0.to_vec().into(),
        })
        .await
        .ok()?
        .into_inner();
    serde_json::from_slice(&reply.view).ok()
}

fn view_digest(view: &View) -> Digest {
    Digest(view.digest.as_ref().try_into().unwrap_or_default())
}

/// The stamp up to which a peer's configuration has been compared with the registry.
pub fn checked_stamp(view: &View) -> Stamp {
    Stamp {
        era: Era(view.checked_era),
        revision: Revision(view.checked_revision),
    }
}
