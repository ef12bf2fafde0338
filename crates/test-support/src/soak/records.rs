//! Records of what servers, clients and discovery observed.

use super::scenario::Class;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The outcome of an attempt at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt has not ended.
    Open,
    /// The server responded with 200.
    Served,
    /// Rejected: it did not run.
    Rejected,
    /// Answered with an error, reset, or cancelled by the sidecar: it may have run.
    MayHaveRun,
}

/// An attempt as its server observed it.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// Number of the server.
    pub server: usize,
    /// Transaction id of the request.
    pub transaction: String,
    /// Arrival time of the first byte at the server's system.
    pub began_at: Instant,
    /// Time at which the server had read the complete request.
    pub read_at: Instant,
    /// The remaining time that it stated.
    pub remaining: Option<Duration>,
    /// Outcome of the attempt at the server.
    pub outcome: AttemptOutcome,
    /// Time at which the attempt ended; `None` while it is in flight.
    pub ended_at: Option<Instant>,
}

/// The end of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete response: its status, and its body as text.
    Response(u16, String),
    /// The connection ended before any byte of a response; whether it had carried others before.
    Closed {
        /// Whether it had carried a request before, so that its end may have crossed this one.
        is_reused: bool,
    },
    /// The connection closed within the response.
    Broken,
    /// No response in its time.
    Silence,
    /// The client disconnected before a response.
    Disconnected,
}

/// A request as its client observed it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Transaction id of the request.
    pub transaction: String,
    /// Class of the request.
    pub class: Class,
    /// Time at which the client wrote the last byte.
    pub sent_at: Instant,
    /// Time that the client waits for a response.
    pub timeout: Duration,
    /// The end that the client saw.
    pub end: RequestEnd,
    /// Time of that end, or of the disconnect of the client.
    pub ended_at: Instant,
}

/// A server, and when it was taken out of service.
#[derive(Debug, Clone)]
pub struct ServerRecord {
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Time at which discovery had the server as draining or removed.
    pub withdrawn_at: Option<Instant>,
    /// Time at which a list that shows this was written completely, or at which a process was started with
    /// such a list.
    pub withdrawal_written_at: Option<Instant>,
}

impl ServerRecord {
    /// A server in service.
    pub(super) fn new(address: SocketAddr) -> Self {
        ServerRecord { address, withdrawn_at: None, withdrawal_written_at: None }
    }
}

/// A time in which discovery could not be reached.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// Start of the outage.
    pub began_at: Instant,
    /// End of the outage; `None` if it lasts.
    pub ended_at: Option<Instant>,
}

/// Records of one run: attempts, requests, servers, outages and the processes.
#[derive(Debug, Default)]
pub struct Records {
    /// Attempts in the order in which they began.
    pub attempts: Vec<AttemptRecord>,
    /// Requests in the order in which they ended.
    pub requests: Vec<RequestRecord>,
    /// Servers by their numbers.
    pub servers: Vec<ServerRecord>,
    /// Outages of discovery in the order in which they began.
    pub outages: Vec<Outage>,
    /// Times of SIGHUP with another address of discovery.
    pub reloads: Vec<Instant>,
    /// Times from SIGTERM to the end of the process, or to SIGKILL.
    pub shutdowns: Vec<Duration>,
    /// Faults of the process itself.
    pub process_faults: Vec<String>,
    /// Bytes of lists that discovery has written.
    pub list_bytes: usize,
    /// Calls that discovery has answered.
    pub list_calls: usize,
    /// CPU time of the processes that have ended.
    pub cpu: Duration,
    /// CPU time of the running process, as last observed.
    pub cpu_of_current: Duration,
    /// Highest number of open descriptors that was observed.
    pub descriptors: usize,
    /// Connections that servers have accepted.
    pub connections: usize,
    /// Largest resident memory of any process, in bytes.
    pub peak_memory: usize,
    /// Whether idle clients use up the descriptors: new connections may be closed unread.
    pub has_idle_clients: bool,
}

impl Records {
    /// The attempts of each request, in the order in which they began.
    pub(super) fn attempts_by_request(&self) -> HashMap<&str, Vec<&AttemptRecord>> {
        let mut by_request: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
        for attempt in &self.attempts {
            by_request.entry(&attempt.transaction).or_default().push(attempt);
        }
        by_request
    }
}
