//! A server sends a second copy of some answers a few milliseconds later, when nothing else waits on
//! the connection: does a client get another request's answer?

use crate::harness::{free_address, sleep_ms, Run};
use crate::http::{ask_on, Answer, Reader};
use crate::platform::{answer_probe, config, message, start_sidecar, Discovery, Settings, Target};
use crate::relay;
use crate::Outcome;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One answer in so many gets a second copy.
const COPY_EVERY: u64 = 20;
/// The second copy comes so much later.
const LATE: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Counts {
    answers: AtomicU64,
    copies: AtomicU64,
    withheld: AtomicU64,
}

/// One bench node. A second copy is sent only while nothing else waits on the connection.
fn serve_node(run: &Arc<Run>, address: SocketAddr, name: String, counts: Arc<Counts>) {
    let listener = TcpListener::bind(address).expect("node's port");
    let run = run.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let (run, name, counts) = (run.clone(), name.clone(), counts.clone());
            thread::spawn(move || serve_connection(&run, stream, &name, &counts));
        }
    });
}

fn serve_connection(run: &Arc<Run>, stream: TcpStream, name: &str, counts: &Counts) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.request() {
        if let Some(goes_on) = answer_probe(&request, &mut out) {
            if goes_on {
                continue;
            }
            return;
        }
        let id = request.header("x-txn").unwrap_or("").to_string();
        sleep_ms(10);
        let body = format!("answer to {id} from {name}\n");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
        let number = counts.answers.fetch_add(1, Ordering::Relaxed);
        if !run.trouble || number % COPY_EVERY != 0 {
            continue;
        }
        thread::sleep(LATE);
        // Nothing else may wait on the connection.
        let _ = reader.stream.set_nonblocking(true);
        let is_idle = reader
            .stream
            .peek(&mut [0])
            .is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        let _ = reader.stream.set_nonblocking(false);
        if is_idle {
            run.log(format!("{name}: second copy of the answer to {id}"));
            counts.copies.fetch_add(1, Ordering::Relaxed);
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        } else {
            counts.withheld.fetch_add(1, Ordering::Relaxed);
        }
    }
}

pub fn play(run: &Arc<Run>) -> Outcome {
    let counts = Arc::new(Counts::default());
    let targets: Vec<Target> = (0..6)
        .map(|index| {
            let address = free_address();
            serve_node(run, address, format!("node{index}"), counts.clone());
            // One way: 0.7 to 1.3 ms between the sites, 0.16 to 0.31 ms within one.
            let (zone, delay) = if index % 2 == 0 { ("ariana", 1_000) } else { ("charguia", 300) };
            let endpoint = relay::start(address, Duration::from_micros(delay));
            Target { uid: format!("s-{index}"), endpoint, zone, cell: index / 3, state: "SERVING" }
        })
        .collect();
    let discovery = Discovery::start(run, targets);
    let listen = free_address();
    let text =
        config(listen, discovery.address, &discovery.known(), 0x8c1f_30d2, &Settings::default());
    let mut sidecar = start_sidecar(run, "sidecar", listen, discovery.address, &text)?;
    let until = Instant::now() + Duration::from_secs(20);
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..6u32)
        .map(|client| {
            let (run, foreign) = (run.clone(), foreign.clone());
            thread::spawn(move || {
                let (mut served, mut other, mut number) = (0, 0, 0u32);
                let Ok(stream) = TcpStream::connect(listen) else { return (0, 0) };
                let mut reader = Reader::new(stream);
                while Instant::now() < until {
                    number += 1;
                    let id = format!("{client:04x}{number:012x}");
                    let class = if number % 3 == 0 { "flash-device" } else { "device-status" };
                    let message = message(class, &id, 1_100, "", "image");
                    match ask_on(&mut reader, &message, Duration::from_millis(1_600)) {
                        Answer::Whole { status: 200, body, .. } => {
                            let body = String::from_utf8_lossy(&body).to_string();
                            if body.starts_with(&format!("answer to {id} ")) {
                                served += 1;
                            } else {
                                run.log(format!(
                                    "client {client}: {class} {id} was served: {body:?}"
                                ));
                                foreign.lock().expect("foreign").push(id);
                            }
                        }
                        Answer::Whole { .. } => other += 1,
                        answer => {
                            run.log(format!("client {client}: {class} {id}: {}", answer.text()));
                            other += 1;
                            let Ok(stream) = TcpStream::connect(listen) else {
                                return (served, other);
                            };
                            reader = Reader::new(stream);
                        }
                    }
                    sleep_ms(5);
                }
                (served, other)
            })
        })
        .collect();
    let results: Vec<(u32, u32)> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let served: u32 = results.iter().map(|(served, _)| served).sum();
    let other: u32 = results.iter().map(|(_, other)| other).sum();
    if sidecar.has_ended() {
        return Err(format!("the sidecar has ended: {}", run.output_of("sidecar")));
    }
    let foreign = foreign.lock().expect("foreign").len();
    run.log(format!(
        "answers of nodes: {}, second copies: {}, withheld because another request waited: {}",
        counts.answers.load(Ordering::Relaxed),
        counts.copies.load(Ordering::Relaxed),
        counts.withheld.load(Ordering::Relaxed),
    ));
    run.log(format!(
        "served {served}, not served {other}, served with another request's answer {foreign}"
    ));
    if served == 0 {
        return Err("nothing was served".into());
    }
    Ok(foreign == 0)
}
