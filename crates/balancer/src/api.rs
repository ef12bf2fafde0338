//! Plain types that pass between a sidecar and the decision module.
//!
//! Times are nanoseconds on the sidecar's own monotonic clock.

use std::sync::Arc;

/// A time or a span, in nanoseconds.
pub type Nanos = u64;
/// Number of a server, the same at every sidecar.
pub type ServerId = u32;
/// Opaque id of one request, unique in an instance's life.
pub type RequestId = Arc<str>;

/// What discovery has and could be asked for counts as told after this, whatever calls failed.
pub const NOTIFIED_WITHIN: Nanos = 6_000_000_000;

/// How often a request's effect may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm.
    Safe,
    /// Servers of one group discard repeats for a while.
    Idempotent,
    /// Must never run twice.
    Unsafe,
}

/// Which servers discard each other's repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// How often its effect may happen.
    pub effect: Effect,
    /// Which servers discard its repeats, if it is keyed.
    pub group: Group,
    /// For how long they do, from the first attempt that may have run.
    pub dedup_window: Nanos,
    /// An answer within this time earns the full worth.
    pub latency_objective: Nanos,
    /// How long a client waits in all.
    pub deadline: Nanos,
    /// What an answer is worth.
    pub priority_weight: f64,
    /// Fraction of the worth that a late answer keeps.
    pub late_weight: f64,
    /// The most attempts of one request, where that is less than the deployment's.
    pub max_attempts: u32,
    /// Waits before further attempts, as [`backoff_bound`] has them.
    pub backoff: [Nanos; 2],
}

impl Class {
    /// For how long after its first attempt that may have run a keyed request may be sent
    /// again; none where no window binds.
    pub fn window(&self) -> Option<Nanos> {
        (self.effect == Effect::Idempotent).then_some(self.dedup_window)
    }
}

/// Longest wait before a further attempt when so many have been made: up to the first span,
/// doubled each time, never over the second.
pub fn backoff_bound(backoff: [Nanos; 2], made: usize) -> Nanos {
    let doubled = 1u64 << made.saturating_sub(1).min(32);
    backoff[0].saturating_mul(doubled).min(backoff[1])
}

/// A tenant's allowance.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second inside its share, over all instances.
    pub quota_per_s: f64,
    /// Its share of the service.
    pub share: f64,
}

/// What a server's listed size means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SizeKind {
    /// Always 1.
    #[default]
    Absent,
    /// The registered size.
    Nominal,
    /// The size, more or less.
    Rough,
    /// The size discounted by load some time ago.
    Live,
}

/// When load reports arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportMode {
    /// Never.
    #[default]
    Absent,
    /// With answers and probe results.
    Answers,
    /// With probe results only.
    Probes,
}

/// One value of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Requests being handled.
    InFlight,
    /// Requests waiting.
    Queue,
    /// Fraction of CPU in use.
    Utilization,
    /// Recent service time in milliseconds.
    LatencyMs,
    /// Requests served a second.
    ServedPerS,
    /// Errors a second.
    ErrorsPerS,
    /// A value this library has no use for.
    Other,
}

/// What the deployment is made of and what it allows.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// This instance's number, from 0.
    pub self_index: u32,
    /// How many instances there are.
    pub instances: u32,
    /// This instance's zone.
    pub zone: u32,
    /// How many zones there are.
    pub zones: u32,
    /// How many kinds of machine there are.
    pub kinds: u32,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic past a tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// Worth goes by the unit of work rather than by the request.
    pub worth_by_work: bool,
    /// Discovery must be asked (watch or fetch) rather than pushing news.
    pub must_poll: bool,
    /// An instance without a watch must ask at least this often.
    pub poll_within: Nanos,
    /// What sizes in server lists mean.
    pub size_kind: SizeKind,
    /// When load reports come.
    pub report_mode: ReportMode,
    /// The values of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// The shortest gap between two batches of events.
    pub tick: Nanos,
    /// How long after the deadline a final answer still counts.
    pub answer_slack: Nanos,
    /// How long after news of a drain sends may go on.
    pub drain_grace: Nanos,
    /// A server starts at this fraction of its capacity or higher.
    pub cold_from: f64,
    /// A started server is warm after this time at the latest.
    pub cold: Nanos,
    /// Multiple of present capacity that pushes a cold server over.
    pub fall_multiple: f64,
    /// For how long that multiple must last.
    pub tip_after: Nanos,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Messages to peers are allowed.
    pub peers: bool,
    /// Clients hear retry advice.
    pub retry_after: bool,
    /// The longest retry advice a client honours.
    pub max_retry_after: Nanos,
    /// A request may have two attempts out at once.
    pub parallel_attempts: bool,
    /// The most attempts a request may have.
    pub max_attempts: u32,
    /// Credits for retries and second copies that each request adds.
    pub retry_ratio: f64,
    /// The most credits saved.
    pub retry_budget_max: f64,
    /// A server that says nothing while others answer is stuck, and no sign of congestion.
    pub silence_is_local: bool,
    /// A connection attempt fails after this time.
    pub connect_timeout: Nanos,
    /// Idle connections close after this time.
    pub idle_timeout: Nanos,
    /// Weights of the deployment's goal.
    pub goal: Objective,
    /// What traffic side effects cost.
    pub prices: Prices,
}

/// Weights of the parts of a deployment's goal.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Objective {
    /// The whole day.
    pub whole: f64,
    /// The worst stretch.
    pub worst_window: f64,
    /// The class served worst.
    pub worst_class: f64,
    /// The tenant served worst.
    pub worst_tenant: f64,
}

/// Prices, each a fraction of all worth at one unit per first try.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prices {
    /// Attempts that cross zones.
    pub cross_zone: f64,
    /// Server work that served no answer.
    pub waste: f64,
    /// New connections.
    pub handshake: f64,
    /// Open connections.
    pub connection: f64,
    /// Probes.
    pub probe: f64,
    /// Peer messages.
    pub peer: f64,
    /// Failures after the aim.
    pub late_fail: f64,
}

/// Whether a listed server takes traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// In service.
    #[default]
    Live,
    /// Finishing its work.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of a server list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ListedServer {
    /// Which server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its kind of machine.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes traffic.
    pub condition: EndpointState,
    /// Relative size.
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Nanos,
}

/// What a piece of discovery news holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as this instance last held it, maybe stale.
    Cached,
    /// A call to discovery failed.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error.
    Error,
    /// Answered that the request itself is at fault.
    Rejected,
    /// Turned away unexamined.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Called off by this side.
    Cancelled,
    /// Never sent.
    Unused,
}

impl Outcome {
    /// Whether it shows a server that does not work.
    pub fn failed(self) -> bool {
        matches!(self, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed)
    }

    /// Whether the server has said something, be it that it failed.
    pub fn answered(self) -> bool {
        matches!(self, Outcome::Ok | Outcome::Full | Outcome::Error | Outcome::Rejected)
    }

    /// Whether the attempt certainly never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Unused)
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News from discovery.
    Servers {
        /// What it holds.
        kind: ListKind,
        /// Version of the list.
        version: u64,
        /// Its entries; none for [`ListKind::Failed`].
        entries: Arc<[ListedServer]>,
    },
    /// Discovery has moved to another address; the next call goes there.
    DiscoveryMoved,
    /// A client's request has arrived.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: u32,
        /// Its tenant, if there are tenants.
        tenant: u32,
        /// What it concerns.
        key: Option<u64>,
        /// Expected work in core time, if known.
        cost_hint: Option<Nanos>,
        /// Marked by the client as a repeat.
        repeat: bool,
        /// How long the client waits for this try.
        patience: Nanos,
    },
    /// An answer's stream has begun on an attempt, or so much of the request's own body has
    /// gone that it can't be sent again.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// A safe request's only attempt is slow: a second copy may go beside it.
    HedgeRequested {
        /// The request.
        id: RequestId,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The request is finished.
        finished: bool,
        /// Time since the attempt was sent.
        took: Nanos,
        /// The server it went to.
        server: ServerId,
        /// A load report, in the order of the settings.
        report: Option<Vec<f64>>,
    },
    /// The client has left; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer set earlier has fired.
    Timer {
        /// Its token.
        token: u64,
    },
    /// A probe is over.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Nanos,
        /// A load report, in the order of the settings.
        report: Option<Vec<f64>>,
    },
    /// A message from another instance.
    Gossip {
        /// The sender's number.
        from: u32,
        /// Its content.
        payload: Vec<u8>,
    },
}

/// What the sidecar is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// End a request unserved; the client may safely repeat it.
    Reject {
        /// The request.
        id: RequestId,
        /// Advice on when to come back; 0 for none.
        retry_after: Nanos,
    },
    /// End a request as failed; nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call back later.
    SetTimer {
        /// Span from now.
        after: Nanos,
        /// Comes back with the timer.
        token: u64,
    },
    /// Forget a timer that has not fired. One that fires all the same does nothing.
    DropTimer {
        /// The timer's token.
        token: u64,
    },
    /// Check a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close this instance's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one peer, or to all.
    SendGossip {
        /// The peer's number; all if absent.
        peer: Option<u32>,
        /// At most 256 bytes.
        payload: Vec<u8>,
    },
    /// Start or end a watch on discovery.
    Watch {
        /// Whether to start one.
        on: bool,
    },
    /// Ask discovery for the full list.
    FetchServers,
    /// A line for the operators.
    Log {
        /// Its text.
        text: String,
    },
}
