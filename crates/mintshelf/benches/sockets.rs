//! WebSocket connections through the daemon: memory of idle ones, messages against the least TCP relay, and
//! the death of a server with a thousand open: `cargo bench -p mintshelf --bench sockets`. Every
//! ratio has its baseline in the same run. Prints its tables.

mod common;

use common::{block_on, wait_for, Process};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
const ROLE: &str = "MINTSHELF_BENCH_ROLE";
const NODES: [&str; 3] = ["127.0.93.1:19301", "127.0.93.1:19302", "127.0.93.1:19303"];
const RELAY: &str = "127.0.93.1:19310";
const DAEMON: &str = "127.0.93.1:19311";
const ADMIN: &str = "127.0.93.1:19312";
const SPAN: Duration = Duration::from_secs(3);
const ROUNDS: usize = 5;
/// Each of the three processes holds up to two descriptors a socket, and 20,000 is a common
/// limit.
const MANY: [usize; 2] = [1_000, 9_500];

type Fault = Box<dyn std::error::Error + Send + Sync>;

async fn read(stream: &TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(buffer) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            other => return other,
        }
    }
}

async fn write(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads to a blank line; all that came.
async fn head(stream: &TcpStream) -> Result<Vec<u8>, Fault> {
    let (mut all, mut part) = (Vec::new(), [0; 1024]);
    while !all.windows(4).any(|w| w == b"\r\n\r\n") {
        match read(stream, &mut part).await? {
            0 => return Err("it ended".into()),
            count => all.extend_from_slice(&part[..count]),
        }
    }
    Ok(all)
}

/// A node: accepts sockets and says back each frame without its mask; answers plain requests.
async fn node(at: &str) -> Result<(), Fault> {
    let listener = TcpListener::bind(at.parse::<SocketAddr>()?).await?;
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            while let Ok(request) = head(&stream).await {
                let text = String::from_utf8_lossy(&request).into_owned();
                let Some((_, key)) = text.split_once("sec-websocket-key: ") else {
                    let plain = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
                    if write(&stream, plain).await.is_err() {
                        return;
                    }
                    continue;
                };
                let key = key.lines().next().unwrap_or("");
                let accept = tungstenite::handshake::derive_accept_key(key.as_bytes());
                let head = format!(
                    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n\
                     Upgrade: websocket\r\nSec-WebSocket-Accept: {accept}\r\n\r\n"
                );
                if write(&stream, head.as_bytes()).await.is_err() {
                    return;
                }
                let _ = echo(&stream).await;
                return;
            }
        });
    }
    Ok(())
}

/// Says back short frames, unmasked; a close, too.
async fn echo(stream: &TcpStream) -> Result<(), Fault> {
    let (mut have, mut part) = (Vec::new(), vec![0; 4096]);
    loop {
        match read(stream, &mut part).await? {
            0 => return Ok(()),
            count => have.extend_from_slice(&part[..count]),
        }
        let mut out = Vec::new();
        while have.len() >= 6 {
            let length = usize::from(have[1] & 0x7f);
            if have.len() < 6 + length {
                break;
            }
            let key = [have[2], have[3], have[4], have[5]];
            // A pong for a ping.
            let first = if have[0] == 0x89 { 0x8a } else { have[0] };
            out.extend_from_slice(&[first, length as u8]);
            let payload = have[6..6 + length].iter().zip(key.iter().cycle());
            out.extend(payload.map(|(byte, key)| byte ^ key));
            have.drain(..6 + length);
        }
        if !out.is_empty() {
            write(stream, &out).await?;
        }
    }
}

/// The least relay: bytes from one connection to the other and back, to nodes in turn.
async fn relay() -> Result<(), Fault> {
    let listener = TcpListener::bind(RELAY.parse::<SocketAddr>()?).await?;
    let mut turn = 0;
    while let Ok((client, _)) = listener.accept().await {
        turn += 1;
        let to = NODES[turn % NODES.len()];
        spawn_local(async move {
            let server = TcpStream::connect(to).await?;
            client.set_nodelay(true)?;
            server.set_nodelay(true)?;
            let one_way = async |from: &TcpStream, to: &TcpStream| -> std::io::Result<()> {
                let mut buffer = vec![0; 16 << 10];
                loop {
                    match read(from, &mut buffer).await? {
                        0 => return Ok(()),
                        count => write(to, &buffer[..count]).await?,
                    }
                }
            };
            tokio::select! {
                ended = one_way(&client, &server) => ended,
                ended = one_way(&server, &client) => ended,
            }
        });
    }
    Ok(())
}

async fn open(to: &str) -> Result<TcpStream, Fault> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    // In lower case, as hyper writes it towards nodes.
    let request = format!(
        "GET /live HTTP/1.1\r\nHost: {to}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
         Sec-WebSocket-Version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    );
    write(&stream, request.as_bytes()).await?;
    let answer = timeout(Duration::from_secs(20), head(&stream)).await??;
    match answer.starts_with(b"HTTP/1.1 101") {
        true => Ok(stream),
        false => Err(String::from_utf8_lossy(&answer).into_owned().into()),
    }
}

fn child(program: &str, args: &[&str], role: &str) -> Result<Process, Fault> {
    let mut command = Command::new(program);
    Ok(Process(command.args(args).env(ROLE, role).stderr(Stdio::null()).spawn()?))
}

fn signal(process: &Process, name: &str) {
    let _ = Command::new("kill").args(["-s", name, &process.0.id().to_string()]).status();
}

struct Set {
    nodes: Vec<Process>,
    daemon: Process,
    file: std::path::PathBuf,
}

impl Drop for Set {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

fn start(name: &str, class: &str, websocket: &str) -> Result<Set, Fault> {
    let me = std::env::current_exe()?;
    let me = me.to_str().ok_or("the program's path")?;
    let nodes = NODES.map(|at| child(me, &[at], "node"));
    let nodes = nodes.into_iter().collect::<Result<Vec<_>, _>>()?;
    let endpoints = NODES.map(|at| format!("\"{at}\"")).join(", ");
    let text = format!(
        "listen = \"{DAEMON}\"\n[admin]\naddress = \"{ADMIN}\"\n\
         [limits]\nsockets = 40000\nmemory = \"512MiB\"\nwebsockets = 12000\n\
         [classes.live]\naim = \"400ms\"\ndeadline = \"2s\"\n[classes.live.sockets]\n{class}\n\
         [clusters.c]\nendpoints = [{endpoints}]\n\
         [[routes]]\nclass = \"live\"\ncluster = \"c\"\nwebsocket = {websocket}\n"
    );
    let file = std::env::temp_dir().join(format!("mintshelf-{name}-{}.toml", std::process::id()));
    std::fs::write(&file, text)?;
    let path = file.to_str().ok_or("the file's path")?;
    NODES.into_iter().for_each(wait_for);
    let daemon = child(PROGRAM, &["run", "--config", path], "")?;
    wait_for(DAEMON);
    Ok(Set { nodes, daemon, file })
}

fn memory() -> Result<(), Fault> {
    println!("\nidle sockets through one daemon, both sides together, kernel aside");
    println!("{:>10} {:>14} {:>16}", "sockets", "RSS KiB", "KiB a socket");
    let set = start("memory", "", "true")?;
    block_on(async {
        let mut held = vec![open(DAEMON).await?];
        sleep(Duration::from_secs(1)).await;
        let before = set.daemon.memory() as f64;
        println!("{:>10} {before:>14.0} {:>16}", held.len(), "-");
        for many in MANY {
            while held.len() < many {
                held.push(open(DAEMON).await?);
            }
            sleep(Duration::from_secs(2)).await;
            let now = set.daemon.memory() as f64;
            println!("{many:>10} {now:>14.0} {:>16.2}", (now - before) / many as f64);
        }
        Ok(())
    })
}

/// A client that asks and is answered over and over.
async fn talk(stream: TcpStream, until: Instant, times: Rc<RefCell<Vec<Duration>>>, size: usize) {
    let mut frame = vec![0x82, 0x80 | size as u8, 1, 2, 3, 4];
    frame.resize(6 + size, 7);
    let mut part = [0; 4096];
    while Instant::now() < until {
        let begun = Instant::now();
        let mut left = 2 + size;
        if write(&stream, &frame).await.is_err() {
            return;
        }
        while left > 0 {
            match read(&stream, &mut part).await {
                Ok(count @ 1..) => left = left.saturating_sub(count),
                _ => return,
            }
        }
        times.borrow_mut().push(begun.elapsed());
    }
}

async fn talking(to: &str, clients: usize) -> Result<[f64; 3], Fault> {
    let times = Rc::new(RefCell::new(Vec::new()));
    let mut streams = Vec::new();
    for _ in 0..clients {
        streams.push(open(to).await?);
    }
    let until = Instant::now() + SPAN;
    let all: Vec<_> = streams
        .into_iter()
        .map(|stream| spawn_local(talk(stream, until, times.clone(), 100)))
        .collect();
    for one in all {
        one.await?;
    }
    let mut times = times.take();
    times.sort_unstable();
    let micros = |share: f64| times[(times.len() as f64 * share) as usize].as_secs_f64() * 1e6;
    Ok([times.len() as f64 / SPAN.as_secs_f64(), micros(0.5), micros(0.99)])
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn messages() -> Result<(), Fault> {
    println!("\n64 sockets, messages of 100 bytes there and back, {ROUNDS} rounds of {SPAN:?}");
    println!("in turns, medians");
    let set = start("messages", "", "true")?;
    let me = std::env::current_exe()?;
    let relay = child(me.to_str().ok_or("the program's path")?, &[], "relay")?;
    wait_for(RELAY);
    let mut rows: [Vec<[f64; 3]>; 2] = Default::default();
    for _ in 0..ROUNDS {
        for (way, rows) in [RELAY, DAEMON].into_iter().zip(&mut rows) {
            rows.push(block_on(talking(way, 64))?);
        }
    }
    drop((relay, set));
    println!("{:>16} {:>12} {:>10} {:>10}", "", "messages/s", "p50 us", "p99 us");
    let all = rows.map(|rows| [0, 1, 2].map(|at| median(rows.iter().map(|row| row[at]).collect())));
    for (name, [rate, p50, p99]) in ["bare TCP relay", "mintshelf"].into_iter().zip(all) {
        println!("{name:>16} {rate:>12.0} {p50:>10.0} {p99:>10.0}");
    }
    let [relay, ours] = all;
    let ratio = [0, 1, 2].map(|at| ours[at] / relay[at]);
    println!("{:>16} {:>12.2} {:>10.2} {:>10.2}", "ratio", ratio[0], ratio[1], ratio[2]);
    Ok(())
}

/// What a socket's client hears in the end: when, and which code.
async fn listen_on(stream: TcpStream, ends: Rc<RefCell<Vec<(Instant, u16)>>>) {
    let (mut have, mut part) = (Vec::new(), [0; 512]);
    loop {
        let code = match read(&stream, &mut part).await {
            Ok(count @ 1..) => {
                have.extend_from_slice(&part[..count]);
                let mut code = None;
                while have.len() >= 2 && have.len() >= 2 + usize::from(have[1]) {
                    let length = usize::from(have[1]);
                    if have[0] == 0x89 {
                        let mut pong = vec![0x8a, 0x80 | length as u8, 0, 0, 0, 0];
                        pong.extend_from_slice(&have[2..2 + length]);
                        let _ = write(&stream, &pong).await;
                    } else if have[0] == 0x88 {
                        code = Some(u16::from_be_bytes([have[2], have[3]]));
                        let _ = write(&stream, &[0x88, 0x82, 0, 0, 0, 0, have[2], have[3]]).await;
                    }
                    have.drain(..2 + length);
                }
                code
            }
            _ => Some(1006),
        };
        if let Some(code) = code {
            ends.borrow_mut().push((Instant::now(), code));
            return;
        }
    }
}

/// Plain requests at a steady rate, to the end; their times.
async fn requests(times: Rc<RefCell<Vec<f64>>>, stopped: Rc<Cell<bool>>) -> Result<(), Fault> {
    let stream = TcpStream::connect(DAEMON).await?;
    stream.set_nodelay(true)?;
    while !stopped.get() {
        let begun = Instant::now();
        write(&stream, b"GET /plain HTTP/1.1\r\nHost: a\r\n\r\n").await?;
        let answer = head(&stream).await?;
        let took = if answer.starts_with(b"HTTP/1.1 200") { begun.elapsed() } else { SPAN };
        times.borrow_mut().push(took.as_secs_f64() * 1e3);
        sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

fn metric(name: &str) -> f64 {
    use std::io::{Read, Write};
    let Ok(mut stream) = std::net::TcpStream::connect(ADMIN) else { return 0.0 };
    let _ = stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Plain requests of ten clients for so many seconds; their sorted times in milliseconds.
async fn request_times(seconds: f64) -> Vec<f64> {
    let times = Rc::new(RefCell::new(Vec::new()));
    let stop = Rc::new(Cell::new(false));
    for _ in 0..10 {
        let (times, stop) = (times.clone(), stop.clone());
        spawn_local(async move {
            let _ = requests(times, stop).await;
        });
    }
    sleep(Duration::from_secs_f64(seconds)).await;
    stop.set(true);
    let mut times = times.take();
    times.sort_by(f64::total_cmp);
    times
}

fn p99(times: &[f64]) -> f64 {
    times.get(times.len() * 99 / 100).copied().unwrap_or(0.0)
}

/// Kills a node, stops it, or stops it for longer and longer and then for good.
async fn end_node(node: &Process, how: &str) {
    if how == "killed" {
        signal(node, "KILL");
        return;
    }
    if how == "slow to death" {
        for stopped_ms in [20u64, 60, 150] {
            signal(node, "STOP");
            sleep(Duration::from_millis(stopped_ms)).await;
            signal(node, "CONT");
            sleep(Duration::from_millis(100)).await;
        }
    }
    signal(node, "STOP");
}

/// Sockets that had migrated at a time after a node's death.
struct Sample {
    seconds: f64,
    migrated: f64,
}

/// Samples the number of migrated sockets until it is over.
async fn sample_migrations(begun: Instant, stopped: Rc<Cell<bool>>) -> Vec<Sample> {
    let mut samples = Vec::new();
    while !stopped.get() {
        // On a thread of its own, so that this event loop goes on.
        let metric = tokio::task::spawn_blocking(|| metric("mintshelf_sockets_moved_total"));
        let migrated = metric.await.unwrap_or(0.0);
        samples.push(Sample { seconds: begun.elapsed().as_secs_f64(), migrated });
        sleep(Duration::from_millis(250)).await;
    }
    samples
}

/// What the migrations of a death come to.
struct Migrations {
    count: f64,
    /// When the last one was seen, in seconds after the death.
    last_seconds: f64,
    /// Most migrations a second.
    max_rate: f64,
}

impl Migrations {
    fn of(samples: &[Sample]) -> Self {
        let count = samples.last().map_or(0.0, |sample| sample.migrated).max(0.0);
        let last = samples.iter().find(|sample| sample.migrated == count);
        let rates = samples.windows(2).map(|pair| {
            (pair[1].migrated - pair[0].migrated) / (pair[1].seconds - pair[0].seconds)
        });
        Migrations {
            count,
            last_seconds: last.map_or(0.0, |sample| sample.seconds),
            max_rate: rates.fold(0.0, f64::max),
        }
    }
}

/// One death of one of three nodes, with so many sockets open.
async fn death(set: &Set, how: &str, sockets: usize, resume: bool) -> Result<(), Fault> {
    let ends = Rc::new(RefCell::new(Vec::new()));
    for _ in 0..sockets {
        let stream = open(DAEMON).await?;
        spawn_local(listen_on(stream, ends.clone()));
    }
    let calm = request_times(8.0).await;
    let at_node = metric("mintshelf_endpoint_sockets{cluster=\"c\",endpoint=\"127.0.93.1:19301\"}");
    let begun = Instant::now();
    end_node(&set.nodes[0], how).await;
    let stopped = Rc::new(Cell::new(false));
    let watch = spawn_local(sample_migrations(begun, stopped.clone()));
    let during = request_times(8.0).await;
    stopped.set(true);
    let migrations = Migrations::of(&watch.await.unwrap_or_default());
    let closes = ends.take();
    let last_close = closes.iter().map(|(at, _)| at.duration_since(begun).as_secs_f64());
    let last_close = last_close.fold(0.0, f64::max);
    let right = closes.iter().filter(|(_, code)| *code == 1012).count();
    let last_migration = if migrations.count > 0.0 { migrations.last_seconds } else { 0.0 };
    println!(
        "{how:>14} {:>8} {at_node:>8.0} {:>6.0} {:>7} {right:>6} {:>12.2} {:>12.0} {:>9.2} {:>9.2} {:>7.2}",
        match (sockets, resume) {
            (0, _) => "none",
            (_, true) => "moved",
            _ => "closed",
        },
        migrations.count,
        closes.len(),
        last_close.max(last_migration),
        migrations.max_rate,
        p99(&calm),
        p99(&during),
        p99(&during) / p99(&calm),
    );
    Ok(())
}

fn deaths() -> Result<(), Fault> {
    println!("\n1,000 sockets at three nodes, one of which dies; 10 clients with a plain request");
    println!("every 10 ms; ping-interval 1 s, ping-timeout 1 s, socket-spread 5 s");
    println!(
        "{:>14} {:>8} {:>8} {:>6} {:>7} {:>6} {:>12} {:>12} {:>9} {:>9} {:>7}",
        "",
        "sockets",
        "there",
        "moved",
        "closed",
        "1012",
        "last after s",
        "handshakes/s",
        "p99 calm",
        "p99 then",
        "ratio"
    );
    for how in ["killed", "silent", "slow to death"] {
        // Without sockets: what the death alone does to requests.
        for (sockets, resume) in [(0, false), (1000, false), (1000, true)] {
            let class = "ping-interval = \"1s\"\nping-timeout = \"1s\"";
            let websocket = if resume { "{ resume = \"handshake\" }" } else { "true" };
            let set = start("deaths", class, websocket)?;
            block_on(death(&set, how, sockets, resume))?;
            signal(&set.nodes[0], "CONT");
        }
    }
    Ok(())
}

fn main() -> Result<(), Fault> {
    let at = std::env::args().nth(1).unwrap_or_default();
    match std::env::var(ROLE).as_deref() {
        Ok("node") => return block_on(node(&at)),
        Ok("relay") => return block_on(relay()),
        _ => {}
    }
    let only = |name: &str| at == name || !["memory", "messages", "deaths"].contains(&at.as_str());
    if only("memory") {
        memory()?;
    }
    if only("messages") {
        messages()?;
    }
    if only("deaths") {
        deaths()?;
    }
    Ok(())
}
