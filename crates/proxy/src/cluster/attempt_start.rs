//! Starts attempts: checks whether an attempt may be sent, and builds its deadlines and message.

use super::attempt::AttemptTask;
use super::attempt_context::AttemptContext;
use super::attempt_record::NewAttempt;
use super::attempt_supervisor::AttemptSupervisor;
use super::pending_requests::PendingRequest;
use super::request::{RequestOutcome, UpstreamRequest};
use super::state::RuntimeState;
use super::trace;
use crate::upstream::attempt_control::AttemptControl;
use crate::upstream::exchange::AttemptMessage;
use crate::upstream::request_body::RequestBody;
use mintshelf_balancer::api::{AttemptNumber, Event, RequestId, ServerId};
use mintshelf_time::Nanos;
use std::rc::Rc;

/// A `Send` action of the decision module.
pub(super) struct SendCommand {
    pub(super) id: RequestId,
    pub(super) server: ServerId,
    /// Time at which the attempt times out.
    pub(super) timeout_at: Nanos,
}

/// An attempt that is added to the record of its request but not sent yet.
struct RecordedAttempt {
    number: AttemptNumber,
    control: Rc<AttemptControl>,
    /// Latest time at which the attempt ends.
    end_at: Nanos,
    /// The latest time to send the attempt, if a deduplication window applies.
    send_by: Option<Nanos>,
    /// Whether the request's other attempts allow this one: they are not too many, and none is at
    /// the same server.
    is_permitted: bool,
}

/// Starts an attempt in the task that waits for its request's response. An attempt that may not
/// be sent ends immediately with the outcome `Unused`.
pub(super) fn start_attempt<S: AttemptSupervisor>(
    context: &Rc<AttemptContext>,
    supervisor: &Rc<S>,
    state: &mut RuntimeState,
    command: SendCommand,
) {
    let now = context.clock.now();
    let Some(recorded) = record_attempt(context, state, &command, now) else { return };
    let SendCommand { id, server, .. } = command;
    let RecordedAttempt { number, control, end_at, send_by, is_permitted } = recorded;
    if control.is_client_disconnected() {
        // No client would read the response.
        state.abort(&id, RequestOutcome::Failed { timed_out: false });
    }
    let Some(request) = state.requests.get(&id) else { return };
    let response = request.response.clone().filter(|_| is_permitted && end_at > now);
    let Some(response) = response else { return state.end_unused(&id, number, now) };
    let timeouts = context.timeouts(request, number, now);
    let message = attempt_message(supervisor, request, &id, number);
    let deadlines = context.deadlines(request.class, end_at, send_by);
    let target = context.upstream.target(server);
    trace::attempt_began(&id, number, server, target.map(|target| target.address));
    let task = AttemptTask {
        context: context.clone(),
        supervisor: supervisor.clone(),
        id,
        number,
        class: request.class,
        timeouts,
    };
    response.start(Box::pin(task.run(target, message, deadlines, control)));
}

/// Adds an attempt to the record of its request; returns `None` if the request has ended.
fn record_attempt(
    context: &AttemptContext,
    state: &mut RuntimeState,
    command: &SendCommand,
    now: Nanos,
) -> Option<RecordedAttempt> {
    let request = state.requests.get_mut(&command.id)?;
    // Computed before the new attempt is added, as the window starts with an earlier attempt.
    let send_by = context.send_by(request);
    let NewAttempt { number, control, is_duplicate } = request.add_attempt(command.server, now);
    let end_at = command.timeout_at.min(request.deadline);
    // A second attempt at the same server would wait in the same queue.
    let is_permitted = request.attempts.len() <= context.max_attempts && !is_duplicate;
    Some(RecordedAttempt { number, control, end_at, send_by, is_permitted })
}

/// Builds the message of an attempt.
fn attempt_message<S: AttemptSupervisor>(
    supervisor: &Rc<S>,
    request: &PendingRequest,
    id: &RequestId,
    number: AttemptNumber,
) -> AttemptMessage {
    let UpstreamRequest { message, memory, .. } = &request.upstream_request;
    let message = AttemptMessage { request: message.clone(), memory: memory.clone() };
    if let RequestBody::Streamed(body) = message.request.body() {
        // Once part of a streamed body has been sent, the decision module must not retry the
        // request.
        let supervisor = Rc::downgrade(supervisor);
        let id = id.clone();
        body.on_first_frame(move || {
            if let Some(supervisor) = supervisor.upgrade() {
                supervisor.handle(Event::StreamStarted { id, attempt: number });
            }
        });
    }
    message
}
