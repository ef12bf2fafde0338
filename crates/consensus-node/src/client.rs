//! Single requests of a member to the replicas of a fleet.

use crate::frame::{decode, encode, Frame, Hello, PeerIdentity, StatusReport};
use crate::handshake::{exchange_hello, Connection, IdentifiedConnection};
use futures_util::{SinkExt, StreamExt};
use mintshelf_lease::command::{Command, Owner, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A replica that has not responded within this time is given up for another.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Backoff before the next replica.
pub(crate) const NEXT_REPLICA_BACKOFF: Duration = Duration::from_millis(60);
/// How often all replicas are tried in turn.
const ROUNDS: u32 = 5;

/// Connects to one replica.
pub(crate) async fn connect(fleet: &str, owner: Owner, replica: SocketAddr) -> Option<Connection> {
    let hello = Hello::new(fleet, PeerIdentity::Member(owner));
    let stream = timeout(RESPONSE_TIMEOUT, TcpStream::connect(replica)).await.ok()?.ok()?;
    match exchange_hello(stream, &hello).await {
        Ok(IdentifiedConnection { connection, peer: PeerIdentity::Replica(_) }) => Some(connection),
        Ok(_) => None,
        Err(error) => {
            tracing::warn!(%replica, %error, "not a replica of this fleet");
            None
        }
    }
}

/// Sends one frame and returns the next that arrives.
async fn exchange(connection: &mut Connection, request: &Frame) -> Option<Frame> {
    let exchange = async {
        connection.send(encode(request)).await.ok()?;
        let bytes = connection.next().await?.ok()?;
        decode(&bytes).ok()
    };
    timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten()
}

/// Requests the status of one replica; `None` if it does not respond.
pub async fn fetch_status(fleet: &str, owner: Owner, replica: SocketAddr) -> Option<StatusReport> {
    let mut connection = connect(fleet, owner, replica).await?;
    match exchange(&mut connection, &Frame::StatusRequest).await? {
        Frame::StatusResponse(report) => Some(*report),
        _ => None,
    }
}

/// Proposes one command at each replica in turn until one has a response, in a few rounds, since
/// an election may be in progress. The command may arrive twice, which is safe for all commands.
///
/// `None` if no replica responds in time.
pub async fn propose(
    fleet: &str,
    owner: Owner,
    replicas: &[SocketAddr],
    command: Command,
) -> Option<Response> {
    // Each request has a connection of its own, where no other is.
    let request = Frame::Request { request_id: 0, command };
    for _ in 0..ROUNDS {
        for replica in replicas {
            let Some(mut connection) = connect(fleet, owner.clone(), *replica).await else {
                continue;
            };
            if let Some(Frame::Response { request_id: 0, response }) =
                exchange(&mut connection, &request).await
            {
                return Some(response);
            }
        }
        sleep(NEXT_REPLICA_BACKOFF).await;
    }
    None
}
