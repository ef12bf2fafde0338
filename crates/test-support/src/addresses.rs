//! Loopback addresses that no two tests share.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port given out; it lies below the ports that the kernel gives out.
const FIRST_PORT: u16 = 19_007;
/// Host addresses given out with one port before the next port is used.
const HOSTS_PER_PORT: u16 = 250;

/// A loopback address that no other test uses.
///
/// Binding it first to see whether it is free would not help: a child process that another test
/// starts at that moment holds a copy of the socket until it runs its program.
///
/// # Panics
/// Never: host addresses are below 256.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [low_byte, second_byte, ..] = std::process::id().to_le_bytes();
    let network = 10 + second_byte % 200;
    let host = u8::try_from(number % HOSTS_PER_PORT + 1).unwrap();
    let ip = Ipv4Addr::new(127, network, low_byte, host);
    (ip, FIRST_PORT + number / HOSTS_PER_PORT).into()
}
