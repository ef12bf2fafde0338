//! `mintshelf run`: runs the daemon with its admin listener, signal handlers and file watcher.

use crate::admin::AdminHandler;
use crate::config_file;
use crate::daemon::{Daemon, ReloadError};
use crate::fleet::{self, StartError};
use mintshelf_proxy::client::listener::listen;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::sleep;

/// Interval at which a watched file is checked for changes.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// An error that prevents the daemon from starting.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// A signal handler cannot be registered.
    #[error("can't register signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The configuration cannot be applied.
    #[error("{} is refused:\n{source}", path.display())]
    Configuration {
        /// Path of the operator's file.
        path: PathBuf,
        /// The reason why the configuration can't be applied.
        source: ReloadError,
    },
    /// The admin listener cannot be opened.
    #[error("can't listen on the admin address {address}: {source}")]
    AdminListener {
        /// Address of the admin listener.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The replica of this process cannot be started.
    #[error(transparent)]
    Replica(#[from] StartError),
}

/// The signals that the daemon handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn register() -> Result<Self, ServiceError> {
        let register = |kind| signal(kind).map_err(ServiceError::Signals);
        Ok(Signals {
            terminate: register(SignalKind::terminate())?,
            interrupt: register(SignalKind::interrupt())?,
            hangup: register(SignalKind::hangup())?,
        })
    }
}

/// Serves requests as configured by an operator's file until SIGTERM or SIGINT, then shuts down
/// gracefully.
///
/// # Errors
/// Returns an error if the daemon cannot start.
pub async fn run(path: PathBuf, watch: bool) -> Result<(), ServiceError> {
    let mut signals = Signals::register()?;
    // Taken before the file is read, so that a change in between is detected and reloaded.
    let version = FileVersion::of(&path);
    let configuration_error = |source| ServiceError::Configuration { path: path.clone(), source };
    let config = config_file::read(&path).map_err(|error| configuration_error(error.into()))?;
    let listeners = config.listeners.iter().map(|listener| listener.address.to_string());
    let addresses: Vec<String> = listeners.collect();
    let admin = config.admin;
    let fleet = config.fleet.clone();
    let daemon = Daemon::start(path.clone(), config).map_err(configuration_error)?;
    if let Some(address) = admin {
        serve_admin(&daemon, address)?;
    }
    let _replica = fleet.as_ref().map(fleet::start).transpose()?;
    tracing::info!(addresses = addresses.join(", "), "listening");
    tokio::select! {
        () = reload_on_signal(&daemon, &mut signals.hangup) => {}
        () = reload_on_change(&daemon, &path, version), if watch => {}
        () = daemon.warn_of_memory() => {}
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
    }
    tracing::info!("shutting down");
    daemon.shut_down().await;
    Ok(())
}

fn serve_admin(daemon: &Rc<Daemon>, address: SocketAddr) -> Result<(), ServiceError> {
    let opened = listen(address);
    let listener = opened.map_err(|source| ServiceError::AdminListener { address, source })?;
    daemon.serve(Rc::new(AdminHandler { daemon: daemon.clone() }), listener);
    Ok(())
}

async fn reload_on_signal(daemon: &Daemon, hangup: &mut Signal) {
    while hangup.recv().await.is_some() {
        daemon.reload();
    }
}

async fn reload_on_change(daemon: &Daemon, path: &Path, mut applied: Option<FileVersion>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        let current = FileVersion::of(path);
        if current.is_some() && current != applied {
            applied = current;
            daemon.reload();
        }
    }
}

/// Size and modification time, which distinguish versions of a file without reading it.
#[derive(PartialEq, Eq)]
struct FileVersion {
    bytes: u64,
    modified: SystemTime,
}

impl FileVersion {
    /// Returns the current version, or `None` if the file's metadata cannot be read.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileVersion { bytes: metadata.len(), modified: metadata.modified().ok()? })
    }
}
