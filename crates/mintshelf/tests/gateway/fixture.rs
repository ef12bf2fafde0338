//! A daemon with one cluster and one route.

use mintshelf_test_support::{connect, free_address, read_to_close, Daemon};
use std::io::Write;
use std::net::SocketAddr;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A file with one cluster and one route that matches every request.
pub fn file(address: SocketAddr, servers: &[SocketAddr], more: &str) -> String {
    let servers: Vec<String> = servers.iter().map(|server| format!("\"{server}\"")).collect();
    format!(
        "listen = \"{address}\"\n[limits]\nmemory = \"32MiB\"\nsockets = 128\n\
         [clusters.c]\nendpoints = [{}]\nconnect-timeout = \"5s\"\n\
         [[routes]]\ncluster = \"c\"\n{more}\n",
        servers.join(", ")
    )
}

/// Starts a daemon with this file.
pub fn daemon(servers: &[SocketAddr], more: &str) -> Daemon {
    let address = free_address();
    Daemon::start(PROGRAM, address, &file(address, servers, more), &[])
}

/// Sends a request, and reads to the end of the connection.
pub fn send_and_read_to_close(address: SocketAddr, request: &str) -> String {
    let mut stream = connect(address).unwrap();
    let _ = stream.write_all(request.as_bytes());
    String::from_utf8_lossy(&read_to_close(&mut stream)).into_owned()
}
