//! What comes of one attempt: its outcome, and the response of its server.

use super::connection::{ConnectionGuards, Target};
use super::response_stream::ResponseStream;
use crate::tcp::SharedStream;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::StatusCode;
use mintshelf_balancer::api::Outcome;
use mintshelf_websocket::handshake::NegotiatedTerms;
use std::any::Any;
use std::time::Duration;

/// What came of one exchange.
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The text of the load report that came with the response.
    pub load_report: Option<String>,
    /// The response, if there is one that may go to a client.
    pub response: Option<UpstreamResponse>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load_report: None, response: None }
    }
}

/// A server's response.
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: UpstreamBody,
}

/// The body of a server's response.
pub enum UpstreamBody {
    /// All of it.
    Complete(Bytes),
    /// As it arrives.
    Stream(Box<ResponseStream>),
    /// The connection itself, after a 101 that fits its handshake.
    Upgraded(Box<UpgradedConnection>),
    /// A 101 that does not fit its handshake: nothing of it may go to a client.
    InvalidUpgrade,
}

impl UpstreamBody {
    /// A complete body; empty for any other.
    pub fn into_bytes(self) -> Bytes {
        match self {
            UpstreamBody::Complete(body) => body,
            _ => Bytes::new(),
        }
    }
}

/// The server's end of a WebSocket. Dropping it closes that end.
pub struct UpgradedConnection {
    /// The connection.
    pub stream: SharedStream,
    /// Bytes that were read behind the 101.
    pub read_ahead: Bytes,
    /// What the server agreed to.
    pub agreed: NegotiatedTerms,
    /// The server.
    pub target: Target,
    pub(crate) _guards: ConnectionGuards,
    /// Counts the socket in the cluster's load until dropped.
    pub(crate) load_guard: Option<Box<dyn Any>>,
}

/// How the responses of a cluster's servers are read.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamProtocol {
    /// As the platform's protocol has it: 200 or nothing, short and complete.
    Platform,
    /// Any HTTP/1.1 service.
    Plain(PlainProtocol),
}

/// What an HTTP/1.1 service says by its responses.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainProtocol {
    /// Statuses that count as a failure of the endpoint.
    pub failure_statuses: Vec<u16>,
    /// A header by which a server says, with the value 1, that it never ran the request.
    pub never_ran_header: Option<HeaderName>,
    /// A body that pauses for this long, either way, is given up.
    pub stall_timeout: Duration,
}
