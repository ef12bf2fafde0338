//! The fallback of a request: the response of a failed attempt that the client gets if no other
//! attempt succeeds.

use crate::upstream::response::UpstreamResponse;
use mintshelf_balancer::api::Outcome;

/// A response of a failed attempt.
struct StoredResponse {
    response: UpstreamResponse,
    /// Whether the response states that its server never ran the request.
    states_never_ran: bool,
}

/// The response that takes the place of a rejection or failure of this process, if there is one.
#[derive(Default)]
pub(crate) struct Fallback(Option<StoredResponse>);

impl Fallback {
    /// Stores the response of an attempt that ended with `outcome`. A response of a server that ran
    /// the request is not replaced by one of a server that never ran it.
    pub(crate) fn store(&mut self, outcome: Outcome, response: UpstreamResponse) {
        let states_never_ran = outcome.never_ran();
        let has_run_elsewhere = self.0.as_ref().is_some_and(|stored| !stored.states_never_ran);
        if !(states_never_ran && has_run_elsewhere) {
            self.0 = Some(StoredResponse { response, states_never_ran });
        }
    }

    /// Takes the response that may be delivered; `may_have_run` is whether any attempt of the
    /// request may have run. A server's statement that the request never ran is true of its own
    /// attempt only, but a client takes it as true of the request.
    pub(crate) fn take(&mut self, may_have_run: bool) -> Option<UpstreamResponse> {
        let stored = self.0.take()?;
        let may_be_false = stored.states_never_ran && may_have_run;
        (!may_be_false).then_some(stored.response)
    }
}
