//! Connections to other nodes.

use std::{net::SocketAddr, time::Duration};

use tonic::transport::Endpoint;

/// Timeout for establishing a connection. It is shorter than the users' shortest objective, so that
/// a request whose first node is down can still be answered in time by another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without traffic after which an HTTP/2 ping is sent on a connection with open requests.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without a reply to the ping after which the connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the configured endpoint of the node at `address`.
pub fn endpoint(address: SocketAddr) -> Endpoint {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address yields a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
}
