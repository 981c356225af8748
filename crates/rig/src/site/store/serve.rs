//! Connections of the store, each with the trouble of its node.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::watch,
    task::JoinSet,
    time::{interval, sleep},
};

use super::{EXPIRY_INTERVAL, Store, Trouble};
use crate::site::http1::{bind, read_message, response};

impl Store {
    /// Serves each node at its address, in the order of the nodes, until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn serve(self, addresses: Vec<SocketAddr>) -> io::Result<()> {
        let mut tasks = JoinSet::new();
        for (node, address) in addresses.into_iter().enumerate() {
            tasks.spawn(self.clone().serve_node(node, address));
        }
        let mut expiry = interval(EXPIRY_INTERVAL);
        loop {
            tokio::select! {
                _ = expiry.tick() => self.expire(),
                Some(ended) = tasks.join_next() => return ended?,
            }
        }
    }

    async fn serve_node(self, node: usize, address: SocketAddr) -> io::Result<()> {
        let mut trouble = self.troubles[node].subscribe();
        loop {
            wait_for(&mut trouble, |t| t != Trouble::Refused).await;
            let listener = bind(address).await?;
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    () = wait_for(&mut trouble, |t| t == Trouble::Refused) => break,
                    accepted = listener.accept() => {
                        let (stream, _) = accepted?;
                        connections.spawn(self.clone().serve_connection(node, stream));
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
            // Ended by the same trouble, with a reset.
            while connections.join_next().await.is_some() {}
        }
    }

    async fn serve_connection(self, node: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut trouble = self.troubles[node].subscribe();
        let mut reader = BufReader::new(stream);
        let ended = tokio::select! {
            () = wait_for(&mut trouble, |t| t == Trouble::Refused) => None,
            ended = self.serve_requests(node, &mut reader) => Some(ended),
        };
        if ended.is_none() {
            let _ = reader.get_ref().set_zero_linger();
        }
    }

    async fn serve_requests(
        &self,
        node: usize,
        reader: &mut BufReader<TcpStream>,
    ) -> io::Result<()> {
        while let Some(request) = read_message(reader).await? {
            let trouble = *self.troubles[node].borrow();
            let answer = match trouble {
                Trouble::None => self.answer(&request).await,
                Trouble::Slow(delay) => {
                    sleep(delay).await;
                    self.answer(&request).await
                }
                Trouble::Status(status) => response(&format!("{status} Refused"), "", b"{}"),
                Trouble::Lost | Trouble::Refused => return Ok(()),
                Trouble::Silent => {
                    // A connection on which an answer is lost returns nothing further.
                    let mut rest = [0; 256];
                    while reader.read(&mut rest).await? > 0 {}
                    return Ok(());
                }
            };
            // A read that waited for changes may be cut by a trouble that began meanwhile.
            let trouble = *self.troubles[node].borrow();
            match trouble {
                Trouble::Lost => return Ok(()),
                _ => reader.get_mut().write_all(&answer).await?,
            }
        }
        Ok(())
    }
}

async fn wait_for(trouble: &mut watch::Receiver<Trouble>, condition: impl Fn(Trouble) -> bool) {
    // The sender lives as long as the store that serves.
    let _ = trouble.wait_for(|trouble| condition(*trouble)).await;
}
