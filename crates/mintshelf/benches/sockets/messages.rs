//! Messages there and back, through the daemon and through the relay.

use super::common::{block_on, wait_for};
use super::deployment::{child, open, start};
use super::io::{read, write};
use super::{BenchError, DAEMON, RELAY, ROUND_DURATION};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

const ROUNDS: usize = 5;

/// A client that sends a message and reads its echo, one after another.
async fn send_messages(
    stream: TcpStream,
    end: Instant,
    times: Rc<RefCell<Vec<Duration>>>,
    size: usize,
) {
    let mut frame = vec![0x82, 0x80 | size as u8, 1, 2, 3, 4];
    frame.resize(6 + size, 7);
    let mut buffer = [0; 4096];
    while Instant::now() < end {
        let started_at = Instant::now();
        let mut remaining = 2 + size;
        if write(&stream, &frame).await.is_err() {
            return;
        }
        while remaining > 0 {
            match read(&stream, &mut buffer).await {
                Ok(count @ 1..) => remaining = remaining.saturating_sub(count),
                _ => return,
            }
        }
        times.borrow_mut().push(started_at.elapsed());
    }
}

async fn measure_messages(to: &str, clients: usize) -> Result<[f64; 3], BenchError> {
    let times = Rc::new(RefCell::new(Vec::new()));
    let mut streams = Vec::new();
    for _ in 0..clients {
        streams.push(open(to).await?);
    }
    let end = Instant::now() + ROUND_DURATION;
    let all: Vec<_> = streams
        .into_iter()
        .map(|stream| spawn_local(send_messages(stream, end, times.clone(), 100)))
        .collect();
    for one in all {
        one.await?;
    }
    let mut times = times.take();
    times.sort_unstable();
    let micros = |share: f64| times[(times.len() as f64 * share) as usize].as_secs_f64() * 1e6;
    Ok([times.len() as f64 / ROUND_DURATION.as_secs_f64(), micros(0.5), micros(0.99)])
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

pub fn messages() -> Result<(), BenchError> {
    println!(
        "\n64 sockets, messages of 100 bytes there and back, {ROUNDS} rounds of {ROUND_DURATION:?}"
    );
    println!("in turns, medians");
    let deployment = start("messages", "", "true")?;
    let own_program = std::env::current_exe()?;
    let relay = child(own_program.to_str().ok_or("the program's path")?, &[], "relay")?;
    wait_for(RELAY);
    let mut rows: [Vec<[f64; 3]>; 2] = Default::default();
    for _ in 0..ROUNDS {
        for (address, rows) in [RELAY, DAEMON].into_iter().zip(&mut rows) {
            rows.push(block_on(measure_messages(address, 64))?);
        }
    }
    drop((relay, deployment));
    println!("{:>16} {:>12} {:>10} {:>10}", "", "messages/s", "p50 us", "p99 us");
    let all = rows.map(|rows| [0, 1, 2].map(|at| median(rows.iter().map(|row| row[at]).collect())));
    for (name, [rate, p50, p99]) in ["bare TCP relay", "mintshelf"].into_iter().zip(all) {
        println!("{name:>16} {rate:>12.0} {p50:>10.0} {p99:>10.0}");
    }
    let [relay, daemon] = all;
    let ratio = [0, 1, 2].map(|at| daemon[at] / relay[at]);
    println!("{:>16} {:>12.2} {:>10.2} {:>10.2}", "ratio", ratio[0], ratio[1], ratio[2]);
    Ok(())
}
