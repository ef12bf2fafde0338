//! `platform_client ADDRESS RECORD NAME SECONDS CONNECTIONS PAUSE_MS TENANT CLASS`: an application
//! that uses its sidecar over so many connections, with one request at a time on each, and a pause of
//! up to `PAUSE_MS` between two. It records what each request was answered with.

use review_stand_ins::{argument, now_ms, number, record, Peer};
use std::io::Write;
use std::net::TcpStream;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

fn main() {
    let clients: Vec<JoinHandle<()>> = (0..number(5)).map(|index| spawn(move || run(index))).collect();
    for client in clients {
        client.join().expect("the client ends");
    }
}

/// How requests of a class look: method, further headers, client's time in milliseconds.
fn form(class: &str) -> (&'static str, bool, u64) {
    match class {
        "device-status" => ("GET", false, 1_200),
        "run-logs" => ("GET", false, 3_000),
        "queue-run" => ("POST", true, 4_000),
        "flash-device" => ("POST", false, 6_000),
        "pickup-settle" => ("POST", true, 1_100),
        "sale-tally" => ("POST", false, 1_100),
        other => panic!("no class {other}"),
    }
}

fn run(index: u64) {
    let (address, file, name, class) = (argument(1), argument(2), argument(3), argument(8));
    let end = Instant::now() + Duration::from_secs(number(4));
    let mut random = now_ms() as u64 ^ (index << 40);
    let mut peer: Option<Peer> = None;
    let mut sequence = 0u32;
    while Instant::now() < end {
        sequence += 1;
        let id = format!("{name}-{index}-{sequence}");
        record(&file, &format!("sent {id} {class}"));
        let sent = Instant::now();
        let answer = exchange(&mut peer, &address, &id, &class);
        let took = sent.elapsed().as_millis();
        record(&file, &format!("answered {id} {answer} after {took} ms"));
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let pause = (random >> 33) % (number(6) * 1000 + 1);
        sleep(Duration::from_micros(pause));
    }
}

fn exchange(peer: &mut Option<Peer>, address: &str, id: &str, class: &str) -> String {
    let (method, is_keyed, remaining_ms) = form(class);
    let tenant = argument(7);
    let key = if is_keyed { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    let body = if method == "POST" { "order" } else { "" };
    let length = match method {
        "POST" => format!("Content-Length: {}\r\n", body.len()),
        _ => String::new(),
    };
    let request = format!(
        "{method} /api HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
         X-Org: {tenant}\r\nX-Remaining-Ms: {remaining_ms}\r\n{key}{length}\r\n{body}"
    );
    let mut connection = match peer.take() {
        Some(connection) => connection,
        None => match TcpStream::connect(address) {
            Ok(stream) => Peer::new(stream),
            Err(error) => return format!("nothing ({error})"),
        },
    };
    let wait = Duration::from_millis(remaining_ms + 1_000);
    connection.stream.set_read_timeout(Some(wait)).ok();
    if let Err(error) = connection.stream.write_all(request.as_bytes()) {
        return format!("nothing ({error})");
    }
    match connection.read() {
        Ok(Some(answer)) => {
            let closes = answer.header("connection").is_some_and(|value| value == "close");
            let text = format!("{} {:?}", answer.status(), answer.text());
            if !closes {
                *peer = Some(connection);
            }
            text
        }
        Ok(None) => "nothing (closed)".to_string(),
        Err(error) => format!("nothing ({error})"),
    }
}
