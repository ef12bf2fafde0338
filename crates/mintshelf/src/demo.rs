//! `mintshelf demo`: stand-in servers, a sidecar in front, and a live table.

use crate::daemon::Daemon;
use bytes::Bytes;
use http_body_util::{Empty, Full};
use hyper::client::conn::http1::handshake;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_config::file;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, Instant};

/// How long the servers take, and which of their answers fails.
const SERVERS: [(&str, u64, Option<u64>); 4] =
    [("quick", 10, None), ("middling", 25, None), ("slow", 60, None), ("shaky", 15, Some(4))];
/// Requests that a server works on side by side; the rest wait.
const SIDE_BY_SIDE: u64 = 2;
/// Clients of the demo, and how long each pauses.
const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(20);
/// How often the table is written.
const EVERY: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Seen {
    served: Cell<u64>,
    failed: Cell<u64>,
    open: Cell<u64>,
}

fn add(cell: &Cell<u64>, more: u64) {
    cell.set(cell.get() + more);
}

/// Starts a server on a port that the system chooses.
async fn server(number: usize, seen: Rc<Seen>) -> Result<SocketAddr, String> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.map_err(|e| format!("a server: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("a server: {e}"))?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let seen = seen.clone();
            let service = service_fn(move |_| {
                let seen = seen.clone();
                Box::pin(async move { Ok::<_, Infallible>(work(number, &seen).await) })
            });
            spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}

async fn work(number: usize, seen: &Seen) -> Response<Full<Bytes>> {
    let (name, takes, fails) = SERVERS[number];
    add(&seen.open, 1);
    let rounds = 1 + (seen.open.get() - 1) / SIDE_BY_SIDE;
    sleep(Duration::from_millis(takes * rounds)).await;
    seen.open.set(seen.open.get() - 1);
    add(&seen.served, 1);
    let failed = fails.is_some_and(|every| seen.served.get().is_multiple_of(every));
    add(&seen.failed, u64::from(failed));
    let mut response = Response::new(Full::new(Bytes::from(format!("served by {name}\n"))));
    if failed {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

#[derive(Default)]
struct Client {
    good: Cell<u64>,
    bad: Cell<u64>,
    millis: Cell<u64>,
}

/// Asks over and over on a connection of its own.
async fn client(to: SocketAddr, told: Rc<Client>) {
    loop {
        let Ok(stream) = TcpStream::connect(to).await else { return };
        let Ok((mut send, driven)) = handshake(TokioIo::new(stream)).await else { return };
        spawn_local(driven);
        loop {
            let begun = Instant::now();
            let request = Request::get("/").header("host", to.to_string());
            let Ok(request) = request.body(Empty::<Bytes>::new()) else { return };
            let Ok(response) = send.send_request(request).await else { break };
            let good = response.status() == StatusCode::OK;
            add(if good { &told.good } else { &told.bad }, 1);
            add(&told.millis, begun.elapsed().as_millis() as u64);
            drop(response);
            sleep(PAUSE).await;
            if send.ready().await.is_err() {
                break;
            }
        }
    }
}

/// Runs the demo for a span, or until it is stopped.
pub async fn run(span: Option<Duration>, at: SocketAddr) -> Result<(), String> {
    let seen: Vec<Rc<Seen>> = SERVERS.iter().map(|_| Rc::default()).collect();
    let mut endpoints = Vec::new();
    for (number, seen) in seen.iter().enumerate() {
        let address = server(number, seen.clone()).await?;
        endpoints.push(format!("{{ name = \"{}\", address = \"{address}\" }}", SERVERS[number].0));
    }
    let text = format!(
        "listen = \"{at}\"\n[clusters.demo]\nendpoints = [{}]\n[[routes]]\ncluster = \"demo\"\n",
        endpoints.join(", ")
    );
    let file = file::parse("demo", text.as_bytes()).map_err(|p| format!("{p:?}"))?;
    let _daemon = Daemon::start(PathBuf::from("demo"), file).map_err(|lines| lines.join("\n"))?;
    let told = Rc::new(Client::default());
    for _ in 0..CLIENTS {
        spawn_local(client(at, told.clone()));
    }
    println!("a sidecar on {at}, in front of {} servers; ask it yourself:", SERVERS.len());
    println!("    curl -i http://{at}/\n");
    let end = async {
        match span {
            Some(span) => sleep(span).await,
            None => drop(tokio::signal::ctrl_c().await),
        }
    };
    tokio::select! {
        () = end => {}
        () = table(&seen, &told) => {}
    }
    let (good, bad) = (told.good.get(), told.bad.get());
    println!("\n{good} requests answered 200, {bad} otherwise");
    Ok(())
}

async fn table(seen: &[Rc<Seen>], told: &Client) {
    let heads = SERVERS.map(|(name, ms, _)| format!("{name} ({ms} ms)"));
    println!("{:>26}  {:>8} {:>8}", "answers a second from", "clients", "mean");
    println!("{}  {:>8} {:>8}", heads.map(|h| format!("{h:>16}")).join(""), "200", "ms");
    let mut ticks = interval(EVERY);
    ticks.tick().await;
    loop {
        let before: Vec<u64> = seen.iter().map(|s| s.served.get()).collect();
        let [good, bad, millis] = [&told.good, &told.bad, &told.millis].map(Cell::get);
        ticks.tick().await;
        let served = seen.iter().zip(before).map(|(s, b)| format!("{:>16}", s.served.get() - b));
        let (new, other) = (told.good.get() - good, told.bad.get() - bad);
        let mean = (told.millis.get() - millis) / (new + other).max(1);
        println!("{}  {new:>8} {mean:>8}", served.collect::<String>());
    }
}
