//! `mintshelf demo`: runs servers of different speed, a sidecar in front of them and clients, and
//! prints a table of their requests.

mod client;
mod counter;
mod server;

use crate::daemon::{Daemon, ReloadError};
use client::ClientStats;
use mintshelf_config::file;
use mintshelf_config::problem::Problem;
use server::{ServerStats, SERVERS};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep};

/// Number of simulated clients that send requests in the demo.
const CLIENTS: usize = 12;
/// Interval between rows of the table.
const TABLE_INTERVAL: Duration = Duration::from_secs(1);

/// An error that prevents the demo from starting.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A server cannot listen.
    #[error("can't start a demo server: {0}")]
    Server(#[from] io::Error),
    /// The sidecar's configuration has problems.
    #[error("{0:?}")]
    Config(Vec<Problem>),
    /// The sidecar's configuration cannot be applied.
    #[error(transparent)]
    Start(#[from] ReloadError),
}

/// Runs the demo for the given time, or until Ctrl-C.
///
/// # Errors
/// Returns an error if a server or the sidecar cannot start.
pub async fn run(duration: Option<Duration>, listen: SocketAddr) -> Result<(), DemoError> {
    let servers: Vec<Rc<ServerStats>> = SERVERS.iter().map(|_| Rc::default()).collect();
    let mut endpoints = Vec::new();
    for (server, stats) in SERVERS.iter().zip(&servers) {
        let address = server::start(server, stats.clone()).await?;
        endpoints.push(format!("{{ name = \"{}\", address = \"{address}\" }}", server.name));
    }
    let _daemon = start_sidecar(listen, &endpoints)?;
    let clients = Rc::new(ClientStats::default());
    for _ in 0..CLIENTS {
        spawn_local(client::run(listen, clients.clone()));
    }
    println!(
        "sidecar listening on {listen}, in front of {} servers; to send a request:",
        SERVERS.len()
    );
    println!("    curl -i http://{listen}/\n");
    tokio::select! {
        () = wait_for_end(duration) => {}
        () = print_table(&servers, &clients) => {}
    }
    let succeeded = clients.succeeded.get();
    let failed = clients.failed.get();
    println!("\n{succeeded} requests answered 200, {failed} otherwise");
    Ok(())
}

fn start_sidecar(listen: SocketAddr, endpoints: &[String]) -> Result<Rc<Daemon>, DemoError> {
    let text = format!(
        "listen = \"{listen}\"\n[clusters.demo]\nendpoints = [{}]\n[[routes]]\ncluster = \"demo\"\n",
        endpoints.join(", ")
    );
    let config = file::parse("demo", text.as_bytes()).map_err(DemoError::Config)?;
    Ok(Daemon::start(PathBuf::from("demo"), config)?)
}

async fn wait_for_end(duration: Option<Duration>) {
    match duration {
        Some(duration) => sleep(duration).await,
        // If the signal handler cannot be registered, the demo ends at once.
        None => drop(tokio::signal::ctrl_c().await),
    }
}

/// Prints a row each second: responses of each server, successful responses to clients, and the
/// mean response time of all clients.
async fn print_table(servers: &[Rc<ServerStats>], clients: &ClientStats) {
    let headings = SERVERS.map(|server| format!("{} ({} ms)", server.name, server.service_ms));
    println!("{:>26}  {:>8} {:>8}", "responses a second from", "clients", "mean");
    println!(
        "{}  {:>8} {:>8}",
        headings.map(|heading| format!("{heading:>16}")).join(""),
        "200",
        "ms"
    );
    let mut ticks = interval(TABLE_INTERVAL);
    ticks.tick().await;
    loop {
        let served_before: Vec<u64> = servers.iter().map(|stats| stats.served.get()).collect();
        let clients_before = clients.clone();
        ticks.tick().await;
        let served = servers.iter().zip(served_before);
        let served = served.map(|(stats, before)| format!("{:>16}", stats.served.get() - before));
        let succeeded = clients.succeeded.get() - clients_before.succeeded.get();
        let failed = clients.failed.get() - clients_before.failed.get();
        let total_ms = clients.total_ms.get() - clients_before.total_ms.get();
        let mean_ms = total_ms / (succeeded + failed).max(1);
        println!("{}  {succeeded:>8} {mean_ms:>8}", served.collect::<String>());
    }
}
