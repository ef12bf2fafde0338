//! The interface of attempts to the owner of their requests.

use super::attempt_record::AttemptEnd;
use crate::upstream::response::UpstreamResponse;
use mintshelf_balancer::api::{AttemptNumber, Event, Outcome, RequestId};
use std::rc::Rc;

/// The owner of the requests whose attempts run: the runtime of their cluster.
pub(super) trait AttemptSupervisor: 'static {
    /// Handles an event and performs the resulting actions.
    fn handle(self: &Rc<Self>, event: Event);

    /// Records the end of an attempt and performs the resulting actions.
    fn attempt_ended(self: &Rc<Self>, id: &RequestId, end: AttemptEnd);

    /// Delivers a response to its client, or drops it if no client waits for it.
    fn deliver(&self, id: &RequestId, response: UpstreamResponse);

    /// Stores the response of an attempt that failed with `outcome`. It is delivered if no other
    /// attempt succeeds, unless what it states of the request's effect may be wrong.
    fn store_fallback(&self, id: &RequestId, outcome: Outcome, response: UpstreamResponse);

    /// Returns whether another attempt of the request than this one may have run.
    fn others_may_have_run(&self, id: &RequestId, number: AttemptNumber) -> bool;

    /// Returns whether the retry budget allows a retry now.
    fn can_retry(&self) -> bool;
}
