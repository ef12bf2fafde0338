//! One-off requests from a member to the replicas of a fleet.

use crate::frame::{decode, encode, Frame, FrameError, Hello, PeerIdentity, StatusReport};
use crate::handshake::{exchange_hello, FramedStream, HandshakeError};
use futures_util::{SinkExt, StreamExt};
use mintshelf_lease::command::{Command, Owner, Response};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time to wait for a replica's response before trying another replica.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Backoff before another replica is tried.
pub(crate) const NEXT_REPLICA_BACKOFF: Duration = Duration::from_millis(60);
/// Number of times that [`propose`] tries all replicas in turn.
const PROPOSAL_ROUNDS: u32 = 5;

/// Reason for which a request to a replica failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// No replica is configured.
    #[error("no replica is configured")]
    NoReplicas,
    /// The replica did not respond within [`RESPONSE_TIMEOUT`].
    #[error("no response within {RESPONSE_TIMEOUT:?}")]
    Timeout,
    /// Connecting, sending or receiving failed with an I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The handshake failed: the peer is not a process of this fleet.
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    /// The peer is a member, not a replica.
    #[error("{0} is not a replica")]
    NotReplica(PeerIdentity),
    /// The replica closed the connection.
    #[error("the replica closed the connection")]
    Closed,
    /// The response can't be decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The replica knows no leader, or sent something other than a response.
    #[error("the replica can't handle the request at present")]
    Unavailable,
}

/// Connects to one replica and checks its identity.
pub(crate) async fn connect(
    fleet: &str,
    owner: Owner,
    replica: SocketAddr,
) -> Result<FramedStream, RequestError> {
    let hello = Hello::new(fleet, PeerIdentity::Member(owner));
    let connecting = timeout(RESPONSE_TIMEOUT, TcpStream::connect(replica));
    let stream = connecting.await.map_err(|_| RequestError::Timeout)??;
    let identified = exchange_hello(stream, &hello).await.inspect_err(|error| {
        tracing::warn!(%replica, %error, "not a replica of this fleet");
    })?;
    match identified.peer {
        PeerIdentity::Replica(_) => Ok(identified.connection),
        PeerIdentity::Member(_) => Err(RequestError::NotReplica(identified.peer)),
    }
}

/// Sends one frame and returns the next frame received.
async fn exchange(connection: &mut FramedStream, request: &Frame) -> Result<Frame, RequestError> {
    let exchange = async {
        connection.send(encode(request)).await?;
        let bytes = connection.next().await.ok_or(RequestError::Closed)??;
        Ok(decode(&bytes)?)
    };
    timeout(RESPONSE_TIMEOUT, exchange).await.map_err(|_| RequestError::Timeout)?
}

/// Requests the status of one replica.
///
/// # Errors
/// The replica does not respond within [`RESPONSE_TIMEOUT`], or is not one of this fleet.
pub async fn fetch_status(
    fleet: &str,
    owner: Owner,
    replica: SocketAddr,
) -> Result<StatusReport, RequestError> {
    let mut connection = connect(fleet, owner, replica).await?;
    match exchange(&mut connection, &Frame::StatusRequest).await? {
        Frame::StatusResponse(report) => Ok(*report),
        _ => Err(RequestError::Unavailable),
    }
}

/// Proposes a command at each replica in turn until one responds. All replicas are tried several
/// times, since an election may be in progress. The command may be applied more than once, which
/// is safe for all commands.
///
/// # Errors
/// No replica responds; the error is that of the last attempt.
pub async fn propose(
    fleet: &str,
    owner: Owner,
    replicas: &[SocketAddr],
    command: Command,
) -> Result<Response, RequestError> {
    // Each request uses its own connection, so its number need not be unique.
    let request = Frame::Request { request_id: 0, command };
    let mut last_error = RequestError::NoReplicas;
    for _ in 0..PROPOSAL_ROUNDS {
        for replica in replicas {
            match propose_at(fleet, owner.clone(), *replica, &request).await {
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
        }
        sleep(NEXT_REPLICA_BACKOFF).await;
    }
    Err(last_error)
}

async fn propose_at(
    fleet: &str,
    owner: Owner,
    replica: SocketAddr,
    request: &Frame,
) -> Result<Response, RequestError> {
    let mut connection = connect(fleet, owner, replica).await?;
    match exchange(&mut connection, request).await? {
        Frame::Response { request_id: 0, response } => Ok(response),
        _ => Err(RequestError::Unavailable),
    }
}
