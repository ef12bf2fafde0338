//! A daemon with one class, one cluster and one route.

use mintshelf_test_support::{free_address, Daemon};
use std::net::SocketAddr;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

pub fn endpoints(servers: &[SocketAddr]) -> String {
    let addresses: Vec<String> = servers.iter().map(|address| format!("\"{address}\"")).collect();
    format!("endpoints = [{}]", addresses.join(", "))
}

/// A file with a class, a cluster of these servers, and a route of the class to the cluster.
fn file(
    address: SocketAddr,
    admin: SocketAddr,
    servers: &[SocketAddr],
    class: &str,
    cluster: &str,
) -> String {
    format!(
        "listen = \"{address}\"\n[limits]\nsockets = 512\n[admin]\naddress = \"{admin}\"\n\
         [classes.c]\n{class}\n[clusters.c]\n{}\n{cluster}\n\
         [[routes]]\nclass = \"c\"\ncluster = \"c\"\n",
        endpoints(servers)
    )
}

pub fn daemon(servers: &[SocketAddr], class: &str, cluster: &str) -> (Daemon, SocketAddr) {
    let (address, admin) = (free_address(), free_address());
    (Daemon::start(PROGRAM, address, &file(address, admin, servers, class, cluster), &[]), admin)
}
