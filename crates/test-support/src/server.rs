//! Servers that a test scripts: by the byte, by the request, or with a full accept queue.

use crate::accept::{accept_connections, AcceptGuard};
use crate::addresses::free_address;
use crate::endpoint_list::entry;
use crate::message::Message;
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A listener whose accept queue is full, and the connections that fill it.
///
/// The kernel drops the first packet of a further connection, which is sent again a second later.
///
/// # Panics
/// The socket cannot be set up, or its queue takes 100 connections.
#[must_use]
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
    let address = free_address();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(0).unwrap();
    let mut connections = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        connections.push(stream);
        assert!(connections.len() < 100, "the accept queue never fills");
    }
    (socket.into(), connections)
}

/// A listener whose connections a test handles byte by byte.
pub struct Peer {
    /// The address of the listener.
    pub address: SocketAddr,
    _accepting: AcceptGuard,
}

impl Peer {
    /// Starts it; each connection goes to `serve_connection` on a thread of its own.
    pub fn start(serve_connection: impl Fn(TcpStream) + Send + Sync + 'static) -> Self {
        let address = free_address();
        Peer { address, _accepting: accept_connections(address, serve_connection) }
    }
}

/// An HTTP server that records requests and responds as a test says.
pub struct Server {
    /// The address of the server.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Message>>>,
    connections: Arc<Mutex<usize>>,
    _accepting: AcceptGuard,
}

impl Server {
    /// Starts it. `respond` gets a request and its number, from 1, and gives the bytes of the
    /// response; with `None` the request gets no response.
    ///
    /// # Panics
    /// The address cannot be bound.
    pub fn start(
        respond: impl Fn(&Message, usize) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> Self {
        let address = free_address();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(Mutex::new(0));
        let recorded = requests.clone();
        let accepted = connections.clone();
        let accepting = accept_connections(address, move |mut stream| {
            *accepted.lock().unwrap() += 1;
            while let Some(request) = Message::read(&mut stream) {
                let number = record(&recorded, &request);
                let bytes = respond(&request, number);
                if bytes.is_some_and(|bytes| stream.write_all(&bytes).is_err()) {
                    return;
                }
            }
        });
        Server { address, requests, connections, _accepting: accepting }
    }

    /// Number of connections accepted so far.
    ///
    /// # Panics
    /// A thread of the server panicked.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        *self.connections.lock().unwrap()
    }

    /// The requests that have come, in order.
    ///
    /// # Panics
    /// A thread of the server panicked.
    #[must_use]
    pub fn requests(&self) -> Vec<Message> {
        self.requests.lock().unwrap().clone()
    }

    /// The entry of this server in an endpoint list.
    #[must_use]
    pub fn entry(&self, uid: &str) -> Value {
        entry(uid, self.address)
    }
}

/// Records a request and returns its number, from 1.
fn record(requests: &Mutex<Vec<Message>>, request: &Message) -> usize {
    let mut requests = requests.lock().unwrap();
    requests.push(request.clone());
    requests.len()
}
