//! Options of TCP connections: none may stay silent for good unnoticed.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Silence after which a connection is tested, and time between two tests.
const TEST_PERIOD: Duration = Duration::from_millis(1_000);
/// Tests without an answer after which a connection counts as broken.
const MOST_TESTS: u32 = 2;
/// Time after which unacknowledged bytes break a connection: a lost packet is sent again within a
/// fraction of a second, so that only a lasting silence takes as long.
const SENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Sends small messages at once, and notices a peer that has gone silent.
pub(crate) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let tests = TcpKeepalive::new()
        .with_time(TEST_PERIOD)
        .with_interval(TEST_PERIOD)
        .with_retries(MOST_TESTS);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&tests)?;
    socket.set_tcp_user_timeout(Some(SENT_TIMEOUT))
}
