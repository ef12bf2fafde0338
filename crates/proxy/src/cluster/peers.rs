//! Gossip between sidecars, in UDP datagrams.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Maximum length of a message, in bytes.
const MESSAGE_MAX: usize = 256;

/// This sidecar's socket for gossip, and the addresses of its peers.
#[derive(Debug)]
pub struct PeerGossip {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    /// The number of each peer (the peer's index in `peers`), by the source address of the peer's
    /// messages.
    numbers: HashMap<SocketAddr, u32>,
    /// The address that reaches all peers.
    broadcast: Option<SocketAddr>,
}

impl PeerGossip {
    /// Binds the socket for gossip; `broadcast` is an address that reaches all peers.
    ///
    /// # Errors
    /// The operating system's error, if the address can't be bound.
    pub async fn bind(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let mut numbers = HashMap::new();
        for (number, peer) in (0..).zip(&peers) {
            // Of several peers with the same address, the first one is used.
            numbers.entry(*peer).or_insert(number);
        }
        Ok(PeerGossip { socket, peers, numbers, broadcast })
    }

    /// Sends a message to one peer, or to all if `peer` is `None`. Delivery is best effort: a
    /// message that can't be sent at once or is too long is dropped.
    pub fn send(&self, peer: Option<u32>, payload: &[u8]) {
        let address = match peer {
            Some(number) => self.peers.get(number as usize).copied(),
            None => self.broadcast,
        };
        if let Some(address) = address.filter(|_| payload.len() <= MESSAGE_MAX) {
            drop(self.socket.try_send_to(payload, address));
        }
    }

    /// Passes messages from peers to `receive`, with the peers' numbers; never returns. Datagrams
    /// from unknown peers and messages that are too long are ignored.
    pub async fn listen(&self, mut receive: impl FnMut(u32, Vec<u8>)) {
        let mut buffer = [0; MESSAGE_MAX + 1];
        loop {
            // The error of a `recv_from` reports that an earlier datagram was not delivered.
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            let sender = self.numbers.get(&from).copied();
            if let Some(number) = sender.filter(|_| len <= MESSAGE_MAX) {
                receive(number, buffer[..len].to_vec());
            }
        }
    }
}
