//! A WebSocket server that echoes messages.

use mintshelf_test_support::Peer;
use std::io::{Error, ErrorKind};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tungstenite::{HandshakeError, Message as WsMessage, WebSocket};

/// Time after which a read looks again whether the server is frozen or dead.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A server that sends messages back with its name; it can be frozen, or made to close connections.
pub struct EchoServer {
    pub peer: Peer,
    /// Sockets opened so far.
    pub opened: Arc<AtomicUsize>,
    /// Sockets open now.
    pub open: Arc<AtomicUsize>,
    /// Neither reads nor writes while this is set.
    pub frozen: Arc<AtomicBool>,
    /// Closes all connections while this is set.
    pub dead: Arc<AtomicBool>,
}

impl EchoServer {
    pub fn start(name: &'static str) -> Self {
        let connections = EchoConnections { name, ..EchoConnections::default() };
        let EchoConnections { opened, open, frozen, dead, .. } = connections.clone();
        let peer = Peer::start(move |stream| connections.serve(stream));
        EchoServer { peer, opened, open, frozen, dead }
    }
}

/// What the server's connections share.
#[derive(Clone, Default)]
struct EchoConnections {
    name: &'static str,
    opened: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    frozen: Arc<AtomicBool>,
    dead: Arc<AtomicBool>,
}

impl EchoConnections {
    fn serve(&self, stream: TcpStream) {
        if self.dead.load(Ordering::SeqCst) {
            return;
        }
        stream.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
        let Some(mut socket) = accept(stream) else { return };
        self.opened.fetch_add(1, Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        while !self.dead.load(Ordering::SeqCst) {
            if self.frozen.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            } else if !self.echo_one(&mut socket) {
                break;
            }
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Reads a message and sends it back; false if the connection has ended. The text `flood` is
    /// answered by messages without end.
    fn echo_one(&self, socket: &mut WebSocket<TcpStream>) -> bool {
        match socket.read() {
            Ok(WsMessage::Text(text)) if text.as_str() == "flood" => {
                while socket.send(WsMessage::binary(vec![7; 16 << 10])).is_ok() {}
                false
            }
            Ok(WsMessage::Text(text)) => {
                let response = format!("{}: {text}", self.name);
                socket.send(WsMessage::text(response)).is_ok()
            }
            Ok(message @ WsMessage::Binary(_)) => socket.send(message).is_ok(),
            Ok(_) => true,
            Err(tungstenite::Error::Io(error)) => is_timeout(&error),
            Err(_) => false,
        }
    }
}

/// Accepts a handshake, with the first subprotocol that is offered.
fn accept(stream: TcpStream) -> Option<WebSocket<TcpStream>> {
    let mut accepted = tungstenite::accept_hdr(stream, choose_subprotocol);
    loop {
        match accepted {
            Ok(socket) => return Some(socket),
            Err(HandshakeError::Interrupted(handshake)) => accepted = handshake.handshake(),
            Err(_) => return None,
        }
    }
}

fn choose_subprotocol(
    request: &Request,
    mut response: Response,
) -> Result<Response, ErrorResponse> {
    if let Some(offered) = request.headers().get("sec-websocket-protocol") {
        let first = offered.to_str().unwrap().split(',').next().unwrap().trim();
        let chosen = first.parse().unwrap();
        response.headers_mut().insert("sec-websocket-protocol", chosen);
    }
    Ok(response)
}

fn is_timeout(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
