//! Clients of the demo.

use super::counter::Counter;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Pause between a response and the next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Statistics of all clients together.
#[derive(Clone, Default)]
pub struct ClientStats {
    /// Number of responses with status 200.
    pub succeeded: Counter,
    /// Number of responses with any other status than 200.
    pub failed: Counter,
    /// Sum of the response times in milliseconds.
    pub total_ms: Counter,
}

/// Sends requests one after another, and reconnects when the connection is closed.
pub async fn run(sidecar: SocketAddr, stats: Rc<ClientStats>) {
    loop {
        let Ok(stream) = TcpStream::connect(sidecar).await else { return };
        let Ok((sender, connection)) = handshake(TokioIo::new(stream)).await else { return };
        spawn_local(connection);
        send_requests(sender, sidecar, &stats).await;
    }
}

/// Sends requests on one connection until it is closed.
async fn send_requests(
    mut sender: SendRequest<Empty<Bytes>>,
    sidecar: SocketAddr,
    stats: &ClientStats,
) {
    loop {
        let started = Instant::now();
        let request = Request::get("/").header("host", sidecar.to_string());
        let Ok(request) = request.body(Empty::<Bytes>::new()) else { return };
        let Ok(response) = sender.send_request(request).await else { return };
        let is_success = response.status() == StatusCode::OK;
        let count = if is_success { &stats.succeeded } else { &stats.failed };
        count.add(1);
        let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        stats.total_ms.add(elapsed_ms);
        drop(response);
        sleep(REQUEST_INTERVAL).await;
        if sender.ready().await.is_err() {
            return;
        }
    }
}
