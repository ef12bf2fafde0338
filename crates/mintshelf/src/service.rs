//! The daemon as a program: its admin listener, its signals, its watched file.

use crate::admin::Admin;
use crate::daemon::{read, Daemon, Refused};
use crate::fleet;
use mintshelf_proxy::client::listener::listen;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

/// How often a watched file is looked at.
const WATCH: Duration = Duration::from_secs(1);

/// Looks whether a file has changed, by its text's length and time.
fn stamp(path: &Path) -> Option<(u64, SystemTime)> {
    let about = std::fs::metadata(path).ok()?;
    Some((about.len(), about.modified().ok()?))
}

/// Serves a file until SIGTERM or SIGINT.
pub async fn run(path: PathBuf, watch: bool) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let mut terminated = signals(SignalKind::terminate())?;
    let mut interrupted = signals(SignalKind::interrupt())?;
    let mut hung_up = signals(SignalKind::hangup())?;
    let refused = |lines: Refused| format!("{} is refused:\n{}", path.display(), lines.join("\n"));
    let mut seen = stamp(&path);
    let file = read(&path).map_err(refused)?;
    let addresses: Vec<String> = file.listeners.iter().map(|l| l.address.to_string()).collect();
    let admin = file.admin;
    let fleet = file.fleet.clone();
    let daemon = Daemon::start(path.clone(), file).map_err(refused)?;
    if let Some(address) = admin {
        let listener = listen(address).map_err(|e| format!("admin {address}: {e}"))?;
        daemon.also(Rc::new(Admin { daemon: daemon.clone() }), listener);
    }
    let replica = fleet.as_ref().map(fleet::start).transpose();
    let _replica_thread = replica.map_err(|error| error.to_string())?;
    tracing::info!(addresses = addresses.join(", "), "listening");
    let reloads = async {
        while hung_up.recv().await.is_some() {
            daemon.reload();
        }
    };
    let watches = async {
        loop {
            sleep(WATCH).await;
            let now = stamp(&path).filter(|_| watch);
            if now.is_some() && now != seen {
                seen = now;
                daemon.reload();
            }
        }
    };
    tokio::select! {
        () = reloads => {}
        () = watches => {}
        _ = terminated.recv() => {}
        _ = interrupted.recv() => {}
    }
    tracing::info!("shutting down");
    daemon.end().await;
    Ok(())
}
