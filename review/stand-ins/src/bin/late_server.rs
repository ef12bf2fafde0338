//! `late_server ADDRESS RECORD NAME WORK_MS EVERY LATE_MS`: a bench node on the platform. It turns one
//! request in six away, unseen, as its queue is full. It runs the others, and its answer is made for
//! the request: the body names its `X-Txn`. Behind one of `EVERY` answers it writes a second copy,
//! `LATE_MS` later, if nothing else waits on the connection then. With `EVERY` 0 it writes none.

use review_stand_ins::{argument, number, record, response, Peer};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

static REQUESTS: AtomicU64 = AtomicU64::new(0);
static ANSWERS: AtomicU64 = AtomicU64::new(0);

fn main() {
    let listener = TcpListener::bind(argument(1)).expect("the address is free");
    for stream in listener.incoming().flatten() {
        spawn(move || serve(stream));
    }
}

fn serve(stream: TcpStream) {
    let (file, name, every) = (argument(2), argument(3), number(5));
    let mut peer = Peer::new(stream);
    while let Ok(Some(request)) = peer.read() {
        if request.target().starts_with("/-/") {
            let report = response("200 OK", "", "node eps=0, queue=0, inflight=1");
            if peer.stream.write_all(&report).is_err() {
                return;
            }
            continue;
        }
        let Some(id) = request.header("x-txn").map(str::to_string) else {
            peer.stream.write_all(&response("404 Not Found", "", "no id")).ok();
            return;
        };
        let answer = if REQUESTS.fetch_add(1, Ordering::Relaxed) % 6 == 5 {
            record(&file, &format!("turned-away {id} at {name}"));
            response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "queue full")
        } else {
            record(&file, &format!("runs {id} at {name}"));
            sleep(Duration::from_millis(number(4)));
            response("200 OK", "", &format!("made for {id}"))
        };
        if peer.stream.write_all(&answer).is_err() {
            return;
        }
        if every > 0 && ANSWERS.fetch_add(1, Ordering::Relaxed) % every == every - 1 {
            sleep(Duration::from_millis(number(6)));
            if !peer.has_more() {
                record(&file, &format!("second-copy for {id} at {name}"));
                if peer.stream.write_all(&answer).is_err() {
                    return;
                }
            }
        }
    }
}
