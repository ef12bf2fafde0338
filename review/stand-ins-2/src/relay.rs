//! A TCP relay that delivers bytes after a fixed time each way, as the network between two sites does.

use crate::harness::free_address;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Starts a relay to `target`; returns its address.
pub fn start(target: SocketAddr, delay: Duration) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).expect("relay's port");
    thread::spawn(move || {
        for near in listener.incoming() {
            let Ok(near) = near else { continue };
            thread::spawn(move || {
                let Ok(far) = TcpStream::connect(target) else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                let there = thread::spawn(move || forward(near, far_out, delay));
                forward(far, near_out, delay);
                let _ = there.join();
            });
        }
    });
    address
}

type Queue = Arc<(Mutex<VecDeque<(Instant, Vec<u8>)>>, Condvar)>;

fn forward(mut from: TcpStream, to: TcpStream, delay: Duration) {
    let queue: Queue = Queue::default();
    let writer = {
        let queue = queue.clone();
        thread::spawn(move || deliver(&queue, to))
    };
    let mut part = [0; 16384];
    loop {
        let count = from.read(&mut part).unwrap_or(0);
        let (items, wake) = &*queue;
        items.lock().expect("queue").push_back((Instant::now() + delay, part[..count].to_vec()));
        wake.notify_one();
        if count == 0 {
            break;
        }
    }
    let _ = writer.join();
}

/// Writes each part at its time; an empty one is the end.
fn deliver(queue: &Queue, mut to: TcpStream) {
    loop {
        let (items, wake) = &**queue;
        let mut items = items.lock().expect("queue");
        while items.is_empty() {
            items = wake.wait(items).expect("queue");
        }
        let Some((at, bytes)) = items.pop_front() else { continue };
        drop(items);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if bytes.is_empty() || to.write_all(&bytes).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
