//! Acquires one lease and renews it: sends requests to one replica and switches to another if that
//! one does not respond.

use crate::client::{connect, NEXT_REPLICA_BACKOFF, RESPONSE_TIMEOUT};
use crate::clock;
use crate::frame::{decode, encode, Frame};
use crate::handshake::FramedStream;
use futures_util::{SinkExt, StreamExt};
use mintshelf_lease::client::{ActiveGrant, HolderAction, LeaseClient, LeaseConfig};
use mintshelf_lease::command::Rejection;
use mintshelf_time::{from_duration, Nanos, MILLISECOND, SECOND};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Shortest time to wait for a frame from the replica.
const FRAME_WAIT_MIN: Nanos = MILLISECOND;
/// Longest time to wait for a frame from the replica before the clock is read again.
const FRAME_WAIT_MAX: Nanos = SECOND;

/// Lease to acquire, and the replicas to request the lease from.
#[derive(Debug, Clone)]
pub struct LeaseRequest {
    /// Name of the fleet.
    pub fleet: String,
    /// Addresses of the fleet's replicas.
    pub replicas: Vec<SocketAddr>,
    /// Name, owner and duration of the lease.
    pub config: LeaseConfig,
}

/// Published status of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaseStatus {
    /// The current grant; `None` if the lease is not held. A grant that has expired by
    /// [`clock::now`] must not be used, even if the grant is still published.
    pub grant: Option<ActiveGrant>,
    /// Reason for the last rejection of a request since the last grant; `None` if no request has
    /// been rejected since.
    pub rejection: Option<Rejection>,
}

/// Acquires a lease, renews the lease until `stop` completes, and publishes the lease's status.
/// Then releases the lease, and gives up if no replica responds within one lease duration.
pub async fn keep_lease(
    request: LeaseRequest,
    status: watch::Sender<LeaseStatus>,
    stop: impl Future<Output = ()>,
) {
    let client = LeaseClient::new(request.config.clone());
    LeaseKeeper { request, client, publisher: StatusPublisher { status } }.run(stop).await;
}

/// Publishes the status of a lease whenever it changes.
struct StatusPublisher {
    status: watch::Sender<LeaseStatus>,
}

impl StatusPublisher {
    /// Publishes the client's grant and, if a request was just rejected, the reason. A reason stays
    /// published until the client has a grant.
    fn publish(&self, client: &LeaseClient, rejection: Option<Rejection>) {
        let grant = client.active_grant(clock::now());
        self.status.send_if_modified(|published| {
            let last_rejection = published.rejection.filter(|_| grant.is_none());
            let current = LeaseStatus { grant, rejection: rejection.or(last_rejection) };
            let is_modified = *published != current;
            *published = current;
            is_modified
        });
    }

    /// Publishes that the lease is released.
    fn publish_released(&self) {
        self.status.send_replace(LeaseStatus::default());
    }
}

/// Drives the client of one lease against the replicas.
struct LeaseKeeper {
    request: LeaseRequest,
    client: LeaseClient,
    publisher: StatusPublisher,
}

impl LeaseKeeper {
    async fn run(mut self, stop: impl Future<Output = ()>) {
        let mut replica_index = 0usize;
        let mut release_deadline: Option<Nanos> = None;
        tokio::pin!(stop);
        loop {
            if self.request.replicas.is_empty() || self.client.is_released() {
                return;
            }
            let replica = self.request.replicas[replica_index % self.request.replicas.len()];
            tokio::select! {
                () = self.run_session(replica) => replica_index += 1,
                () = &mut stop, if release_deadline.is_none() => {
                    release_deadline = Some(self.release());
                    continue;
                }
            }
            if release_deadline.is_some_and(|deadline| clock::now() >= deadline) {
                return;
            }
            // The lease also expires while no replica responds.
            self.publisher.publish(&self.client, None);
            sleep(NEXT_REPLICA_BACKOFF).await;
        }
    }

    /// Releases the lease; returns the time at which the lease has expired even if no replica
    /// responds.
    fn release(&mut self) -> Nanos {
        self.client.release();
        let deadline = clock::now() + self.request.config.duration;
        self.publisher.publish_released();
        deadline
    }

    /// Sends requests to one replica until the replica stops responding or the lease is released.
    async fn run_session(&mut self, replica: SocketAddr) {
        let owner = self.request.config.owner.clone();
        let connection = match connect(&self.request.fleet, owner, replica).await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::debug!(%replica, %error, "replica unavailable");
                return;
            }
        };
        self.client.handle_no_response(clock::now());
        let mut session = Session {
            connection,
            client: &mut self.client,
            publisher: &self.publisher,
            waiting_since: None,
        };
        while session.advance().await == SessionState::Open {}
    }
}

/// Whether a session continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SessionState {
    Open,
    /// The replica must be changed, or the lease is released.
    Ended,
}

/// A connection to one replica.
struct Session<'a> {
    connection: FramedStream,
    client: &'a mut LeaseClient,
    publisher: &'a StatusPublisher,
    /// Time at which the oldest request since the last response was sent; `None` if no request is
    /// unanswered.
    waiting_since: Option<Nanos>,
}

impl Session<'_> {
    /// Sends the requests that are due and handles the next frame or timeout.
    async fn advance(&mut self) -> SessionState {
        if self.send_due_requests().await == SessionState::Ended || self.client.is_released() {
            return SessionState::Ended;
        }
        let now = clock::now();
        let response_timeout = from_duration(RESPONSE_TIMEOUT);
        let deadline = self.waiting_since.map_or(Nanos::MAX, |since| since + response_timeout);
        if deadline <= now {
            return SessionState::Ended;
        }
        let wait = deadline.min(self.client.next_tick_at()).saturating_sub(now);
        let wait = Duration::from_nanos(wait.clamp(FRAME_WAIT_MIN, FRAME_WAIT_MAX));
        match timeout(wait, self.connection.next()).await {
            Err(_) => SessionState::Open,
            Ok(Some(Ok(bytes))) => self.handle_frame(&bytes),
            Ok(_) => SessionState::Ended,
        }
    }

    async fn send_due_requests(&mut self) -> SessionState {
        let mut actions = Vec::new();
        self.client.tick(clock::now(), &mut actions);
        self.publisher.publish(self.client, None);
        for action in actions {
            let HolderAction::Send { request_id, command } = action else { continue };
            let frame = encode(&Frame::Request { request_id, command });
            let sent = timeout(RESPONSE_TIMEOUT, self.connection.send(frame)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return SessionState::Ended;
            }
            self.waiting_since.get_or_insert_with(clock::now);
        }
        SessionState::Open
    }

    fn handle_frame(&mut self, bytes: &[u8]) -> SessionState {
        match decode(bytes) {
            Ok(Frame::Response { request_id, response }) => {
                self.waiting_since = None;
                let mut actions = Vec::new();
                self.client.handle_response(clock::now(), request_id, &response, &mut actions);
                let rejection = actions.iter().find_map(|action| match action {
                    HolderAction::Rejected(rejection) => Some(*rejection),
                    _ => None,
                });
                self.publisher.publish(self.client, rejection);
                SessionState::Open
            }
            // Another replica may know the leader.
            Ok(Frame::Unavailable { .. }) | Err(_) => SessionState::Ended,
            Ok(_) => SessionState::Open,
        }
    }
}
