//! A load-balancing sidecar: one process beside each client process.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use mintshelf_config::platform::Config;
use mintshelf_proxy::driver::Driver;
use mintshelf_proxy::inbound::{listen, Inbound};
use mintshelf_proxy::limits::Limits;
use mintshelf_proxy::peers::Peers;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// How long past the longest deadline a planned end takes at least: clients go
/// on connecting for a while, and every request they send is answered.
const STAY: Duration = Duration::from_secs(1);
/// How often the end looks whether the last client has gone.
const END_CHECK: Duration = Duration::from_millis(50);

async fn run() -> Result<(), String> {
    let file = std::env::var_os("RELAY_CONFIG").ok_or("environment: RELAY_CONFIG: is not set")?;
    let file = PathBuf::from(file);
    let config = Config::read(&file).map_err(|e| e.to_string())?;
    let unusable = |field: &str, e: std::io::Error| format!("{}: {field}: {e}", file.display());
    // Danger: taken before anything else, so that an early SIGTERM is not deadly.
    let mut terminated = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let peers = match config.peer_listen.filter(|_| config.settings.peers) {
        None => None,
        Some(address) => {
            let peers = Peers::bind(address, config.peers.clone(), config.peers_all).await;
            Some(peers.map_err(|e| unusable("peer_listen", e))?)
        }
    };
    let listener = listen(config.listen).map_err(|e| unusable("listen", e))?;
    let limits = Limits::new(&config);
    let draining = CancellationToken::new();
    let driver = Driver::start(&config, &limits, peers);
    let deadlines = config.settings.classes.iter().map(|class| class.deadline);
    let stay = Duration::from_nanos(deadlines.max().unwrap_or(0)) + STAY;
    let Config { name, listen, settings, names, .. } = config;
    let inbound = Inbound::new(driver.clone(), settings, names, &limits, draining.clone());
    eprintln!("mintshelf: {name} listens on {listen}");
    let reloads = async {
        while reload.recv().await.is_some() {
            match Config::read(&file) {
                Ok(new) => {
                    eprintln!("mintshelf: {name} reloads; discovery is {}", new.discovery);
                    driver.move_discovery(new.discovery);
                }
                // What was in force stays in force.
                Err(what) => eprintln!("mintshelf: not reloaded: {what}"),
            }
        }
    };
    let end = async {
        terminated.recv().await;
        draining.cancel();
        sleep(stay).await;
        while !inbound.is_empty() {
            sleep(END_CHECK).await;
        }
    };
    tokio::select! {
        () = inbound.accept(listener) => {}
        () = driver.run() => {}
        () = reloads => {}
        () = end => {}
    }
    Ok(())
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime
        .map_err(|e| format!("runtime: {e}"))
        .and_then(|runtime| LocalSet::new().block_on(&runtime, run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("mintshelf: {what}");
            ExitCode::FAILURE
        }
    }
}
