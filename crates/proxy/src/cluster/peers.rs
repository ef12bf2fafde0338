//! Datagrams between sidecars.

use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Longest message.
const LONGEST: usize = 256;

/// This sidecar's way to the others.
#[derive(Debug)]
pub struct PeerGossip {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl PeerGossip {
    /// Listens for messages.
    pub async fn bind(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        Ok(PeerGossip { socket, peers, all })
    }

    /// Sends a message to one peer, or to all. Messages may be lost, so one that
    /// cannot go at once is.
    pub fn tell(&self, peer: Option<u32>, payload: &[u8]) {
        let to = match peer {
            Some(number) => self.peers.get(number as usize).copied(),
            None => self.all,
        };
        if let Some(to) = to.filter(|_| payload.len() <= LONGEST) {
            let _ = self.socket.try_send_to(payload, to);
        }
    }

    /// Passes on what peers send, with their numbers; anything else is ignored.
    pub async fn listen(&self, mut take: impl FnMut(u32, Vec<u8>)) {
        let mut buffer = [0; LONGEST + 1];
        loop {
            // An error here tells of an earlier datagram that was not delivered.
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            let sender = self.peers.iter().position(|peer| *peer == from);
            if let Some(number) = sender.filter(|_| len <= LONGEST) {
                take(number as u32, buffer[..len].to_vec());
            }
        }
    }
}
