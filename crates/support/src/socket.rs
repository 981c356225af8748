//! TCP socket options, so that a dead connection is always detected.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first TCP keepalive probe, and time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time that sent data may stay unacknowledged before the connection is closed. A lost packet is
/// retransmitted within a fraction of a second, so only a lasting loss of contact reaches this
/// timeout.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Disables Nagle's algorithm, and enables keepalive probes and the TCP user timeout.
///
/// # Errors
///
/// The error of the socket option that couldn't be set.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
