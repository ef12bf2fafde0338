//! A replica as it runs: it drives the replica by the clock, by frames and by its store.
//!
//! It wants a thread of its own: each write is synced in place, and nothing else may wait for it.

use crate::clock;
use crate::frame::{encode, Frame, NamedLease, PeerIdentity, StatusReport};
use crate::store::Store;
use crate::store_error::StoreError;
use crate::transport::{self, ConnectionEvent, ConnectionId};
use mintshelf_consensus::error::ReplicaError;
use mintshelf_consensus::message;
use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus::replica::{Replica, ReplicaStatus};
use mintshelf_consensus::write_batch::{ProposalId, ProposalResponse};
use mintshelf_lease::command::Command;
use mintshelf_lease::timing::Timing;
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, MissedTickBehavior};
use tokio_util::bytes::Bytes;

/// Events that wait for the replica; connections wait when the queue is full.
const EVENT_QUEUE_MAX: usize = 1_024;
/// Requests whose responses are pending; the oldest are dropped.
const PENDING_REQUESTS_MAX: usize = 8_192;

/// The configuration of a node.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of this replica, from 1.
    pub id: u64,
    /// Addresses of the other replicas, by number; of two replicas the one with the higher number
    /// dials.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Timeouts of the fleet.
    pub timing: Timing,
}

/// Why a node stopped.
#[derive(Debug, Error)]
pub enum NodeError {
    /// Its store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Its replica can't go on.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
}

/// What a node runs with.
#[derive(Debug)]
pub struct Node {
    /// Its configuration.
    pub config: NodeConfig,
    /// Its open store.
    pub store: Store,
    /// What the store held when it was opened.
    pub state: PersistentState,
    /// Listens on the address that the other replicas know.
    pub listener: TcpListener,
    /// Where the replica's status is published.
    pub status: watch::Sender<Option<ReplicaStatus>>,
}

impl Node {
    /// Runs the replica until `stop` is complete.
    ///
    /// # Errors
    /// The store fails, or is behind what the replica has acknowledged: the replica must not go
    /// on.
    pub async fn run(self, stop: impl Future<Output = ()>) -> Result<(), NodeError> {
        let Node { config, store, state, listener, status } = self;
        let replica: Replica = Replica::new(config.id, &state, &config.timing, store.opened())?;
        let (event_sender, mut events) = mpsc::channel(EVENT_QUEUE_MAX);
        let _connection_tasks = transport::spawn(&config, listener, &event_sender);
        drop(event_sender);
        let mut ticks = interval(Duration::from_nanos(replica.tick_interval()));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut driver = Driver::new(replica, store);
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => return Ok(()),
                _ = ticks.tick() => driver.replica.tick(clock::now()),
                Some(event) = events.recv() => {
                    driver.handle_event(event)?;
                    // Events that have arrived meanwhile share one write.
                    while let Ok(event) = events.try_recv() {
                        driver.handle_event(event)?;
                    }
                }
            }
            driver.write_batches()?;
            publish(&status, driver.replica.status());
        }
    }
}

fn publish(status: &watch::Sender<Option<ReplicaStatus>>, current: ReplicaStatus) {
    status.send_if_modified(|published| {
        let is_modified = *published != Some(current);
        *published = Some(current);
        is_modified
    });
}

/// An open connection.
struct OpenConnection {
    peer: PeerIdentity,
    outgoing: mpsc::Sender<Bytes>,
}

/// Where a response is to go.
struct Requester {
    connection: ConnectionId,
    request_id: u64,
}

/// Drives a replica by events, and by its store.
struct Driver {
    replica: Replica,
    store: Store,
    connections: HashMap<ConnectionId, OpenConnection>,
    /// The last connection of each other replica; it may be closed.
    replica_connections: BTreeMap<u64, ConnectionId>,
    pending_requests: BTreeMap<ProposalId, Requester>,
}

impl Driver {
    fn new(replica: Replica, store: Store) -> Self {
        Driver {
            replica,
            store,
            connections: HashMap::new(),
            replica_connections: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
        }
    }

    fn handle_event(&mut self, event: ConnectionEvent) -> Result<(), NodeError> {
        match event {
            ConnectionEvent::Opened { connection, peer, outgoing } => {
                self.open(connection, OpenConnection { peer, outgoing });
            }
            ConnectionEvent::Closed { connection } => {
                self.connections.remove(&connection);
            }
            ConnectionEvent::Received { connection, frame } => {
                self.handle_frame(connection, frame)?;
            }
        }
        Ok(())
    }

    fn open(&mut self, id: ConnectionId, connection: OpenConnection) {
        // A replica has one connection: its former one is closed at the other end.
        if let PeerIdentity::Replica(replica) = connection.peer {
            if let Some(former) = self.replica_connections.insert(replica, id) {
                self.connections.remove(&former);
            }
        }
        self.connections.insert(id, connection);
    }

    fn handle_frame(&mut self, id: ConnectionId, frame: Frame) -> Result<(), NodeError> {
        let Some(connection) = self.connections.get(&id) else { return Ok(()) };
        match (&connection.peer, frame) {
            (PeerIdentity::Replica(_), Frame::Raft(bytes)) => self.handle_raft(id, &bytes)?,
            (PeerIdentity::Member(_), Frame::Request { request_id, command }) => {
                self.propose(Requester { connection: id, request_id }, &command);
            }
            (PeerIdentity::Member(_), Frame::StatusRequest) => {
                let report = self.status_report();
                self.send(id, &Frame::StatusResponse(Box::new(report)));
            }
            _ => self.close(id, "a frame that its sender may not send"),
        }
        Ok(())
    }

    fn handle_raft(&mut self, id: ConnectionId, bytes: &[u8]) -> Result<(), NodeError> {
        match self.replica.handle_message(clock::now(), bytes) {
            Ok(()) => {}
            Err(error @ ReplicaError::StoreBehind { .. }) => return Err(error.into()),
            Err(error) => self.close(id, &error.to_string()),
        }
        Ok(())
    }

    fn propose(&mut self, requester: Requester, command: &Command) {
        let Ok(proposal) = self.replica.propose(command) else {
            let Requester { connection, request_id } = requester;
            self.send(connection, &Frame::Unavailable { request_id });
            return;
        };
        self.pending_requests.insert(proposal, requester);
        while self.pending_requests.len() > PENDING_REQUESTS_MAX {
            self.pending_requests.pop_first();
        }
    }

    fn status_report(&self) -> StatusReport {
        let is_member =
            |connection: &&OpenConnection| matches!(connection.peer, PeerIdentity::Member(_));
        let leases = self.replica.leases().iter();
        StatusReport {
            status: self.replica.status(),
            incarnation: self.store.opened(),
            members: self.connections.values().filter(is_member).count() as u32,
            leases: leases
                .map(|(name, lease)| NamedLease { name: name.to_owned(), lease: lease.clone() })
                .collect(),
        }
    }

    fn close(&mut self, id: ConnectionId, reason: &str) {
        if let Some(OpenConnection { peer, .. }) = self.connections.remove(&id) {
            tracing::warn!(%peer, reason, "connection closed");
        }
    }

    fn send(&self, id: ConnectionId, frame: &Frame) {
        if let Some(connection) = self.connections.get(&id) {
            // A frame for a full queue is dropped: its protocol repeats it.
            let _ = connection.outgoing.try_send(encode(frame));
        }
    }

    fn send_raft(&self, messages: Vec<message::Message>) -> Result<(), NodeError> {
        for message in messages {
            if let Some(connection) = self.replica_connections.get(&message.to) {
                self.send(*connection, &Frame::Raft(message::encode(&message)?));
            }
        }
        Ok(())
    }

    /// Writes, syncs and sends until there is nothing more to do.
    fn write_batches(&mut self) -> Result<(), NodeError> {
        while let Some(mut batch) = self.replica.next_batch(clock::now())? {
            self.send_raft(std::mem::take(&mut batch.immediate_messages))?;
            for response in std::mem::take(&mut batch.responses) {
                self.respond(response);
            }
            if !batch.is_empty() {
                self.store.write(&batch)?;
            }
            let messages = self.replica.batch_synced(clock::now());
            self.send_raft(messages)?;
        }
        Ok(())
    }

    fn respond(&mut self, response: ProposalResponse<mintshelf_lease::command::Response>) {
        let ProposalResponse { proposal, response } = response;
        if let Some(Requester { connection, request_id }) = self.pending_requests.remove(&proposal)
        {
            self.send(connection, &Frame::Response { request_id, response });
        }
    }
}
