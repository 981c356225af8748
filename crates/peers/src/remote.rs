//! gRPC client of a gate in another process.
//!
//! tonic sends each request at most once: it re-establishes a lost connection but never retries a
//! request. A request for which no connection could be established fails with
//! [`tonic::ConnectError`], which proves that it wasn't sent. After any other failure the request
//! may have arrived.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use attempt::{OpenedSession, Reply, ServerRequest};
use bytes::Bytes;
use call::RepeatTimer;
use futures::{
    FutureExt,
    future::{BoxFuture, Either, select, select_ok},
};
use gate::Query;
use support::endpoint::endpoint;
use tokio::time::sleep;
use tonic::{Code, Status, transport::Channel};
use types::{AttemptId, Boot};
use wire::peer::{AskRequest, OfferReply, OfferRequest, OpenRequest, peer_client::PeerClient};

use super::{
    Attempt, GateClient, Handover, TransportError,
    bodies::{self, BodyLink, Uplink},
    convert,
    fault::{as_not_sent, classify_error},
};

/// Timeout for opening a session.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest message: the largest body that callers may send, plus headers.
const MAX_MESSAGE_BYTES: usize = 68 << 20;

/// Client of a gate in another process.
pub(crate) struct RemoteGate {
    address: SocketAddr,
    uplink: Arc<Uplink>,
    channel: Mutex<Channel>,
    /// Connection for large bodies, so that no other message waits behind them, with the window of the bodies on
    /// it. Made for the first one.
    body_channel: Mutex<Option<(Channel, Arc<BodyLink>)>>,
    repeat_timer: Mutex<RepeatTimer>,
}

impl RemoteGate {
    pub(crate) fn new(address: SocketAddr, uplink: Arc<Uplink>) -> Self {
        Self {
            address,
            uplink,
            channel: Mutex::new(endpoint(address).connect_lazy()),
            body_channel: Mutex::default(),
            repeat_timer: Mutex::default(),
        }
    }

    fn body_channel(&self) -> MutexGuard<'_, Option<(Channel, Arc<BodyLink>)>> {
        self.body_channel
            .lock()
            .expect("no thread panics while holding this lock")
    }

    fn client(&self) -> PeerClient<Channel> {
        client(
            self.channel
                .lock()
                .expect("no thread panics while holding this lock")
                .clone(),
        )
    }

    async fn open_session(&self, ingress: Boot) -> Result<OpenedSession, TransportError> {
        let request = OpenRequest { ingress: ingress.0 };
        let mut client = self.client();
        let reply = client.open(request);
        match tokio::time::timeout(OPEN_TIMEOUT, reply).await {
            Ok(Ok(reply)) => Ok(convert::from_open_reply(reply.into_inner())),
            Ok(Err(status)) => Err(as_not_sent(classify_error(&status))),
            Err(_) => Err(TransportError::Unreachable),
        }
    }

    /// Sends an attempt without its body, and the body once the gate has admitted the attempt.
    async fn run_in_two_steps(
        &self,
        attempt: Attempt,
        handover: &Handover,
    ) -> Result<Reply, TransportError> {
        let id = attempt.registered.id;
        let body = attempt.request.body.clone();
        let bare = Attempt {
            request: ServerRequest {
                body: Bytes::new(),
                ..attempt.request.clone()
            },
            ..attempt.clone()
        };
        let offer = OfferRequest {
            run: Some(convert::to_run_request(bare)),
            body_bytes: body.len() as u64,
        };
        match self.offer(offer).await {
            Ok(reply) => match reply.outcome {
                Some(outcome) => Ok(bodies::without_body(convert::from_outcome(outcome))),
                None => {
                    let (client, link) = self.body_client();
                    bodies::deliver(client, link, id, body, handover).await
                }
            },
            // A node of an earlier version, whose gate hasn't got the attempt.
            Err(status) if status.code() == Code::Unimplemented => {
                handover.complete();
                self.run_attempt(attempt).await
            }
            Err(status) => Err(match classify_error(&status) {
                TransportError::ConnectionLost => TransportError::BodyCut,
                other => other,
            }),
        }
    }

    fn repeat_timer(&self) -> MutexGuard<'_, RepeatTimer> {
        self.repeat_timer
            .lock()
            .expect("no thread panics while holding this lock")
    }

    /// Sends an offer, and once more over the connection for bodies if no reply comes in the usual time. The gate
    /// starts nothing by it. If it has refused the first one, its second reply says only that it didn't run.
    async fn offer(&self, offer: OfferRequest) -> Result<OfferReply, Status> {
        let send = |mut client: PeerClient<Channel>| {
            let offer = offer.clone();
            async move { client.offer(offer).await.map(|reply| reply.into_inner()) }.boxed()
        };
        let began = self.uplink.now();
        let delay = self.repeat_timer().delay();
        let reply = match select(send(self.client()), sleep(delay.duration()).boxed()).await {
            Either::Left((reply, _)) => reply,
            Either::Right(((), first)) => {
                let second = send(self.body_client().0);
                select_ok([first, second]).await.map(|(reply, _)| reply)
            }
        };
        if reply.is_ok() {
            self.repeat_timer().record(self.uplink.now().since(began));
        }
        reply
    }

    fn body_client(&self) -> (PeerClient<Channel>, Arc<BodyLink>) {
        let mut channel = self.body_channel();
        let create = || {
            let link = Arc::new(BodyLink::new(Arc::clone(&self.uplink)));
            (endpoint(self.address).connect_lazy(), link)
        };
        let (channel, link) = channel.get_or_insert_with(create);
        (client(channel.clone()), Arc::clone(link))
    }

    async fn run_attempt(&self, attempt: Attempt) -> Result<Reply, TransportError> {
        let request = convert::to_run_request(attempt);
        let outcome = self
            .client()
            .run(request)
            .await
            .map_err(|status| classify_error(&status))?;
        Ok(convert::from_outcome(outcome.into_inner()))
    }

    /// Queries the outcome of an attempt over a new connection, which replaces the previous ones,
    /// as they may be dead without having returned an error.
    async fn query_on_new_connection(&self, id: AttemptId) -> Result<Reply, TransportError> {
        let channel = endpoint(self.address)
            .connect()
            .await
            .map_err(|e| classify_error(&e))?;
        *self
            .channel
            .lock()
            .expect("no thread panics while holding this lock") = channel;
        *self.body_channel() = None;
        self.query_attempt(id, Query::Outcome).await
    }

    async fn query_attempt(&self, id: AttemptId, query: Query) -> Result<Reply, TransportError> {
        let request = AskRequest {
            attempt: Some(id.into()),
            cancel: query == Query::Cancel,
            withdraw: query == Query::Withdraw,
        };
        let outcome = self
            .client()
            .ask(request)
            .await
            .map_err(|status| classify_error(&status))?;
        Ok(convert::from_outcome(outcome.into_inner()))
    }
}

impl GateClient for RemoteGate {
    fn open(&self, ingress: Boot) -> BoxFuture<'_, Result<OpenedSession, TransportError>> {
        self.open_session(ingress).boxed()
    }

    fn run(&self, attempt: Attempt) -> BoxFuture<'_, Result<Reply, TransportError>> {
        async move {
            match attempt.handover.clone() {
                Some(handover) => self.run_in_two_steps(attempt, &handover).await,
                None => self.run_attempt(attempt).await,
            }
        }
        .boxed()
    }

    fn query(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.query_on_new_connection(id).boxed()
    }

    fn cancel(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.query_attempt(id, Query::Cancel).boxed()
    }

    fn withdraw(&self, id: AttemptId) -> BoxFuture<'_, Result<Reply, TransportError>> {
        self.query_attempt(id, Query::Withdraw).boxed()
    }
}

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}
