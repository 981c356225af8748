//! A TCP proxy that injects faults into the connections between two hosts, and limits their rate.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::link::Link;

/// Size of the buffer of each direction, and largest part of a connection's bytes that are on the link at a time.
const BUFFER_BYTES: usize = 64 << 10;

/// Faults that the proxy injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyFaults {
    /// Drops the bytes that the client side sends.
    pub drop_inbound: bool,
    /// Drops the bytes that the server side sends.
    pub drop_outbound: bool,
    /// Closes new connections as soon as they are accepted.
    pub close_new: bool,
    /// Delay between reading bytes and writing them on, in each direction.
    pub delay_ms: u64,
    /// Connections whose number is lower are stalled for good: they stay open and carry nothing.
    pub stalled_before: u64,
}

/// The proxy. Clones share their faults and counters.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    faults: Arc<watch::Sender<ProxyFaults>>,
    connection_count: Arc<watch::Sender<u64>>,
    relayed_bytes: Arc<AtomicU64>,
    /// The link to the server side, and the one from there.
    links: [Arc<Link>; 2],
}

impl Default for FaultProxy {
    fn default() -> Self {
        Self::with_rate(0)
    }
}

impl FaultProxy {
    /// A proxy whose connections share a link of `rate` bytes a second in each direction, 0 for no limit.
    pub fn with_rate(rate: u64) -> Self {
        Self {
            faults: Arc::new(watch::Sender::default()),
            connection_count: Arc::default(),
            relayed_bytes: Arc::default(),
            links: [(); 2].map(|()| Arc::new(Link::new(rate))),
        }
    }

    /// Another proxy over the same link.
    pub fn beside(&self) -> Self {
        Self {
            links: self.links.clone(),
            ..Self::default()
        }
    }

    /// Changes the faults. All but `close_new` also apply to open connections.
    pub fn configure(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.faults.send_modify(change);
    }

    /// Stalls all connections that are open now; new connections work.
    pub fn stall_open(&self) {
        let count = *self.connection_count.borrow();
        self.configure(|faults| faults.stalled_before = count);
    }

    /// Number of connections accepted so far; those closed at once by `close_new` don't count.
    pub fn connection_count(&self) -> u64 {
        *self.connection_count.borrow()
    }

    /// Number of bytes relayed so far, in both directions.
    pub fn relayed_bytes(&self) -> u64 {
        self.relayed_bytes.load(Ordering::Relaxed)
    }

    /// Accepts connections on `listen` and relays them to `target` until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen` can't be bound or a connection can't be accepted.
    pub async fn serve(self, listen: SocketAddr, target: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        loop {
            let (client, _) = listener.accept().await?;
            if self.faults.borrow().close_new {
                continue;
            }
            let number = *self.connection_count.borrow();
            self.connection_count.send_modify(|count| *count += 1);
            tokio::spawn(self.clone().relay(client, target, number));
        }
    }

    async fn relay(self, client: TcpStream, target: SocketAddr, number: u64) {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let [inbound_link, outbound_link] = &self.links;
        let inbound = self.copy(client_read, server_write, inbound_link, number, |faults| {
            faults.drop_inbound
        });
        let outbound = self.copy(server_read, client_write, outbound_link, number, |faults| {
            faults.drop_outbound
        });
        // The end of one direction closes both sides.
        tokio::select! {
            () = inbound => {}
            () = outbound => {}
        }
    }

    async fn copy(
        &self,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
        link: &Link,
        number: u64,
        drops: impl Fn(&ProxyFaults) -> bool,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            // A stalled connection isn't closed even when its peer closes.
            let length = match reader.read(&mut buffer).await {
                Ok(0) | Err(_) if number < self.faults.borrow().stalled_before => {
                    std::future::pending().await
                }
                Ok(0) | Err(_) => return,
                Ok(length) => length,
            };
            let faults = *self.faults.borrow();
            if drops(&faults) || number < faults.stalled_before {
                continue;
            }
            if faults.delay_ms > 0 {
                sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            link.pass(length).await;
            if writer.write_all(&buffer[..length]).await.is_err() {
                return;
            }
            self.relayed_bytes
                .fetch_add(length as u64, Ordering::Relaxed);
        }
    }
}
