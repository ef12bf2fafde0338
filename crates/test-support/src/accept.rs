//! Accepting connections on a thread until a guard is dropped.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// Stops accepting connections when dropped.
pub(crate) struct AcceptGuard {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Drop for AcceptGuard {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // The accepting thread sees the flag only when a connection wakes it.
        let _ = TcpStream::connect(self.address);
    }
}

/// Accepts connections until the guard is dropped and serves each on a thread of its own.
pub(crate) fn accept_connections(
    address: SocketAddr,
    serve_connection: impl Fn(TcpStream) + Send + Sync + 'static,
) -> AcceptGuard {
    let listener = TcpListener::bind(address).unwrap();
    let stopped = Arc::new(AtomicBool::new(false));
    let guard = AcceptGuard { address, stopped: stopped.clone() };
    let serve_connection = Arc::new(serve_connection);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            let serve_connection = serve_connection.clone();
            thread::spawn(move || serve_connection(stream));
        }
    });
    guard
}
