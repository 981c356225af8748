//! A gate in another process, over gRPC.
//!
//! tonic sends each request once: it makes a broken connection anew but never sends a request again.
//! A request that found no connection fails with [`tonic::ConnectError`], which proves that it
//! wasn't sent. Every other failure leaves open whether it arrived.

use std::{error::Error, io, iter, net::SocketAddr, sync::Mutex, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use tonic::{
    ConnectError, Status,
    transport::{Channel, Endpoint},
};
use types::{AttemptId, Boot};
use wire::peer::{AskRequest, OpenRequest, peer_client::PeerClient};

use super::{Attempt, Fault, GateClient, convert};
use crate::gate_actor::{OpenedSession, Reply};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to open a session.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Silence after which a connection with open requests is tested.
const PING_AFTER: Duration = Duration::from_millis(1_000);
/// Time that the test may take before the connection counts as broken.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest message: the largest body that callers may send, and room for headers.
const MOST_MESSAGE_BYTES: usize = 68 << 20;

/// How to connect to the node at `address`.
pub(crate) fn connect(address: SocketAddr) -> Endpoint {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("an address makes a URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_AFTER)
        .keep_alive_timeout(PING_TIMEOUT)
}

/// A gate in another process.
pub(crate) struct RemoteGate {
    address: SocketAddr,
    channel: Mutex<Channel>,
}

impl RemoteGate {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            channel: Mutex::new(connect(address).connect_lazy()),
        }
    }

    fn client(&self) -> PeerClient<Channel> {
        client(self.channel.lock().expect("no holder panics").clone())
    }

    async fn open_session(&self, ingress: Boot) -> Result<OpenedSession, Fault> {
        let request = OpenRequest { ingress: ingress.0 };
        let mut client = self.client();
        let opening = client.open(request);
        match tokio::time::timeout(OPEN_TIMEOUT, opening).await {
            Ok(Ok(reply)) => Ok(convert::opened(reply.into_inner())),
            Ok(Err(status)) => Err(unsent(fault_of(&status))),
            Err(_) => Err(Fault::Unreached),
        }
    }

    async fn run_attempt(&self, attempt: Attempt) -> Result<Reply, Fault> {
        let request = convert::to_run_request(attempt);
        let outcome = self
            .client()
            .run(request)
            .await
            .map_err(|status| fault_of(&status))?;
        Ok(convert::reply(outcome.into_inner()))
    }

    /// A fresh connection takes the place of the one before, which may have gone silent.
    async fn ask_afresh(&self, id: AttemptId) -> Result<Reply, Fault> {
        let fresh = connect(self.address)
            .connect()
            .await
            .map_err(|e| fault_of(&e))?;
        *self.channel.lock().expect("no holder panics") = fresh;
        self.ask_about(id, false).await
    }

    async fn ask_about(&self, id: AttemptId, cancel: bool) -> Result<Reply, Fault> {
        let request = AskRequest {
            attempt: Some(id.into()),
            cancel,
        };
        let outcome = self
            .client()
            .ask(request)
            .await
            .map_err(|status| fault_of(&status))?;
        Ok(convert::reply(outcome.into_inner()))
    }
}

impl GateClient for RemoteGate {
    fn open(&self, ingress: Boot) -> BoxFuture<'_, Result<OpenedSession, Fault>> {
        self.open_session(ingress).boxed()
    }

    fn run(&self, attempt: Attempt) -> BoxFuture<'_, Result<Reply, Fault>> {
        self.run_attempt(attempt).boxed()
    }

    fn ask(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, Fault>> {
        self.ask_afresh(id).boxed()
    }

    fn cancel(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, Fault>> {
        self.ask_about(id, true).boxed()
    }
}

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel)
        .max_decoding_message_size(MOST_MESSAGE_BYTES)
        .max_encoding_message_size(MOST_MESSAGE_BYTES)
}

/// A session that failed to open leaves nothing behind that could run.
fn unsent(fault: Fault) -> Fault {
    match fault {
        Fault::Broken => Fault::Unreached,
        other => other,
    }
}

/// Reads from the chain of causes whether anything was sent.
pub(crate) fn fault_of(error: &(dyn Error + 'static)) -> Fault {
    let chain = || iter::successors(Some(error), |e: &&(dyn Error + 'static)| (*e).source());
    match chain().any(|e| e.is::<ConnectError>()) {
        true if chain().any(is_refused) => Fault::Refused,
        true => Fault::Unreached,
        false if error.is::<Status>() => Fault::Broken,
        // Without a status the connection itself was being made.
        false => Fault::Unreached,
    }
}

fn is_refused(error: &(dyn Error + 'static)) -> bool {
    let io = error.downcast_ref::<io::Error>();
    io.is_some_and(|io| io.kind() == io::ErrorKind::ConnectionRefused)
}
