//! Results of attempts: the outcome, and the server's response.

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

/// The result of one exchange.
pub struct AttemptResult {
    /// Outcome of the exchange, in the balancer's terms.
    pub outcome: Outcome,
    /// The text of the load report in the response; `None` if the response has no report.
    pub load_report: Option<String>,
    /// The response, if there is one that may be sent to a client.
    pub response: Option<UpstreamResponse>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load_report: None, response: None }
    }
}

/// A response of a server.
pub struct UpstreamResponse {
    /// The HTTP status code that the server sent.
    pub status: StatusCode,
    /// The header fields of the response.
    pub headers: HeaderMap,
    /// The body, buffered or streamed, or the upgraded connection of a WebSocket.
    pub body: UpstreamBody,
}

/// The body of a server's response.
pub enum UpstreamBody {
    /// The complete body, buffered in memory.
    Complete(Bytes),
    /// A body that is streamed as it arrives.
    Stream(Box<ResponseStream>),
    /// The upgraded connection, after a 101 that is valid for the handshake.
    Upgraded(Box<UpgradedConnection>),
    /// No body, after a 101 that is not valid for the handshake: the response must not be sent to a
    /// client.
    InvalidUpgrade,
}

impl UpstreamBody {
    /// Returns a buffered body, and an empty one for any other kind.
    pub fn into_bytes(self) -> Bytes {
        match self {
            UpstreamBody::Complete(body) => body,
            _ => Bytes::new(),
        }
    }
}

/// The connection to the server of a WebSocket. Dropping it closes the connection.
pub struct UpgradedConnection {
    /// The byte stream to and from the server.
    pub stream: SharedStream,
    /// Bytes that were read after the 101 response.
    pub read_ahead: Bytes,
    /// The subprotocol and extensions that the server agreed to.
    pub agreed: NegotiatedTerms,
    /// The server and its address.
    pub target: Target,
    pub(crate) _guards: ConnectionGuards,
    /// Counts the WebSocket towards the server's load until dropped.
    pub(crate) load_guard: Option<Box<dyn Any>>,
}

/// The protocol of the responses of a cluster's servers.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamProtocol {
    /// The platform's protocol: responses are short and complete, and only a 200 goes to a client.
    Platform,
    /// Ordinary HTTP/1.1, of any service that doesn't use the platform's protocol.
    Plain(PlainProtocol),
}

/// Rules by which the responses of an HTTP/1.1 service are interpreted, and the stall timeout.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainProtocol {
    /// Statuses that count as a failure of the endpoint.
    pub failure_statuses: Vec<u16>,
    /// Header of a response to a request that the server did not run, with the value 1.
    pub never_ran_header: Option<HeaderName>,
    /// A request or response body that pauses for this long ends its attempt.
    pub stall_timeout: Duration,
}
