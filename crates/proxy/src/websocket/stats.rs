//! Statistics of open and closed sockets for the metrics.

use mintshelf_balancer::api::ServerId;
use mintshelf_websocket::peer::Peer;
use mintshelf_websocket::session::{ClosedBy, Session, Traffic};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Totals of sockets, migrations and traffic since the process started.
#[derive(Debug, Default)]
pub struct SocketStats {
    /// Numbers of opened sockets by the name of their cluster.
    pub opened: BTreeMap<Rc<str>, u64>,
    /// Numbers of migrations of sockets to another server by the name of the cluster.
    pub migrated: BTreeMap<Rc<str>, u64>,
    /// Numbers of closed sockets by the party that closed the socket (client, server or proxy) and
    /// the WebSocket close code.
    pub closed: BTreeMap<(ClosedBy, u16), u64>,
    /// Numbers of messages and bytes that clients have sent on sockets.
    pub from_client: Traffic,
    /// Numbers of messages and bytes that servers have sent on sockets.
    pub from_server: Traffic,
}

/// Messages and bytes sent by each side of one socket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SocketTraffic {
    client: Traffic,
    server: Traffic,
}

impl SocketTraffic {
    pub(super) fn of(session: &Session) -> Self {
        SocketTraffic {
            client: session.traffic(Peer::Client),
            server: session.traffic(Peer::Server),
        }
    }
}

impl SocketStats {
    /// Adds the traffic of a socket since `before`, and returns whether it includes a message.
    pub(super) fn add_traffic(&mut self, before: SocketTraffic, now: SocketTraffic) -> bool {
        let client_messages = add_growth(&mut self.from_client, before.client, now.client);
        let server_messages = add_growth(&mut self.from_server, before.server, now.server);
        client_messages + server_messages > 0
    }
}

/// Adds the growth between two counts to a total, and returns the number of added messages.
fn add_growth(total: &mut Traffic, before: Traffic, now: Traffic) -> u64 {
    // After a migration the messages of the new server are counted from 0.
    let messages = now.messages.saturating_sub(before.messages);
    total.messages += messages;
    total.bytes += now.bytes.saturating_sub(before.bytes);
    messages
}

/// The numbers of open sockets by cluster, tenant and server, and their queued bytes.
#[derive(Debug, Default)]
pub struct SocketUsage {
    /// Numbers of open sockets by the name of their cluster.
    pub clusters: BTreeMap<String, u64>,
    /// Numbers of open sockets by the name of their tenant.
    pub tenants: BTreeMap<String, u64>,
    /// Numbers of open sockets by the name of their cluster and the id of their server.
    pub endpoints: BTreeMap<(String, ServerId), u64>,
    /// Number of bytes that are queued for clients and servers of all open sockets.
    pub queued_bytes: usize,
}
