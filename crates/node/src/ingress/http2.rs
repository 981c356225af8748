//! One caller's HTTP/2 connection, with prior knowledge.

use std::{convert::Infallible, sync::Arc};

use axum::http::{HeaderValue, Request, Response, request::Parts};
use bytes::Bytes;
use dialect::Rejection;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::{Body, Incoming},
    server::conn::http2,
    service::service_fn,
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use smol_str::SmolStr;
use tokio::{net::TcpStream, sync::watch, time::timeout_at};

use super::{
    Ingress,
    accept::{self, Head},
    room::Held,
};

/// Serves a connection until either side closes it.
pub(super) async fn serve(
    ingress: Arc<Ingress>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) -> hyper::Result<()> {
    let service = service_fn(move |request| handle(Arc::clone(&ingress), request));
    let connection =
        http2::Builder::new(TokioExecutor::new()).serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        served = connection.as_mut() => return served,
        _ = closing.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}

async fn handle(
    ingress: Arc<Ingress>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let began = ingress.board.clock.now();
    let (parts, body) = request.into_parts();
    let head = head(parts);
    let call = accept::call_id(ingress.dialect.as_ref(), &head.headers);
    let mut accepted = accept::accept(&ingress, &call, &head, began);
    let mut held = Held::default();
    let size = body.size_hint().lower();
    if let Err(rejection) = ingress.room.take(size, &mut held) {
        accepted = Err(rejection);
    }
    if let Ok(ready) = &mut accepted {
        let reading = Limited::new(body, ready.limits.body.0 as usize).collect();
        let deadline = ingress.board.clock.instant(ready.deadline);
        match timeout_at(deadline, reading).await {
            Ok(Ok(whole)) => ready.set_body(whole.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                accepted = Err(Rejection::BodyTooLarge);
            }
            Ok(Err(_)) | Err(_) => accepted = Err(Rejection::Incomplete),
        }
    }
    let response = ingress.carry(&call, accepted, began).await;
    Ok(response.map(Full::new))
}

fn head(parts: Parts) -> Head {
    let Parts {
        method,
        uri,
        mut headers,
        ..
    } = parts;
    let host = uri.authority().map(|a| HeaderValue::from_str(a.as_str()));
    if let (Some(Ok(host)), false) = (host, headers.contains_key("host")) {
        headers.insert("host", host);
    }
    Head {
        method: SmolStr::new(method.as_str()),
        target: SmolStr::new(uri.path_and_query().map_or("/", |p| p.as_str())),
        headers,
    }
}
