//! Comparisons with peers and pulls from them.
//!
//! Each runs in a task that reports back with the moment at which it asked, since what was true then
//! may have ended while the answer was on its way.

use std::{net::SocketAddr, time::Duration};

use board::Phase;
use fleet::{Action, Digests, Extension, HistoryError};
use kameo::message::{Context, Message};
use note::Digest;
use tokio::time::timeout;
use tonic::{codec::CompressionEncoding, transport::Channel};
use types::{Moment, Revision};
use wire::peer::{PullRequest, View, peer_client::PeerClient};

use super::{Heard, Source, Spreader, tell};
use crate::peers;

/// Longest time that a comparison may take.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a pull may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Largest view that a peer may send.
const MOST_VIEW_BYTES: usize = 64 << 20;

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

impl Message<Compared> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: Compared, _ctx: &mut Context<Self, ()>) {
        match msg.view {
            Some(view) => self.take_comparison(msg.peer, msg.asked, &view),
            None => {
                // It may have gone silent: the next comparison makes another.
                self.channels.remove(&msg.peer);
                self.join.on_peer_failure(msg.peer);
                self.spread
                    .on_peer_unreachable(msg.peer, self.board.clock.now());
                self.set_timer();
            }
        }
        self.try_ready();
    }
}

impl Message<Pulled> for Spreader {
    type Reply = ();

    async fn handle(&mut self, msg: Pulled, _ctx: &mut Context<Self, ()>) {
        let actions = self.spread.on_pull_ended(msg.peer);
        if let Some(extension) = msg.extension {
            self.take_extension(msg.peer, msg.asked, extension);
        }
        self.carry_out(actions);
        self.try_ready();
    }
}

impl Spreader {
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

    pub(super) fn compare(&mut self, peer: SocketAddr, read_hops: u32) {
        self.meter.control("compare");
        let channel = self.channel(peer);
        let actor = self.actor.clone();
        let asked = self.board.clock.now();
        let own = self.source.view();
        let own = View {
            revision: own.revision.0,
            digest: own.digest.0.to_vec().into(),
            node: self.board.identity.node.to_string(),
            ready: self.board.phase() != Phase::Joining,
            clock: self.spread.fleet_time(asked).0,
            read_hops,
        };
        tokio::spawn(async move {
            let view = timeout(COMPARE_TIMEOUT, compare(channel, own))
                .await
                .ok()
                .flatten();
            tell(actor, Compared { peer, asked, view }).await;
        });
    }

    pub(super) fn pull(&mut self, peer: SocketAddr) {
        self.meter.control("pull");
        let channel = self.channel(peer);
        let actor = self.actor.clone();
        let asked = self.board.clock.now();
        let after = self.source.view().revision;
        let digests = self.source.digests();
        tokio::spawn(async move {
            let extension = timeout(PULL_TIMEOUT, pull(channel, after, digests))
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

    /// A peer named its revision.
    pub(super) fn hear(&mut self, heard: Heard) -> Vec<Action> {
        let own = self.source.view();
        match self.source {
            Source::Notes { .. } => self.spread.on_peer_revision(heard.peer, heard.revision),
            Source::Registry { .. } => match heard.digest {
                Some(digest) if digest != own.digest => {
                    let now = self.board.clock.now();
                    self.spread.on_peer_differs(heard.peer, now)
                }
                Some(_) => {
                    self.raise(heard.revision);
                    Vec::new()
                }
                None => self.spread.on_peer_revision(heard.peer, heard.revision),
            },
        }
    }

    fn take_comparison(&mut self, peer: SocketAddr, asked: Moment, theirs: &View) {
        let own = self.source.view();
        let revision = Revision(theirs.revision);
        let digest = digest(theirs);
        let differs = own.digest != digest;
        let is_history = matches!(self.source, Source::Notes { .. });
        let newer = revision > own.revision;
        self.join.on_peer_answer(peer, theirs.ready);
        self.spread.on_compare_answered(self.board.clock.now());
        let heard = Heard {
            digest: Some(digest),
            ..Heard::revision(peer, revision)
        };
        match () {
            () if is_history && revision == own.revision && differs => {
                let error = HistoryError::Forked { revision };
                self.report_fork(peer, &error);
                return;
            }
            () if newer || differs => {
                let actions = self.hear(heard);
                self.carry_out(actions);
            }
            () => {}
        }
        // The lease covers a view that is no older than the peer's.
        let current = if is_history { !newer } else { !differs };
        if theirs.ready && current {
            self.renew(asked);
        }
    }

    fn take_extension(&mut self, peer: SocketAddr, asked: Moment, extension: Extension) {
        let now = self.board.clock.now();
        match (&mut self.source, extension) {
            (Source::Registry { snapshot, .. }, Extension::Parts(parts)) => {
                let revision = parts.revision;
                snapshot.merge(*parts, now);
                self.renew(asked);
                self.publish();
                self.raise(revision);
            }
            (Source::Registry { .. }, _) => self.report_fork(peer, &HistoryError::OtherFormat),
            (Source::Notes { history, .. }, extension) => match history.apply(extension) {
                Ok(()) => {
                    self.renew(asked);
                    self.publish();
                }
                Err(HistoryError::Older) => {}
                Err(error) => self.report_fork(peer, &error),
            },
        }
    }

    fn report_fork(&mut self, peer: SocketAddr, error: &HistoryError) {
        self.forks += 1;
        log::error!(peer:% = peer, error:% = error; "notes_forked");
    }
}

async fn compare(channel: Channel, own: View) -> Option<View> {
    let reply = PeerClient::new(channel).compare(own).await.ok()?;
    Some(reply.into_inner())
}

async fn pull(channel: Channel, after: Revision, digests: Digests) -> Option<Extension> {
    // Views are text with much repetition, and bytes between availability zones have a price.
    let mut client = PeerClient::new(channel)
        .max_decoding_message_size(MOST_VIEW_BYTES)
        .accept_compressed(CompressionEncoding::Gzip);
    let reply = client
        .pull(PullRequest {
            revision: after.0,
            listing: digests.listing.0.to_vec().into(),
            orders: digests.orders.0.to_vec().into(),
        })
        .await
        .ok()?
        .into_inner();
    serde_json::from_slice(&reply.view).ok()
}

fn digest(view: &View) -> Digest {
    Digest(view.digest.as_ref().try_into().unwrap_or_default())
}
