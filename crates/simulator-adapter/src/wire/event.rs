//! Parses messages into events of a balancer.

use super::error::{WireError, WireErrorKind};
use super::fields::Fields;
use super::vocabulary::{field, message, BOOLEANS, HAS_COST_ESTIMATE, IS_CLIENT_RETRY, OUTCOMES};
use mintshelf_balancer::api::{AttemptNumber, ClassId, Event, ServerId, TenantId};
use mintshelf_time::Nanos;

/// Parses the fields of the message `name` into an event, in the order of the fields on the wire.
pub(super) fn read_event(name: &str, fields: &mut Fields) -> Result<Event, WireError> {
    match name {
        message::REQUEST => read_request(fields),
        message::STREAM_STARTED => read_stream_started(fields),
        message::ATTEMPT_ENDED => read_attempt_end(fields),
        message::CLIENT_DISCONNECTED => {
            Ok(Event::ClientDisconnected { id: fields.next_word(field::REQUEST)?.into() })
        }
        message::TIMER => Ok(Event::Timer { token: fields.number(field::TIMER_TOKEN)? }),
        message::PROBED => read_probe_end(fields),
        message::GOSSIP => Ok(Event::Gossip {
            from: fields.number(field::PEER)?,
            payload: fields.bytes(field::PAYLOAD)?,
        }),
        _ => Err(fields.error(name, WireErrorKind::UnknownMessage)),
    }
}

fn read_request(fields: &mut Fields) -> Result<Event, WireError> {
    let id = fields.next_word(field::REQUEST)?.into();
    let class = ClassId::new(fields.number(field::CLASS)?);
    let key = fields.key(field::KEY)?;
    let cost: Nanos = fields.number_or(field::COST_ESTIMATE, 0)?;
    let tenant = TenantId::new(fields.number_or(field::TENANT, 0)?);
    let attributes: u32 = fields.number_or(field::ATTRIBUTES, 0)?;
    Ok(Event::Request {
        id,
        class,
        tenant,
        key,
        cost_estimate: (attributes & HAS_COST_ESTIMATE != 0 && cost > 0).then_some(cost),
        is_client_retry: attributes & IS_CLIENT_RETRY != 0,
        client_timeout: fields.number(field::CLIENT_TIMEOUT)?,
    })
}

fn read_stream_started(fields: &mut Fields) -> Result<Event, WireError> {
    let id = fields.next_word(field::REQUEST)?.into();
    let _server: ServerId = fields.number(field::SERVER)?;
    let _elapsed: Nanos = fields.number(field::ELAPSED)?;
    Ok(Event::StreamStarted { id, attempt: read_attempt_number(fields)? })
}

fn read_attempt_end(fields: &mut Fields) -> Result<Event, WireError> {
    Ok(Event::AttemptEnded {
        id: fields.next_word(field::REQUEST)?.into(),
        outcome: fields.choice(field::OUTCOME, OUTCOMES)?,
        attempt: read_attempt_number(fields)?,
        is_request_finished: fields.choice(field::IS_REQUEST_FINISHED, BOOLEANS)?,
        elapsed: fields.number_or(field::ELAPSED, 0)?,
        server: fields.number(field::SERVER)?,
        report: fields.load_report(field::LOAD_REPORT)?,
    })
}

fn read_probe_end(fields: &mut Fields) -> Result<Event, WireError> {
    Ok(Event::Probed {
        outcome: fields.choice(field::OUTCOME, OUTCOMES)?,
        server: fields.number(field::SERVER)?,
        elapsed: fields.number_or(field::ELAPSED, 0)?,
        report: fields.load_report(field::LOAD_REPORT)?,
    })
}

fn read_attempt_number(fields: &mut Fields) -> Result<AttemptNumber, WireError> {
    fields.number(field::ATTEMPT).map(AttemptNumber::new)
}
