//! Gossip between sidecars, as datagrams.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Longest message, in bytes.
const MESSAGE_MAX: usize = 256;

/// This sidecar's socket for gossip, and where its peers listen.
#[derive(Debug)]
pub struct PeerGossip {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    /// The number of each peer, by the address that its messages come from.
    numbers: HashMap<SocketAddr, u32>,
    broadcast: Option<SocketAddr>,
}

impl PeerGossip {
    /// Listens for messages; `broadcast` is an address that reaches all peers.
    ///
    /// # Errors
    /// The system's, where the address can't be bound.
    pub async fn bind(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let mut numbers = HashMap::new();
        for (number, peer) in (0..).zip(&peers) {
            // Of peers with one address the first one counts.
            numbers.entry(*peer).or_insert(number);
        }
        Ok(PeerGossip { socket, peers, numbers, broadcast })
    }

    /// Sends a message to one peer, or to all. Messages may be lost, so one that
    /// cannot be sent at once is dropped.
    pub fn send(&self, peer: Option<u32>, payload: &[u8]) {
        let address = match peer {
            Some(number) => self.peers.get(number as usize).copied(),
            None => self.broadcast,
        };
        if let Some(address) = address.filter(|_| payload.len() <= MESSAGE_MAX) {
            drop(self.socket.try_send_to(payload, address));
        }
    }

    /// Passes the messages of peers to `receive`, with the peers' numbers; never ends.
    /// Anything else is ignored.
    pub async fn listen(&self, mut receive: impl FnMut(u32, Vec<u8>)) {
        let mut buffer = [0; MESSAGE_MAX + 1];
        loop {
            // An error here tells of an earlier datagram that was not delivered.
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            let sender = self.numbers.get(&from).copied();
            if let Some(number) = sender.filter(|_| len <= MESSAGE_MAX) {
                receive(number, buffer[..len].to_vec());
            }
        }
    }
}
