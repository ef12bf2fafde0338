//! The daemon compared with a minimal relay on hyper (pooled client, round robin, no rules), in one
//! run: `cargo bench -p mintshelf`. Each runs in a process on a core of its own where `taskset` and
//! the cores are available; servers and clients have others.

mod common;

use bytes::Bytes;
use common::{block_on, wait_for, Process};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
const ROLE: &str = "MINTSHELF_BENCH_ROLE";
const SERVERS: [&str; 3] = ["127.0.91.1:19101", "127.0.91.1:19102", "127.0.91.1:19103"];
const RELAY: &str = "127.0.91.1:19110";
const DAEMON: &str = "127.0.91.1:19111";
const CONNECTIONS: usize = 32;
const WARM_UP: Duration = Duration::from_secs(1);
const ROUND_DURATION: Duration = Duration::from_secs(3);
const ROUNDS: usize = 3;
/// Clock ticks a second in `/proc`.
const TICKS: f64 = 100.0;

type BenchError = Box<dyn std::error::Error + Send + Sync>;

async fn listen(at: &str) -> Result<TcpListener, BenchError> {
    Ok(TcpListener::bind(at.parse::<SocketAddr>()?).await?)
}

async fn servers() -> Result<(), BenchError> {
    for at in SERVERS {
        let listener = listen(at).await?;
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let service = service_fn(|request: Request<Incoming>| async move {
                    let _ = request.into_body().collect().await;
                    let body = Full::new(Bytes::from_static(&[b'x'; 256]));
                    Ok::<_, Infallible>(Response::new(body))
                });
                spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
    }
    std::future::pending::<()>().await;
    Ok(())
}

/// Idle connections by server, and the server that is next.
#[derive(Default)]
struct Pool {
    idle: [RefCell<Vec<SendRequest<Incoming>>>; 3],
    turn: Cell<usize>,
}

async fn forward(
    pool: &Pool,
    mut request: Request<Incoming>,
) -> Result<Response<Incoming>, BenchError> {
    let turn = pool.turn.get();
    pool.turn.set((turn + 1) % SERVERS.len());
    let idle = pool.idle[turn].borrow_mut().pop();
    let mut send = if let Some(send) = idle {
        send
    } else {
        let stream = TcpStream::connect(SERVERS[turn]).await?;
        stream.set_nodelay(true)?;
        let (send, connection) = handshake(TokioIo::new(stream)).await?;
        spawn_local(connection);
        send
    };
    send.ready().await?;
    let path = request.uri().path_and_query().map_or("/", |target| target.as_str());
    *request.uri_mut() = path.parse::<Uri>()?;
    let response = send.send_request(request).await?;
    pool.idle[turn].borrow_mut().push(send);
    Ok(response)
}

async fn relay() -> Result<(), BenchError> {
    let listener = listen(RELAY).await?;
    let pool = Rc::new(Pool::default());
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let pool = pool.clone();
        let service = service_fn(move |request| {
            let pool = pool.clone();
            async move { forward(&pool, request).await }
        });
        spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
    Ok(())
}

/// Sends one request after another until the end, and records the latency of each.
async fn send_requests(
    to: SocketAddr,
    end: Instant,
    times: Rc<RefCell<Vec<Duration>>>,
) -> Result<(), BenchError> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut send, connection) = handshake(TokioIo::new(stream)).await?;
    spawn_local(connection);
    while Instant::now() < end {
        send.ready().await?;
        let started_at = Instant::now();
        let request =
            Request::get("/devices/7").header("host", "bench").body(Empty::<Bytes>::new())?;
        let response = send.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()).into());
        }
        response.into_body().collect().await?;
        times.borrow_mut().push(started_at.elapsed());
    }
    Ok(())
}

async fn run_clients(to: &str, duration: Duration) -> Result<Vec<Duration>, BenchError> {
    let times = Rc::new(RefCell::new(Vec::new()));
    let (to, end) = (to.parse()?, Instant::now() + duration);
    let tasks: Vec<_> =
        (0..CONNECTIONS).map(|_| spawn_local(send_requests(to, end, times.clone()))).collect();
    for task in tasks {
        task.await??;
    }
    let mut times = times.take();
    times.sort_unstable();
    Ok(times)
}

/// Starts a child on a core of its own, where that is possible.
fn start(core: &str, program: &str, args: &[&str], role: &str) -> Result<Process, BenchError> {
    let pinned = Command::new("taskset").args(["-c", core, "true"]).status();
    let mut command = match pinned.is_ok_and(|status| status.success()) {
        true => {
            let mut command = Command::new("taskset");
            command.args(["-c", core, program]);
            command
        }
        false => Command::new(program),
    };
    let command = command.args(args).env(ROLE, role).stderr(Stdio::null());
    Ok(Process(command.spawn()?))
}

/// CPU seconds that a child has used so far.
fn cpu(process: &Process) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.0.id()));
    let stat = stat.unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field =
        |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    (field(11) + field(12)) / TICKS
}

/// Requests a second, p50 and p99 in microseconds, CPU microseconds a request.
fn measure(to: &str, process: Option<&Process>) -> Result<[f64; 4], BenchError> {
    block_on(run_clients(to, WARM_UP))?;
    let before = process.map_or(0.0, cpu);
    let times = block_on(run_clients(to, ROUND_DURATION))?;
    let used = process.map_or(0.0, cpu) - before;
    let micros = |share: f64| times[(times.len() as f64 * share) as usize].as_secs_f64() * 1e6;
    let rate = times.len() as f64 / ROUND_DURATION.as_secs_f64();
    Ok([rate, micros(0.5), micros(0.99), used * 1e6 / times.len() as f64])
}

/// The median of each figure.
fn medians(results: &[[f64; 4]]) -> [f64; 4] {
    [0, 1, 2, 3].map(|at| {
        let mut values: Vec<f64> = results.iter().map(|result| result[at]).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    })
}

fn bench() -> Result<(), BenchError> {
    let own_program = std::env::current_exe()?;
    let own_program = own_program.to_str().ok_or("the program's path")?;
    let endpoints = SERVERS.map(|at| format!("\"{at}\"")).join(", ");
    let text = format!(
        "listen = \"{DAEMON}\"\n[clusters.bench]\nendpoints = [{endpoints}]\n\
         [[routes]]\ncluster = \"bench\"\n"
    );
    let file = std::env::temp_dir().join(format!("mintshelf-bench-{}.toml", std::process::id()));
    std::fs::write(&file, text)?;
    let path = file.to_str().ok_or("the file's path")?;
    let _servers = start("0", own_program, &[], "servers")?;
    let relay = start("1", own_program, &[], "relay")?;
    let daemon = start("1", PROGRAM, &["run", "--config", path], "")?;
    [SERVERS[0], RELAY, DAEMON].into_iter().for_each(wait_for);
    println!(
        "{CONNECTIONS} connections, 256 bytes an answer, {ROUNDS} rounds of {ROUND_DURATION:?}, medians"
    );
    let mut all: [Vec<[f64; 4]>; 3] = Default::default();
    let mut growth = Vec::new();
    let mut done = 0.0;
    for _ in 0..ROUNDS {
        let targets = [(SERVERS[0], None), (RELAY, Some(&relay)), (DAEMON, Some(&daemon))];
        for (target, results) in targets.into_iter().zip(&mut all) {
            results.push(measure(target.0, target.1)?);
        }
        done += all[2]
            .last()
            .map_or(0.0, |result| result[0] * (ROUND_DURATION + WARM_UP).as_secs_f64());
        growth.push(format!("{} KiB after {done:.0} requests", daemon.memory()));
    }
    let [direct, minimal, daemon_result] =
        [&all[0], &all[1], &all[2]].map(|results| medians(results));
    let memory = [relay.memory(), daemon.memory()];
    println!(
        "{:>12} {:>10} {:>12} {:>12} {:>14} {:>10}",
        "", "requests/s", "added p50 us", "added p99 us", "CPU us/request", "RSS KiB"
    );
    for (name, [rate, p50, p99, cpu], memory) in
        [("least relay", minimal, memory[0]), ("mintshelf", daemon_result, memory[1])]
    {
        let (p50, p99) = (p50 - direct[1], p99 - direct[2]);
        println!("{name:>12} {rate:>10.0} {p50:>12.0} {p99:>12.0} {cpu:>14.1} {memory:>10}");
    }
    let ratio = [0, 1, 2, 3].map(|at| daemon_result[at] / minimal[at]);
    println!(
        "{:>12} {:>10.2} {:>12.2} {:>12.2} {:>14.2} {:>10.2}   (p50 and p99 whole, not added)",
        "ratio",
        ratio[0],
        ratio[1],
        ratio[2],
        ratio[3],
        memory[1] as f64 / memory[0].max(1) as f64
    );
    println!("mintshelf's memory: {}", growth.join(", "));
    std::fs::remove_file(file)?;
    Ok(())
}

fn main() -> Result<(), BenchError> {
    match std::env::var(ROLE).as_deref() {
        Ok("servers") => block_on(servers()),
        Ok("relay") => block_on(relay()),
        _ => bench(),
    }
}
