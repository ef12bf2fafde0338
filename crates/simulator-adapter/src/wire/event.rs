//! Parses the messages that are events of a balancer.

use super::fields::Fields;
use super::{Problem, WireError};
use mintshelf_balancer::api::{
    AttemptNumber, ClassId, EndpointState, Event, ListKind, Outcome, ServerId, TenantId,
};
use mintshelf_time::Nanos;

const OUTCOMES: &[(&str, Outcome)] = &[
    ("delivered", Outcome::Ok),
    ("app_error", Outcome::Error),
    ("shed", Outcome::Full),
    ("expired", Outcome::TimedOut),
    ("dial_failed", Outcome::ConnectFailed),
    ("dropped", Outcome::Reset),
    ("revoked", Outcome::Cancelled),
    ("unused", Outcome::Unused),
];
pub(super) const ENDPOINT_STATES: &[(&str, EndpointState)] = &[
    ("live", EndpointState::Live),
    ("quiescing", EndpointState::Draining),
    ("dead", EndpointState::Removed),
];
pub(super) const LIST_KINDS: &[(&str, ListKind)] = &[
    ("diff", ListKind::Changes),
    ("snapshot", ListKind::Full),
    ("disk", ListKind::Cached),
    ("error", ListKind::Failed),
];
const BOOLEANS: &[(&str, bool)] = &[("1", true), ("0", false)];
/// Bit of a request's attributes that marks its cost as known.
const HAS_COST: u32 = 1;
/// Bit of a request's attributes that marks it as a repeat.
const IS_REPEAT: u32 = 2;

/// Reads the event of the message `name`. Fields are read in the order of the wire.
pub(super) fn read_event(name: &str, fields: &mut Fields) -> Result<Event, WireError> {
    Ok(match name {
        "submit" => read_request(fields)?,
        "under_way" => read_stream_started(fields)?,
        "resolved" => Event::AttemptEnded {
            id: fields.word("op-id")?.into(),
            outcome: fields.choice("verdict", OUTCOMES)?,
            attempt: AttemptNumber::new(fields.number("leg")?),
            is_request_finished: fields.choice("complete", BOOLEANS)?,
            elapsed: fields.number_or("took", 0)?,
            server: fields.number("server")?,
            report: fields.load_report("metrics")?,
        },
        "abandoned" => Event::ClientDisconnected { id: fields.word("op-id")?.into() },
        "timer" => Event::Timer { token: fields.number("label")? },
        "health" => Event::Probed {
            outcome: fields.choice("verdict", OUTCOMES)?,
            server: fields.number("server")?,
            elapsed: fields.number_or("took", 0)?,
            report: fields.load_report("metrics")?,
        },
        "peer_data" => {
            Event::Gossip { from: fields.number("src-peer")?, payload: fields.bytes("octets")? }
        }
        _ => return Err(fields.error(name, Problem::UnknownMessage)),
    })
}

fn read_request(fields: &mut Fields) -> Result<Event, WireError> {
    let id = fields.word("op-id")?.into();
    let class = ClassId::new(fields.number("grade")?);
    let key = fields.key("subject")?;
    let cost: Nanos = fields.number_or("cost", 0)?;
    let tenant = TenantId::new(fields.number_or("org", 0)?);
    let attributes: u32 = fields.number_or("attrs", 0)?;
    Ok(Event::Request {
        id,
        class,
        tenant,
        key,
        cost_estimate: (attributes & HAS_COST != 0 && cost > 0).then_some(cost),
        is_client_retry: attributes & IS_REPEAT != 0,
        client_timeout: fields.number("grace")?,
    })
}

fn read_stream_started(fields: &mut Fields) -> Result<Event, WireError> {
    let id = fields.word("op-id")?.into();
    let _server: ServerId = fields.number("server")?;
    let _took: Nanos = fields.number("took")?;
    Ok(Event::StreamStarted { id, attempt: AttemptNumber::new(fields.number("leg")?) })
}
