//! `delay_proxy ADDRESS TARGET MICROS`: a link on which each byte takes so long, either way.

use review_stand_ins::{argument, number};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

fn main() {
    let listener = TcpListener::bind(argument(1)).expect("the address is free");
    for near in listener.incoming().flatten() {
        let Ok(far) = TcpStream::connect(argument(2)) else { continue };
        near.set_nodelay(true).ok();
        far.set_nodelay(true).ok();
        let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else { continue };
        carry(near, far);
        carry(far_again, near_again);
    }
}

/// Carries bytes one way, and the end behind them.
fn carry(mut from: TcpStream, mut to: TcpStream) {
    let delay = Duration::from_micros(number(3));
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        let mut part = [0; 16384];
        while let Ok(count) = from.read(&mut part) {
            if sender.send((Instant::now() + delay, part[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
    spawn(move || {
        for (due, part) in receiver {
            sleep(due.saturating_duration_since(Instant::now()));
            if part.is_empty() || to.write_all(&part).is_err() {
                break;
            }
        }
        to.shutdown(Shutdown::Both).ok();
    });
}
