//! The failure of a server with a thousand sockets open.

use super::common::{block_on, Process};
use super::deployment::{metric, open, signal, start, Deployment};
use super::io::{read, read_head, write};
use super::{BenchError, DAEMON, ROUND_DURATION};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Reads a socket to its end, and records when it closed and with which code.
async fn record_close(stream: TcpStream, closes: Rc<RefCell<Vec<(Instant, u16)>>>) {
    let (mut received, mut buffer) = (Vec::new(), [0; 512]);
    loop {
        let code = match read(&stream, &mut buffer).await {
            Ok(count @ 1..) => {
                received.extend_from_slice(&buffer[..count]);
                let mut code = None;
                while received.len() >= 2 && received.len() >= 2 + usize::from(received[1]) {
                    let length = usize::from(received[1]);
                    if received[0] == 0x89 {
                        let mut pong = vec![0x8a, 0x80 | length as u8, 0, 0, 0, 0];
                        pong.extend_from_slice(&received[2..2 + length]);
                        let _ = write(&stream, &pong).await;
                    } else if received[0] == 0x88 {
                        code = Some(u16::from_be_bytes([received[2], received[3]]));
                        let _ = write(&stream, &[0x88, 0x82, 0, 0, 0, 0, received[2], received[3]])
                            .await;
                    }
                    received.drain(..2 + length);
                }
                code
            }
            _ => Some(1006),
        };
        if let Some(code) = code {
            closes.borrow_mut().push((Instant::now(), code));
            return;
        }
    }
}

/// Sends plain requests at a steady rate until stopped, and records their latencies.
async fn send_requests(
    times: Rc<RefCell<Vec<f64>>>,
    stopped: Rc<Cell<bool>>,
) -> Result<(), BenchError> {
    let stream = TcpStream::connect(DAEMON).await?;
    stream.set_nodelay(true)?;
    while !stopped.get() {
        let started_at = Instant::now();
        write(&stream, b"GET /plain HTTP/1.1\r\nHost: a\r\n\r\n").await?;
        let response = read_head(&stream).await?;
        let latency = if response.starts_with(b"HTTP/1.1 200") {
            started_at.elapsed()
        } else {
            ROUND_DURATION
        };
        times.borrow_mut().push(latency.as_secs_f64() * 1e3);
        sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Plain requests of ten clients for some seconds; their sorted latencies in milliseconds.
async fn request_times(seconds: f64) -> Vec<f64> {
    let times = Rc::new(RefCell::new(Vec::new()));
    let stop = Rc::new(Cell::new(false));
    for _ in 0..10 {
        let (times, stop) = (times.clone(), stop.clone());
        spawn_local(async move {
            let _ = send_requests(times, stop).await;
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

/// Kills a server, stops it, or stops it for increasing times and then for good.
async fn cause_failure(server: &Process, failure: &str) {
    if failure == "killed" {
        signal(server, "KILL");
        return;
    }
    if failure == "slow to death" {
        for stopped_ms in [20u64, 60, 150] {
            signal(server, "STOP");
            sleep(Duration::from_millis(stopped_ms)).await;
            signal(server, "CONT");
            sleep(Duration::from_millis(100)).await;
        }
    }
    signal(server, "STOP");
}

/// Sockets that had migrated at a time after the failure.
struct Sample {
    seconds: f64,
    migrated: f64,
}

/// Samples the number of migrated sockets until stopped.
async fn sample_migrations(started_at: Instant, stopped: Rc<Cell<bool>>) -> Vec<Sample> {
    let mut samples = Vec::new();
    while !stopped.get() {
        // On a thread of its own, so that this event loop goes on.
        let metric = tokio::task::spawn_blocking(|| metric("mintshelf_sockets_moved_total"));
        let migrated = metric.await.unwrap_or(0.0);
        samples.push(Sample { seconds: started_at.elapsed().as_secs_f64(), migrated });
        sleep(Duration::from_millis(250)).await;
    }
    samples
}

/// A summary of the migrations after a failure.
struct Migrations {
    count: f64,
    /// When the last one was observed, in seconds after the failure.
    last_seconds: f64,
    /// Highest rate of migrations a second.
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

/// One failure of one of three servers, with a number of sockets open.
async fn fail_server(
    deployment: &Deployment,
    failure: &str,
    sockets: usize,
    resume: bool,
) -> Result<(), BenchError> {
    let closes = Rc::new(RefCell::new(Vec::new()));
    for _ in 0..sockets {
        let stream = open(DAEMON).await?;
        spawn_local(record_close(stream, closes.clone()));
    }
    let before_failure = request_times(8.0).await;
    let at_node = metric("mintshelf_endpoint_sockets{cluster=\"c\",endpoint=\"127.0.93.1:19301\"}");
    let started_at = Instant::now();
    cause_failure(&deployment.servers[0], failure).await;
    let stopped = Rc::new(Cell::new(false));
    let watch = spawn_local(sample_migrations(started_at, stopped.clone()));
    let after_failure = request_times(8.0).await;
    stopped.set(true);
    let migrations = Migrations::of(&watch.await.unwrap_or_default());
    let closes = closes.take();
    let last_close = closes.iter().map(|(at, _)| at.duration_since(started_at).as_secs_f64());
    let last_close = last_close.fold(0.0, f64::max);
    let closed_with_1012 = closes.iter().filter(|(_, code)| *code == 1012).count();
    let last_migration = if migrations.count > 0.0 { migrations.last_seconds } else { 0.0 };
    println!(
        "{failure:>14} {:>8} {at_node:>8.0} {:>6.0} {:>7} {closed_with_1012:>6} {:>12.2} {:>12.0} {:>9.2} {:>9.2} {:>7.2}",
        match (sockets, resume) {
            (0, _) => "none",
            (_, true) => "moved",
            _ => "closed",
        },
        migrations.count,
        closes.len(),
        last_close.max(last_migration),
        migrations.max_rate,
        p99(&before_failure),
        p99(&after_failure),
        p99(&after_failure) / p99(&before_failure),
    );
    Ok(())
}

pub fn failures() -> Result<(), BenchError> {
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
    for failure in ["killed", "silent", "slow to death"] {
        // Without sockets: the effect of the failure on requests alone.
        for (sockets, resume) in [(0, false), (1000, false), (1000, true)] {
            let class = "ping-interval = \"1s\"\nping-timeout = \"1s\"";
            let websocket = if resume { "{ resume = \"handshake\" }" } else { "true" };
            let deployment = start("deaths", class, websocket)?;
            block_on(fail_server(&deployment, failure, sockets, resume))?;
            signal(&deployment.servers[0], "CONT");
        }
    }
    Ok(())
}
