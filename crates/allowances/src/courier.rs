//! Brings questions about allowances to other nodes.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use futures::{FutureExt, future::BoxFuture};
use support::endpoint::endpoint;
use tonic::transport::Channel;
use wire::peer::{DrawReply, DrawRequest, peer_client::PeerClient};

/// A client of other nodes.
pub trait Courier: Send + Sync {
    /// Sends a question to a node. `None` if there is no answer.
    fn draw(&self, to: SocketAddr, request: DrawRequest) -> BoxFuture<'_, Option<DrawReply>>;

    /// Closes the connections to nodes that aren't among `members`.
    fn retain(&self, members: &HashSet<SocketAddr>);
}

/// A client with connections of its own, so that questions don't wait behind large bodies.
#[derive(Default)]
pub struct TonicCourier {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl TonicCourier {
    fn channels(&self) -> MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.channels
            .lock()
            .expect("no thread panics while holding this lock")
    }

    fn channel(&self, to: SocketAddr) -> Channel {
        let mut channels = self.channels();
        let channel = channels.entry(to);
        channel
            .or_insert_with(|| endpoint(to).connect_lazy())
            .clone()
    }
}

impl Courier for TonicCourier {
    fn draw(&self, to: SocketAddr, request: DrawRequest) -> BoxFuture<'_, Option<DrawReply>> {
        let mut client = PeerClient::new(self.channel(to));
        async move { Some(client.draw(request).await.ok()?.into_inner()) }.boxed()
    }

    fn retain(&self, members: &HashSet<SocketAddr>) {
        self.channels().retain(|node, _| members.contains(node));
    }
}
