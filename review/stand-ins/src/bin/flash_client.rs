//! `flash_client ADDRESS RECORD FIRST COUNT`: so many clients, each with an order to flash a device,
//! a request of a class that must never run twice. A client sends its order again after a refusal
//! (429 or 503), twice at most, as a refusal says that this is harmless; after any other answer it
//! does not.

use review_stand_ins::{argument, number, record, Peer};
use std::io::Write;
use std::net::TcpStream;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

fn main() {
    let (first, count) = (number(3), number(4));
    let clients: Vec<JoinHandle<()>> =
        (first..first + count).map(|order| spawn(move || flash(order))).collect();
    for client in clients {
        client.join().expect("the client ends");
    }
}

fn flash(order: u64) {
    let file = argument(2);
    sleep(Duration::from_millis(order % 10 * 20));
    for attempt in 0..3 {
        let id = format!("order-{order} try-{attempt}");
        record(&file, &format!("sent {id}"));
        let answer = exchange(order, attempt);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let turned_away = answer.as_ref().and_then(|answer| answer.header("x-turned-away"));
        let turned_away = turned_away.map_or(String::new(), |value| format!(" X-Turned-Away: {value}"));
        let text = answer.as_ref().map_or(String::new(), |answer| answer.text());
        record(&file, &format!("answered {id} {status}{turned_away} {text:?}"));
        if !(status == 429 || status == 503) || attempt == 2 {
            return;
        }
        sleep(Duration::from_millis(500));
    }
}

fn exchange(order: u64, attempt: u64) -> Option<review_stand_ins::Message> {
    let stream = TcpStream::connect(argument(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let mut peer = Peer::new(stream);
    let request = format!(
        "POST /devices/{order}/flash HTTP/1.1\r\nHost: bench\r\nX-Order: order-{order} try-{attempt}\r\n\
         Content-Length: 5\r\n\r\nbuild"
    );
    peer.stream.write_all(request.as_bytes()).ok()?;
    peer.read().ok()?
}
