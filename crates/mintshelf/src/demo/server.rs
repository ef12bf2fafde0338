//! Servers of the demo.

use super::counter::Counter;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Requests that a server processes concurrently; others wait.
const CONCURRENCY: u64 = 2;

/// Settings of a demo server.
pub struct DemoServer {
    /// Name of the server.
    pub name: &'static str,
    /// Processing time of a request in milliseconds.
    pub service_ms: u64,
    /// Every response with a multiple of this number fails; `None` if no response fails.
    pub failure_period: Option<u64>,
}

const fn server(name: &'static str, service_ms: u64, failure_period: Option<u64>) -> DemoServer {
    DemoServer { name, service_ms, failure_period }
}

/// All servers of the demo.
pub const SERVERS: [DemoServer; 4] = [
    server("quick", 10, None),
    server("middling", 25, None),
    server("slow", 60, None),
    server("shaky", 15, Some(4)),
];

/// Statistics of a server.
#[derive(Default)]
pub struct ServerStats {
    /// Number of responses that the server has sent since its start.
    pub served: Counter,
    /// Number of requests that the server has received and not answered yet.
    in_flight: Counter,
}

/// Starts a server on a free port and returns its address.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn start(server: &'static DemoServer, stats: Rc<ServerStats>) -> io::Result<SocketAddr> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any_port).await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let stats = stats.clone();
            let service = service_fn(move |_| {
                let stats = stats.clone();
                Box::pin(async move { Ok::<_, Infallible>(respond(server, &stats).await) })
            });
            spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}

async fn respond(server: &DemoServer, stats: &ServerStats) -> Response<Full<Bytes>> {
    stats.in_flight.add(1);
    let batches = 1 + (stats.in_flight.get() - 1) / CONCURRENCY;
    sleep(Duration::from_millis(server.service_ms * batches)).await;
    stats.in_flight.decrement();
    stats.served.add(1);
    let fails = |period| stats.served.get().is_multiple_of(period);
    let body = Bytes::from(format!("served by {}\n", server.name));
    let mut response = Response::new(Full::new(body));
    if server.failure_period.is_some_and(fails) {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}
