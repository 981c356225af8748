//! Keepalive probes on the connections to the platform, as the kernel has them.

use std::{
    fs,
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use platform::HttpClient;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
/// Time within which a dead connection must be found: a change is in force within it.
const BOUND: Duration = Duration::from_millis(2_000);
/// Mark of the keepalive timer in the kernel's list of connections.
const KEEPALIVE_TIMER: &str = "02";

async fn answer(listener: TcpListener) -> (TcpStream, SocketAddr) {
    let (mut stream, client) = listener.accept().await.expect("a connection");
    let mut request = [0; 1_024];
    let length = stream.read(&mut request).await.expect("a request");
    assert!(length > 0);
    stream.write_all(ANSWER).await.expect("an answer sent");
    (stream, client)
}

/// An address as the kernel's list of connections has it.
fn listed(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// Time until the next keepalive probe on a connection, if one is due.
fn next_probe(client: SocketAddrV4, server: SocketAddrV4) -> Option<Duration> {
    let connections = fs::read_to_string("/proc/self/net/tcp").expect("the list of connections");
    let ends = [listed(client), listed(server)];
    let mut lines = connections
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    let fields = lines.find(|fields| fields[1..3] == ends)?;
    let (timer, left) = fields[5].split_once(':')?;
    let hundredths = u64::from_str_radix(left, 16).expect("a hexadecimal number");
    (timer == KEEPALIVE_TIMER).then(|| Duration::from_millis(hundredths * 10))
}

#[tokio::test]
async fn an_idle_connection_is_probed_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = tokio::spawn(answer(listener));
    let client = HttpClient::new(&format!("http://{address}")).expect("a client");
    let value: serde_json::Value = client.read("/").await.expect("an answer");
    assert_eq!(value, serde_json::json!({}));
    let (_stream, client_address) = server.await.expect("a connection");
    let (SocketAddr::V4(own), SocketAddr::V4(address)) = (client_address, address) else {
        panic!("not IPv4: {client_address} {address}");
    };
    let due = async {
        loop {
            match next_probe(own, address) {
                Some(due) => return due,
                None => sleep(Duration::from_millis(10)).await,
            }
        }
    };
    let due = timeout(BOUND, due).await.expect("keepalive probes");
    assert!(due < BOUND, "the first probe is due in {due:?}");
}
