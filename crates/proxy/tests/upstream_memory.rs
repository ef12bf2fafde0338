//! Exchanges with servers while memory is low: which connections are kept, and which requests give
//! way.

use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use mintshelf_balancer::api::{Outcome, ServerId};
use mintshelf_proxy::budget::ResourceBudget;
use mintshelf_proxy::endpoints::{Endpoint, Endpoints};
use mintshelf_proxy::memory::{MemoryAccount, MemoryBudget};
use mintshelf_proxy::upstream::attempt_control::AttemptControl;
use mintshelf_proxy::upstream::connection_limits::ClusterLimits;
use mintshelf_proxy::upstream::exchange::{AttemptDeadlines, AttemptMessage};
use mintshelf_proxy::upstream::pool::{ConnectionPool, Upstream, UpstreamSettings};
use mintshelf_proxy::upstream::request_body::RequestBody;
use mintshelf_proxy::upstream::response::UpstreamProtocol;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

const LIMIT: usize = 64 << 20;
const SERVER: ServerId = 1;
const TIMEOUT: Duration = Duration::from_secs(5);

thread_local! {
    static ALLOCATED: Cell<usize> = const { Cell::new(0) };
}

/// Responds to each request of one connection.
fn respond(mut stream: TcpStream) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
        if received.ends_with(b"\r\n\r\n") {
            received.clear();
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        }
    }
}

/// Starts a server; the counter grows with each connection.
fn start_server(connections: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            connections.fetch_add(1, Ordering::Relaxed);
            thread::spawn(|| respond(stream));
        }
    });
    address
}

fn request(fields: usize) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::default());
    for number in 0..fields {
        let name: HeaderName = format!("x{number}").parse().unwrap();
        request.headers_mut().insert(name, HeaderValue::from_static("1"));
    }
    request
}

/// Creates the upstream side of a cluster with one server.
fn upstream(budget: &ResourceBudget, address: SocketAddr) -> Rc<Upstream> {
    let endpoints = Endpoints::default();
    endpoints.insert(SERVER, Endpoint { address, takes_requests: true });
    let settings = UpstreamSettings {
        connect_timeout: TIMEOUT,
        idle_timeout: TIMEOUT,
        protocol: UpstreamProtocol::Platform,
        limits: ClusterLimits::default(),
    };
    Upstream::new(ConnectionPool::new(budget), endpoints, settings)
}

fn budget() -> ResourceBudget {
    ALLOCATED.set(0);
    ResourceBudget::new(1024, MemoryBudget::new(LIMIT, || ALLOCATED.get()))
}

/// Sends three requests one after another; returns the number of connections that they took.
async fn connections_of_three_requests(fields: usize) -> usize {
    let connections = Arc::new(AtomicUsize::new(0));
    let budget = budget();
    let upstream = upstream(&budget, start_server(&connections));
    // A third of the capacity: low, and far from the thresholds of attempts.
    ALLOCATED.set(budget.memory.capacity() / 3);
    for _ in 0..3 {
        let message = AttemptMessage {
            request: Rc::new(request(fields)),
            memory: MemoryAccount::open(&budget.memory),
        };
        let deadlines = AttemptDeadlines {
            end: Instant::now() + TIMEOUT,
            send_by: None,
            connect_timeout: None,
            max_idle: None,
        };
        let target = upstream.target(SERVER).unwrap();
        let control = AttemptControl::new(None);
        let result = upstream.attempt(target, message, deadlines, &control).await;
        assert_eq!(result.outcome, Outcome::Ok);
    }
    assert_eq!((budget.memory.claimed(), budget.memory.reserved()), (0, 0));
    connections.load(Ordering::Relaxed)
}

#[tokio::test(flavor = "current_thread")]
async fn a_connection_that_keeps_the_map_of_many_fields_is_not_kept_while_memory_is_low() {
    let counts = async {
        assert_eq!(connections_of_three_requests(8).await, 1);
        assert_eq!(connections_of_three_requests(240).await, 3);
    };
    LocalSet::new().run_until(counts).await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_health_check_gives_way_while_requests_need_the_memory() {
    let checks = async {
        let connections = Arc::new(AtomicUsize::new(0));
        let budget = budget();
        let upstream = upstream(&budget, start_server(&connections));
        let target = upstream.target(SERVER).unwrap();
        // More than attempts may use.
        ALLOCATED.set(budget.memory.capacity());
        assert_eq!(upstream.get(target, request(0)).await, Err(Outcome::Unused));
        assert_eq!(connections.load(Ordering::Relaxed), 0);
        ALLOCATED.set(0);
        assert!(upstream.get(target, request(0)).await.is_ok());
        assert_eq!((budget.memory.claimed(), budget.memory.reserved()), (0, 0));
    };
    LocalSet::new().run_until(checks).await;
}
