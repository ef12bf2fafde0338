//! Runs the replica of this process on its own thread.

use super::query::store_identity;
use crate::runtime::current_thread_runtime;
use mintshelf_config::model::FleetConfig;
use mintshelf_consensus_node::node::{Node, NodeError};
use mintshelf_consensus_node::node_config::NodeConfig;
use mintshelf_consensus_node::store::{OpenedStore, Store, StoreContent};
use mintshelf_consensus_node::store_error::StoreError;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread::{self, JoinHandle};
use thiserror::Error;
use tokio::runtime::Runtime;
use tokio::sync::{oneshot, watch};

/// An error that prevents the replica from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// This replica has no directory. The validation of the file rules this out.
    #[error("this voter has no directory")]
    NoDirectory,
    /// The store can't be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store is empty.
    #[error(
        "{}: the store is empty. In a new fleet, run 'mintshelf fleet init --config FILE' once at \
         each voter. If this voter has voted before, its store is lost: do not initialize it \
         again, since it could contradict its earlier votes",
        directory.display()
    )]
    EmptyStore {
        /// Directory of the store.
        directory: PathBuf,
    },
    /// This replica has no address. The validation of the file rules this out.
    #[error("the file has no address for this voter")]
    NoAddress,
    /// The address can't be listened on.
    #[error("can't listen on the fleet address {address}: {source}")]
    Listen {
        /// The configured fleet address of this replica, which can't be listened on.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The asynchronous runtime can't be started.
    #[error("can't start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The thread can't be started.
    #[error("can't start the thread of the replica: {0}")]
    Thread(#[source] io::Error),
}

/// An error that stops the replica.
#[derive(Debug, Error)]
enum StopError {
    /// The replica's listening socket can't be registered with the asynchronous runtime.
    #[error(transparent)]
    Listener(#[from] io::Error),
    /// The node can't continue.
    #[error(transparent)]
    Node(#[from] NodeError),
}

/// The thread of the replica, separate from the threads that serve requests. Dropping it stops the
/// replica and waits for the thread.
#[must_use = "the replica is stopped when this is dropped"]
pub struct ReplicaThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for ReplicaThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic was printed by the thread itself.
            thread.join().ok();
        }
    }
}

/// Starts the replica of this process, if the process is one.
///
/// # Errors
/// Returns an error if its store is in use, belongs to another replica, is damaged or is empty, or
/// if its address is in use.
pub fn start(fleet: &FleetConfig) -> Result<Option<ReplicaThread>, StartError> {
    let Some(id) = fleet.id else { return Ok(None) };
    let directory = fleet.directory.as_deref().ok_or(StartError::NoDirectory)?;
    let OpenedStore { store, content } = Store::open(directory, &store_identity(fleet, id))?;
    let StoreContent::State(state) = content else {
        return Err(StartError::EmptyStore { directory: directory.to_owned() });
    };
    let mut peers = replicas_by_id(fleet);
    let address = peers.remove(&id).ok_or(StartError::NoAddress)?;
    let listener = listen(address).map_err(|source| StartError::Listen { address, source })?;
    let config = NodeConfig { fleet: fleet.fleet.clone(), id, peers, timing: fleet.timing };
    let runtime = current_thread_runtime().map_err(StartError::Runtime)?;
    let (stop, stopped) = oneshot::channel::<()>();
    let name = fleet.name.clone();
    let run = move || {
        let (status, _) = watch::channel(None);
        let node = |listener| Node { config, store, state: *state, listener, status };
        match run_node(&runtime, node, listener, stopped) {
            Ok(()) => tracing::info!(replica = name, "replica stopped"),
            // Requests are still served, since none depends on the fleet.
            Err(error) => tracing::error!(replica = name, %error, "replica stopped"),
        }
    };
    let thread = thread::Builder::new().name("fleet".into()).spawn(run);
    let thread = thread.map_err(StartError::Thread)?;
    tracing::info!(fleet = fleet.fleet, replica = fleet.name, %address, "replica started");
    Ok(Some(ReplicaThread { stop: Some(stop), thread: Some(thread) }))
}

/// Returns the addresses of all replicas, which are numbered from 1 in the order of the file.
fn replicas_by_id(fleet: &FleetConfig) -> BTreeMap<u64, SocketAddr> {
    (1..).zip(fleet.voters.iter().map(|voter| voter.address)).collect()
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn run_node(
    runtime: &Runtime,
    node: impl FnOnce(tokio::net::TcpListener) -> Node,
    listener: TcpListener,
    stopped: oneshot::Receiver<()>,
) -> Result<(), StopError> {
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        // Dropping the sender stops the node.
        let stop = async { drop(stopped.await) };
        Ok(node(listener).run(stop).await?)
    })
}
