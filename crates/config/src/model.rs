//! The operator's file as the program uses it: everything is checked, nothing is text that
//! still has to be read.

use http::{HeaderName, HeaderValue, StatusCode};
use ipnet::IpNet;
use mintshelf_admission::admission::LimitConfig;
use mintshelf_balancer::api::Effect;
use mintshelf_lease::timing::Timing;
use mintshelf_retry::attempts::Hedge;
use mintshelf_retry::schedule::{AttemptTimeout, DedupGroup, RetryOn};
use mintshelf_routing::{Rule, Split};
use mintshelf_websocket::handshake::HandshakePolicy;
use mintshelf_websocket::session::SessionConfig;
use mintshelf_websocket::timers::TimerConfig;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A whole file.
#[derive(Debug, Clone, PartialEq)]
pub struct File {
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// In the order of the file.
    pub routes: Vec<Route>,
    /// By name.
    pub classes: BTreeMap<String, Class>,
    /// By name.
    pub clusters: BTreeMap<String, Cluster>,
    /// What the process may hold.
    pub limits: Limits,
    /// Who shares the installation, in the order of the file.
    pub tenants: Vec<Tenant>,
    /// The header that names a request's tenant.
    pub tenant_header: Option<HeaderName>,
    /// The header by which a client marks a request as one that it repeats.
    pub repeat_header: Option<HeaderName>,
    /// What is told of this hop.
    pub forwarding: Forwarding,
    /// Where figures are given out; off if absent.
    pub admin: Option<SocketAddr>,
    /// Who this process is among those that agree; off if absent.
    pub fleet: Option<Fleet>,
    /// Of the text: the same file, the same hash.
    pub hash: u64,
    /// The line of every field that the file states, by its path; all else is a default.
    pub stated: BTreeMap<String, usize>,
}

/// Who agrees, and who this process is among them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The fleet's name: others are shut out.
    pub fleet: String,
    /// This process's.
    pub name: String,
    /// Its number, from 1 in the order of the file, if it is a voter.
    pub id: Option<u64>,
    /// Where it keeps what it promises.
    pub directory: Option<PathBuf>,
    /// All voters, in the order of the file, which is the same in each process's.
    pub voters: Vec<FleetVoter>,
    /// How long things take.
    pub spans: Timing,
}

/// One voter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetVoter {
    /// Its name.
    pub name: String,
    /// Where it listens for the others.
    pub address: SocketAddr,
}

/// An address that takes clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listener {
    /// Named by routes.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A kind of request: its effect, times and worth.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The mildest effect that its requests may have.
    pub effect: Effect,
    /// For how long servers drop repeats of a keyed request.
    pub window: Duration,
    /// An answer within this time earns the full worth.
    pub latency_objective: Duration,
    /// How long a request may wait for the head of its answer.
    pub deadline: Duration,
    /// What an answer is worth.
    pub priority_weight: f64,
    /// Fraction of the worth that a late answer keeps.
    pub late_weight: f64,
    /// What its attempts may do.
    pub tries: Tries,
    /// What its sockets are held to.
    pub sockets: SocketClass,
}

/// What the sockets of a class are held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketClass {
    /// Their times.
    pub life: TimerConfig,
    /// Longest message, in bytes as it passes.
    pub longest: u64,
    /// Bytes that may wait for one end.
    pub buffer: usize,
}

/// A route that passes WebSocket handshakes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WebSocket {
    /// What of a handshake passes.
    pub terms: HandshakePolicy,
    /// What its sockets are held to.
    pub session: Rc<SessionConfig>,
}

/// What the attempts of a class's requests may do, as far as the file states it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tries {
    /// Time for one attempt.
    pub per_try: Option<AttemptTimeout>,
    /// Most attempts; else the cluster's.
    pub attempts: Option<u32>,
    /// The bound of the first pause between attempts, which doubles, and the longest.
    pub backoff: Option<[Duration; 2]>,
    /// What may be followed by a further attempt.
    pub retry_on: Option<RetryOn>,
    /// Second copies; `Some(None)` where the file says that there are none.
    pub hedge: Option<Option<Hedge>>,
    /// How often clients repeat a request by themselves.
    pub client_retries: Option<u32>,
    /// Which endpoints drop each other's repeats.
    pub group: Option<DedupGroup>,
    /// Longest wait for a connection, where that is less than the cluster's.
    pub connect: Option<Duration>,
    /// A connection that has rested for longer is not used, where that is less than the
    /// cluster's.
    pub idle: Option<Duration>,
}

/// Somebody who shares the installation.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part against the others'.
    pub share: f64,
    /// Its clients' networks.
    pub networks: Vec<IpNet>,
    /// Listeners that are its own.
    pub listeners: Vec<String>,
    /// Values of the tenant header that name it.
    pub values: Vec<String>,
    /// What it is limited to.
    pub limit: LimitConfig,
}

/// Servers that do the same.
#[derive(Debug, Clone, PartialEq)]
pub struct Cluster {
    /// Its servers.
    pub endpoints: Vec<Endpoint>,
    /// The zone of this sidecar, for this cluster.
    pub zone: String,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Servers close idle connections after this.
    pub idle_timeout: Duration,
    /// Most attempts of one request, where its class states no other number.
    pub max_attempts: u32,
    /// Retries and second copies allowed for each request, and the most saved up.
    pub retry_budget: (f64, u32),
    /// Whether a request may have two attempts out at one time.
    pub second_copies: bool,
    /// Statuses that count as a failure of the endpoint.
    pub failure_statuses: Vec<u16>,
    /// A header by which a server says that it never ran the request.
    pub never_ran_header: Option<HeaderName>,
    /// How long a server that has just been added warms up.
    pub warm_up: Duration,
    /// The part of its capacity at which it starts.
    pub warm_from: f64,
    /// Most requests at one time, and most that wait; no limit if absent.
    pub concurrency: Option<(u32, u32)>,
    /// Most connections to all its endpoints, and to each of them.
    pub connections: [Option<u32>; 2],
    /// Most sockets to all its endpoints, and to each of them.
    pub sockets: [Option<u32>; 2],
    /// What an open socket counts for beside a request under way.
    pub socket_weight: f64,
    /// In how long sockets leave an endpoint that has gone.
    pub socket_spread: Duration,
    /// Longest advice on when to come back.
    pub max_retry_after: Duration,
    /// Shortest time in which traffic returns after an outage of the whole cluster; 0 for
    /// all at once.
    pub return_ramp: Duration,
}

/// One server of a cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Unique in its cluster.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its size against the others'; 0 for none of the traffic.
    pub weight: u32,
    /// Its zone.
    pub zone: String,
}

/// What is done with the requests that match.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// For logs and `explain`.
    pub name: String,
    /// Its line in the file.
    pub line: usize,
    /// Names of its listeners; empty for all.
    pub listeners: Vec<String>,
    /// What it asks of a request.
    pub rule: Arc<Rule>,
    /// Name of its class.
    pub class: String,
    /// Name in [`File::classes`] of the class with the route's own settings; the class's own
    /// where it has none.
    pub policy: String,
    /// The effect of all its requests, where the operator knows better than their methods.
    pub effect: Option<Effect>,
    /// What it is limited to.
    pub limit: LimitConfig,
    /// What comes of them.
    pub then: Then,
}

/// What comes of a request that matches.
#[derive(Debug, Clone, PartialEq)]
pub enum Then {
    /// It goes to a server.
    Forward(Forward),
    /// Its client is sent elsewhere.
    Redirect(Redirect),
    /// It is answered here.
    Respond(Respond),
}

/// How a request is passed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Forward {
    /// The clusters.
    pub split: Split,
    /// What keeps a client at one cluster.
    pub sticky: Option<Sticky>,
    /// What the route's path prefix becomes.
    pub rewrite_prefix: Option<String>,
    /// Passes WebSocket handshakes on; they are plain requests where this is absent.
    pub websocket: Option<Rc<WebSocket>>,
    /// Edits on the way to the server.
    pub request: Edits,
    /// Edits on the way back.
    pub response: Edits,
}

/// Where the key of a sticky split comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sticky {
    /// A header's value.
    Header(HeaderName),
    /// A cookie's value.
    Cookie(String),
    /// A query parameter's value.
    Query(String),
    /// The client's address.
    Client,
}

/// Changes to headers: removed first, then set, then added.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Edits {
    /// Taken out.
    pub remove: Vec<HeaderName>,
    /// Put in place of what is there.
    pub set: Vec<(HeaderName, HeaderValue)>,
    /// Put beside what is there.
    pub add: Vec<(HeaderName, HeaderValue)>,
}

/// Where a client is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Redirect {
    /// 301, 302, 303, 307 or 308.
    pub status: StatusCode,
    /// Another scheme.
    pub scheme: Option<String>,
    /// Another host, maybe with a port.
    pub host: Option<String>,
    /// Another path, whole.
    pub path: Option<String>,
    /// What the route's path prefix becomes.
    pub prefix: Option<String>,
}

/// An answer of the route's own.
#[derive(Debug, Clone, PartialEq)]
pub struct Respond {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: String,
    /// What the body is.
    pub content_type: HeaderValue,
}

/// What the process may hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Memory in bytes; budgets are parts of it.
    pub memory: usize,
    /// File descriptors.
    pub sockets: usize,
    /// The head of a request must have come so long after its first byte.
    pub head_timeout: Duration,
    /// An idle client's connection is closed after this.
    pub idle_timeout: Duration,
    /// A body that stops for so long, either way, is given up.
    pub stream_timeout: Duration,
    /// A client that ends its sending before it has its answer counts as gone.
    pub abort_on_close: bool,
    /// Most WebSockets.
    pub websockets: u32,
    /// In how long they are closed when the process or their listener ends.
    pub websocket_drain: Duration,
}

/// Part of the descriptors that is kept for connections to servers. A client being served
/// holds one of each; most clients are idle.
pub const UPSTREAM_SHARE: f64 = 0.4;
/// Part of the memory limit that the queues of sockets may fill.
pub const SOCKET_QUEUE_SHARE: f64 = 0.2;

/// Part of the memory limit that the bodies of requests may fill. The rest is for the
/// libraries' buffers (32 KiB each way a connection at most) and for answers.
pub const BODY_SHARE: f64 = 0.3;

/// What is told of this hop.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Forwarding {
    /// The name in `Via` (RFC 9110 7.6.3); no `Via` if absent.
    pub via: Option<String>,
    /// Whether `Forwarded` (RFC 7239) names the client.
    pub forwarded: bool,
    /// The header with a request's id; one is made where none came.
    pub request_id: Option<HeaderName>,
}
