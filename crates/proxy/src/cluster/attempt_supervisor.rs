//! What attempts need of the owner of their requests.

use super::attempt_record::AttemptEnd;
use crate::upstream::response::UpstreamResponse;
use mintshelf_balancer::api::{Event, RequestId};
use std::rc::Rc;

/// The owner of the requests whose attempts run: the runtime of their cluster.
pub(super) trait AttemptSupervisor: 'static {
    /// Handles an event, and all that follows from it.
    fn handle(self: &Rc<Self>, event: Event);

    /// Records an attempt's end, and handles what follows from it.
    fn attempt_ended(self: &Rc<Self>, id: &RequestId, end: AttemptEnd);

    /// Gives a client its response. One that no client waits for is dropped.
    fn deliver(&self, id: &RequestId, response: UpstreamResponse);

    /// Keeps a failure's response, which is delivered if no other attempt does better.
    fn set_fallback(&self, id: &RequestId, response: UpstreamResponse);

    /// Whether the budget for retries allows one now.
    fn can_retry(&self) -> bool;
}
