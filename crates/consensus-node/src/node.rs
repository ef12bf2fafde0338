//! Drives a replica with its clock, connections and store.
//!
//! A node needs its own thread, since each write blocks the thread until it is synced.

use crate::clock;
use crate::connection::{ConnectionEvent, ConnectionId};
use crate::connection_table::ConnectionTable;
use crate::frame::{Frame, NamedLease, PeerIdentity, StatusReport};
use crate::node_config::NodeConfig;
use crate::pending_requests::{PendingRequests, Requester};
use crate::store::Store;
use crate::store_error::StoreError;
use crate::transport;
use mintshelf_consensus::error::ReplicaError;
use mintshelf_consensus::message::{self, Message};
use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus::replica::Replica;
use mintshelf_consensus::replica_status::ReplicaStatus;
use mintshelf_consensus::write_batch::ProposalResponse;
use mintshelf_lease::command::{Command, Response};
use std::future::Future;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, MissedTickBehavior};

/// Maximum number of queued connection events; connections wait while the queue is full.
const EVENT_QUEUE_MAX: usize = 1_024;

/// Reason for which a node stopped before it was told to.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The replica's store could not be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The replica failed and must stop.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
}

/// A replica's configuration, store, listener and status channel.
#[derive(Debug)]
pub struct Node {
    /// Configuration of the node.
    pub config: NodeConfig,
    /// Store that the replica writes its log and snapshots to.
    pub store: Store,
    /// State that the store held when the store was opened.
    pub state: PersistentState,
    /// Listener on the address that the other replicas connect to.
    pub listener: TcpListener,
    /// Publishes the replica's status.
    pub status: watch::Sender<Option<ReplicaStatus>>,
}

impl Node {
    /// Runs the replica until `stop` completes.
    ///
    /// # Errors
    /// The store fails, or is behind what the replica has acknowledged. The replica must not
    /// continue.
    pub async fn run(self, stop: impl Future<Output = ()>) -> Result<(), NodeError> {
        let Node { config, store, state, listener, status } = self;
        let replica: Replica = Replica::new(config.id, &state, &config.timing, store.open_count())?;
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
                    // All events that have already arrived share one write.
                    while let Ok(event) = events.try_recv() {
                        driver.handle_event(event)?;
                    }
                }
            }
            driver.write_batches()?;
            publish_status(&status, driver.replica.status());
        }
    }
}

fn publish_status(status: &watch::Sender<Option<ReplicaStatus>>, current: ReplicaStatus) {
    status.send_if_modified(|published| {
        let is_modified = *published != Some(current);
        *published = Some(current);
        is_modified
    });
}

/// Passes events to a replica, and its batches to the store and the connections.
struct Driver {
    replica: Replica,
    store: Store,
    connections: ConnectionTable,
    pending_requests: PendingRequests,
}

impl Driver {
    fn new(replica: Replica, store: Store) -> Self {
        Driver {
            replica,
            store,
            connections: ConnectionTable::default(),
            pending_requests: PendingRequests::default(),
        }
    }

    fn handle_event(&mut self, event: ConnectionEvent) -> Result<(), NodeError> {
        match event {
            ConnectionEvent::Opened { id, connection } => self.connections.insert(id, connection),
            ConnectionEvent::Closed { id } => self.connections.remove(id),
            ConnectionEvent::Received { id, frame } => self.handle_frame(id, frame)?,
        }
        Ok(())
    }

    fn handle_frame(&mut self, id: ConnectionId, frame: Frame) -> Result<(), NodeError> {
        let Some(peer) = self.connections.peer(id) else { return Ok(()) };
        match (peer, frame) {
            (PeerIdentity::Replica(_), Frame::Raft(bytes)) => {
                self.handle_raft_message(id, &bytes)?;
            }
            (PeerIdentity::Member(_), Frame::Request { request_id, command }) => {
                self.propose(Requester { connection: id, request_id }, &command);
            }
            (PeerIdentity::Member(_), Frame::StatusRequest) => {
                let report = self.status_report();
                self.connections.send(id, &Frame::StatusResponse(Box::new(report)));
            }
            _ => self.connections.close(id, "frame type not allowed for the role of its sender"),
        }
        Ok(())
    }

    fn handle_raft_message(&mut self, id: ConnectionId, bytes: &[u8]) -> Result<(), NodeError> {
        match self.replica.handle_message(clock::now(), bytes) {
            Ok(()) => {}
            Err(error @ ReplicaError::StoreBehind { .. }) => return Err(error.into()),
            Err(error) => self.connections.close(id, &error.to_string()),
        }
        Ok(())
    }

    fn propose(&mut self, requester: Requester, command: &Command) {
        let Ok(proposal) = self.replica.propose(command) else {
            // The member can try another replica, which may know the leader.
            let Requester { connection, request_id } = requester;
            self.connections.send(connection, &Frame::Unavailable { request_id });
            return;
        };
        self.pending_requests.insert(proposal, requester);
    }

    fn status_report(&self) -> StatusReport {
        let leases = self.replica.leases().iter();
        StatusReport {
            status: self.replica.status(),
            incarnation: self.store.open_count(),
            members: u32::try_from(self.connections.member_count()).unwrap_or(u32::MAX),
            leases: leases
                .map(|(name, lease)| NamedLease { name: name.to_owned(), lease: lease.clone() })
                .collect(),
        }
    }

    fn send_messages(&self, messages: &[Message]) -> Result<(), NodeError> {
        for message in messages {
            let Some(connection) = self.connections.replica_connection(message.to) else {
                continue;
            };
            let bytes = message::encode(message).map_err(ReplicaError::from)?;
            self.connections.send(connection, &Frame::Raft(bytes));
        }
        Ok(())
    }

    /// Writes and syncs all pending batches and sends their messages and responses.
    fn write_batches(&mut self) -> Result<(), NodeError> {
        while let Some(mut batch) = self.replica.next_batch(clock::now())? {
            self.send_messages(&batch.immediate_messages)?;
            for response in std::mem::take(&mut batch.responses) {
                self.respond(response);
            }
            if !batch.is_empty() {
                self.store.write(&batch)?;
            }
            let messages = self.replica.batch_synced(clock::now());
            self.send_messages(&messages)?;
        }
        Ok(())
    }

    fn respond(&mut self, response: ProposalResponse<Response>) {
        let ProposalResponse { proposal, response } = response;
        let Some(requester) = self.pending_requests.remove(&proposal) else { return };
        let Requester { connection, request_id } = requester;
        self.connections.send(connection, &Frame::Response { request_id, response });
    }
}
