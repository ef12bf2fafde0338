//! Names of messages and fields in the simulator's line protocol, and their meanings in the terms
//! of this project. A message is one line; fields are in the order of the table.
//!
//! | message received | meaning | fields |
//! | --- | --- | --- |
//! | `clock` | a batch begins | `clock`: time |
//! | `your_turn` | a batch ends | |
//! | `target_instance` | the instance that the following messages concern | `i`: instance |
//! | `attach` | the instance starts | `prng`: seed; `profile-data`: settings |
//! | `killed` | the instance is killed | |
//! | `census` | an endpoint list begins | `set-id`: number; `hosts`: length |
//! | `server` | an entry of the list | `server`, `rack-zone`: zone; `shape`: hardware model; `stripe`: failure domain; `condition`: state; `size`; `boot-time`: start |
//! | `update` | an endpoint list arrives from discovery | `how`: kind; `index`: revision; `set-id`: number |
//! | `submit` | a request arrives | `op-id`: request; `grade`: class; `subject`: key; `cost`: cost estimate; `org`: tenant; `attrs`: attributes; `grace`: client timeout |
//! | `under_way` | a response stream begins | `op-id`: request; `server`; `took`: elapsed time; `leg`: attempt |
//! | `resolved` | an attempt ends | `op-id`: request; `verdict`: outcome; `leg`: attempt; `complete`: the request has ended; `took`: elapsed time; `server`; `metrics`: load report |
//! | `abandoned` | a client disconnects | `op-id`: request |
//! | `timer` | a timer fires | `label`: token |
//! | `health` | a probe ends | `verdict`: outcome; `server`; `took`: elapsed time; `metrics`: load report |
//! | `peer_data` | a gossip message arrives | `src-peer`: sender; `octets`: payload |
//!
//! | message sent | action or meaning |
//! | --- | --- |
//! | `from` | the instance of the following actions |
//! | `done` | the reply ends |
//! | `forward` | send a request |
//! | `retract` | cancel an attempt |
//! | `shed` | reject a request |
//! | `drop_request` | fail a request |
//! | `set_timer` | set a timer |
//! | `probe` | probe a server |
//! | `drop_conns` | close idle connections |
//! | `signal` | send a gossip message |
//! | `stream_changes` | start (1) or stop (0) a watch |
//! | `pull` | fetch the complete list |
//! | `debug` | write a log line |

use mintshelf_balancer::api::{EndpointState, ListKind, Outcome};

/// Names of the messages received.
pub(crate) mod message {
    pub(crate) const BATCH_BEGIN: &str = "clock";
    pub(crate) const BATCH_END: &str = "your_turn";
    pub(crate) const TARGET: &str = "target_instance";
    pub(crate) const START: &str = "attach";
    pub(crate) const KILLED: &str = "killed";
    pub(crate) const LIST_BEGIN: &str = "census";
    pub(crate) const LIST_ENTRY: &str = "server";
    pub(crate) const LIST_ARRIVED: &str = "update";
    pub(crate) const REQUEST: &str = "submit";
    pub(crate) const STREAM_STARTED: &str = "under_way";
    pub(crate) const ATTEMPT_ENDED: &str = "resolved";
    pub(crate) const CLIENT_DISCONNECTED: &str = "abandoned";
    pub(crate) const TIMER: &str = "timer";
    pub(crate) const PROBED: &str = "health";
    pub(crate) const GOSSIP: &str = "peer_data";

    /// Messages that concern the target instance.
    pub(crate) const OF_TARGET: [&str; 10] = [
        START,
        KILLED,
        LIST_ARRIVED,
        REQUEST,
        STREAM_STARTED,
        ATTEMPT_ENDED,
        CLIENT_DISCONNECTED,
        TIMER,
        PROBED,
        GOSSIP,
    ];
}

/// Names of the fields of the messages received.
pub(crate) mod field {
    pub(crate) const MESSAGE: &str = "message name";
    pub(crate) const TIME: &str = "clock";
    pub(crate) const INSTANCE: &str = "i";
    pub(crate) const SEED: &str = "prng";
    pub(crate) const SETTINGS: &str = "profile-data";
    pub(crate) const LIST_NUMBER: &str = "set-id";
    pub(crate) const LIST_LENGTH: &str = "hosts";
    pub(crate) const LIST_KIND: &str = "how";
    pub(crate) const LIST_REVISION: &str = "index";
    pub(crate) const SERVER: &str = "server";
    pub(crate) const ZONE: &str = "rack-zone";
    pub(crate) const HARDWARE_MODEL: &str = "shape";
    pub(crate) const FAILURE_DOMAIN: &str = "stripe";
    pub(crate) const ENDPOINT_STATE: &str = "condition";
    pub(crate) const SIZE: &str = "size";
    pub(crate) const STARTED_AT: &str = "boot-time";
    pub(crate) const REQUEST: &str = "op-id";
    pub(crate) const CLASS: &str = "grade";
    pub(crate) const KEY: &str = "subject";
    pub(crate) const COST_ESTIMATE: &str = "cost";
    pub(crate) const TENANT: &str = "org";
    pub(crate) const ATTRIBUTES: &str = "attrs";
    pub(crate) const CLIENT_TIMEOUT: &str = "grace";
    pub(crate) const ATTEMPT: &str = "leg";
    pub(crate) const OUTCOME: &str = "verdict";
    pub(crate) const IS_REQUEST_FINISHED: &str = "complete";
    pub(crate) const ELAPSED: &str = "took";
    pub(crate) const LOAD_REPORT: &str = "metrics";
    pub(crate) const TIMER_TOKEN: &str = "label";
    pub(crate) const PEER: &str = "src-peer";
    pub(crate) const PAYLOAD: &str = "octets";
}

/// Names of the messages sent.
pub(crate) mod action {
    pub(crate) const SEND: &str = "forward";
    pub(crate) const CANCEL: &str = "retract";
    pub(crate) const REJECT: &str = "shed";
    pub(crate) const FAIL: &str = "drop_request";
    pub(crate) const SET_TIMER: &str = "set_timer";
    pub(crate) const PROBE: &str = "probe";
    pub(crate) const CLOSE_IDLE: &str = "drop_conns";
    pub(crate) const SEND_GOSSIP: &str = "signal";
    pub(crate) const WATCH: &str = "stream_changes";
    pub(crate) const FETCH_SERVERS: &str = "pull";
    pub(crate) const LOG: &str = "debug";
}

/// Names of the lines of a reply that are not actions.
pub(crate) mod reply {
    pub(crate) const INSTANCE: &str = "from";
    pub(crate) const END: &str = "done";
}

/// Names of the outcomes of attempts and probes.
pub(crate) const OUTCOMES: &[(&str, Outcome)] = &[
    ("delivered", Outcome::Ok),
    ("app_error", Outcome::Error),
    ("shed", Outcome::Full),
    ("expired", Outcome::TimedOut),
    ("dial_failed", Outcome::ConnectFailed),
    ("dropped", Outcome::Reset),
    ("revoked", Outcome::Cancelled),
    ("unused", Outcome::Unused),
];
/// Names of the states of listed servers.
pub(crate) const ENDPOINT_STATES: &[(&str, EndpointState)] = &[
    ("live", EndpointState::Live),
    ("quiescing", EndpointState::Draining),
    ("dead", EndpointState::Removed),
];
/// Names of the kinds of endpoint list updates.
pub(crate) const LIST_KINDS: &[(&str, ListKind)] = &[
    ("diff", ListKind::Changes),
    ("snapshot", ListKind::Full),
    ("disk", ListKind::Cached),
    ("error", ListKind::Failed),
];
pub(crate) const BOOLEANS: &[(&str, bool)] = &[("1", true), ("0", false)];
/// Attribute bit of a request: the cost estimate of the request is known.
pub(crate) const HAS_COST_ESTIMATE: u32 = 1;
/// Attribute bit of a request: the request is a client's retry.
pub(crate) const IS_CLIENT_RETRY: u32 = 2;
/// Prefix of the name of an instance; the number of the instance follows.
pub(crate) const INSTANCE_PREFIX: &str = "sidecar_";
/// Placeholder for an absent field.
pub(crate) const ABSENT: &str = "-";
/// Placeholder for an empty gossip payload.
pub(crate) const NO_PAYLOAD: &str = ABSENT;
/// Placeholder for the number of a peer in a gossip message to all peers.
pub(crate) const ALL_PEERS: &str = "all";
