//! Stand-in for what lies between two hosts: a TCP relay that can fail.

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

/// Largest piece that is passed on at once, in bytes.
const PIECE_BYTES: usize = 64 << 10;

/// What the link does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyFaults {
    /// Swallows what the connecting side sends.
    pub drop_inbound: bool,
    /// Swallows what the listening side sends.
    pub drop_outbound: bool,
    /// New connections are closed at once.
    pub close_new: bool,
    /// One-way delay.
    pub delay_ms: u64,
    /// Connections made before this number of the count stay silent for good.
    pub stalled_before: u64,
}

/// A relay.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    faults: Arc<watch::Sender<ProxyFaults>>,
    connection_count: Arc<watch::Sender<u64>>,
    relayed_bytes: Arc<AtomicU64>,
}

impl Default for FaultProxy {
    fn default() -> Self {
        Self {
            faults: Arc::new(watch::Sender::default()),
            connection_count: Arc::default(),
            relayed_bytes: Arc::default(),
        }
    }
}

impl FaultProxy {
    /// Changes what the link does.
    pub fn configure(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.faults.send_modify(change);
    }

    /// Lets all connections of now go silent for good, while new ones work.
    pub fn stall_open(&self) {
        let count = *self.connection_count.borrow();
        self.configure(|faults| faults.stalled_before = count);
    }

    /// Number of connections made so far.
    pub fn connection_count(&self) -> u64 {
        *self.connection_count.borrow()
    }

    /// Bytes passed on so far, in both directions.
    pub fn relayed_bytes(&self) -> u64 {
        self.relayed_bytes.load(Ordering::Relaxed)
    }

    /// Relays connections from `listen` to `to` until the task is dropped.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn serve(self, listen: SocketAddr, to: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        loop {
            let (near, _) = listener.accept().await?;
            if self.faults.borrow().close_new {
                continue;
            }
            let number = *self.connection_count.borrow();
            self.connection_count.send_modify(|count| *count += 1);
            tokio::spawn(self.clone().relay(near, to, number));
        }
    }

    async fn relay(self, near: TcpStream, to: SocketAddr, number: u64) {
        let Ok(far) = TcpStream::connect(to).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = self.pass(near_read, far_write, number, |faults| faults.drop_inbound);
        let back = self.pass(far_read, near_write, number, |faults| faults.drop_outbound);
        // A connection that is closed on one side closes on the other.
        tokio::select! {
            () = there => {}
            () = back => {}
        }
    }

    async fn pass(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        number: u64,
        swallows: impl Fn(&ProxyFaults) -> bool,
    ) {
        let mut piece = vec![0; PIECE_BYTES];
        loop {
            let length = match from.read(&mut piece).await {
                Ok(0) | Err(_) if number < self.faults.borrow().stalled_before => {
                    std::future::pending().await
                }
                Ok(0) | Err(_) => return,
                Ok(length) => length,
            };
            let faults = *self.faults.borrow();
            if swallows(&faults) || number < faults.stalled_before {
                continue;
            }
            if faults.delay_ms > 0 {
                sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            if to.write_all(&piece[..length]).await.is_err() {
                return;
            }
            self.relayed_bytes
                .fetch_add(length as u64, Ordering::Relaxed);
        }
    }
}
