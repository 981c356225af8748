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
pub struct Weather {
    /// Swallows what the connecting side sends.
    pub deaf: bool,
    /// Swallows what the listening side sends.
    pub mute: bool,
    /// New connections are closed at once.
    pub closed: bool,
    /// One-way delay.
    pub delay_ms: u64,
    /// Connections made before this number of the count stay silent for good.
    pub silent_before: u64,
}

/// A relay.
#[derive(Debug, Clone)]
pub struct Link {
    weather: Arc<watch::Sender<Weather>>,
    made: Arc<watch::Sender<u64>>,
    passed: Arc<AtomicU64>,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            weather: Arc::new(watch::Sender::default()),
            made: Arc::default(),
            passed: Arc::default(),
        }
    }
}

impl Link {
    /// Changes what the link does.
    pub fn change(&self, change: impl FnOnce(&mut Weather)) {
        self.weather.send_modify(change);
    }

    /// Lets all connections of now go silent for good, while new ones work.
    pub fn silence_open(&self) {
        let made = *self.made.borrow();
        self.change(|weather| weather.silent_before = made);
    }

    /// Number of connections made so far.
    pub fn made(&self) -> u64 {
        *self.made.borrow()
    }

    /// Bytes passed on so far, in both directions.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
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
            if self.weather.borrow().closed {
                continue;
            }
            let number = *self.made.borrow();
            self.made.send_modify(|made| *made += 1);
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
        let there = self.pass(near_read, far_write, number, |weather| weather.deaf);
        let back = self.pass(far_read, near_write, number, |weather| weather.mute);
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
        swallows: impl Fn(&Weather) -> bool,
    ) {
        let mut piece = vec![0; PIECE_BYTES];
        loop {
            let length = match from.read(&mut piece).await {
                Ok(0) | Err(_) if number < self.weather.borrow().silent_before => {
                    std::future::pending().await
                }
                Ok(0) | Err(_) => return,
                Ok(length) => length,
            };
            let weather = *self.weather.borrow();
            if swallows(&weather) || number < weather.silent_before {
                continue;
            }
            if weather.delay_ms > 0 {
                sleep(Duration::from_millis(weather.delay_ms)).await;
            }
            if to.write_all(&piece[..length]).await.is_err() {
                return;
            }
            self.passed.fetch_add(length as u64, Ordering::Relaxed);
        }
    }
}
