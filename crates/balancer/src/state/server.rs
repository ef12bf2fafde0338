//! What is known of each server, and the state of the calls to discovery.

use crate::api::{EndpointState, ListedServer, Outcome};
use crate::decay::{DecayingCounter, DecayingMean};
use crate::server_order::ServerOrder;
use mintshelf_time::Nanos;

/// What one instance knows of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    pub(crate) listed: ListedServer,
    /// Sort key of its position in this instance's order.
    pub(crate) order_rank: u64,
    /// When it started, if that is known to be recent.
    pub(crate) started_at: Option<Nanos>,
    pub(crate) in_flight: u32,
    pub(crate) overdue: u32,
    /// Until when it is ejected for each class.
    pub(crate) class_ejected_until: Vec<Nanos>,
    /// When the latest attempt that it served was sent.
    pub(crate) last_served_sent_at: Nanos,
    /// When it last responded to anything.
    pub(crate) last_response_at: Nanos,
    /// Logs of the ratios of its latencies to the typical ones.
    pub(crate) log_latency_ratio: DecayingMean,
    pub(crate) failures: DecayingCounter,
    pub(crate) ejected_until: Nanos,
    /// Number of ejections in succession.
    pub(crate) ejections: u32,
    /// Sends that this instance may still direct to it while it warms up.
    pub(crate) warm_up_credit: f64,
    pub(crate) credit_updated_at: Nanos,
    /// The last load report, in the order of the settings.
    pub(crate) report: Vec<f64>,
    /// Queue of the last load report, plus the requests sent since.
    pub(crate) reported_queue: f64,
    pub(crate) reported_at: Nanos,
    pub(crate) probed_at: Nanos,
    /// The last complete list that named it, by the table's count of such lists.
    pub(crate) named_by_list: u64,
}

impl ServerState {
    /// Whether it is in service, neither draining nor removed, as far as this instance knows.
    pub(crate) fn is_live(&self) -> bool {
        self.listed.state == EndpointState::Live
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.listed.state == EndpointState::Removed
    }

    /// Whether it is ejected for all classes at `now`.
    pub(crate) fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }

    /// Whether it is neither ejected nor has overdue attempts.
    pub(crate) fn is_healthy(&self, now: Nanos) -> bool {
        self.overdue == 0 && !self.is_ejected(now)
    }

    /// Whether it is ejected for a class at `now`.
    pub(crate) fn is_ejected_for(&self, class: usize, now: Nanos) -> bool {
        self.class_ejected_until.get(class).is_some_and(|until| *until > now)
    }

    /// Ejects it for a class.
    pub(crate) fn eject_for(&mut self, class: usize, until: Nanos) {
        if self.class_ejected_until.len() <= class {
            self.class_ejected_until.resize(class + 1, 0);
        }
        self.class_ejected_until[class] = until;
    }

    /// Records a load report and the queue that it states.
    pub(crate) fn record_report(&mut self, now: Nanos, report: &[f64], queue: f64) {
        self.report = report.to_vec();
        self.reported_queue = queue;
        self.reported_at = now;
    }

    /// Records that an attempt has ended.
    pub(crate) fn record_end(&mut self, now: Nanos, was_overdue: bool, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.overdue = self.overdue.saturating_sub(u32::from(was_overdue));
        if outcome.answered() {
            self.last_response_at = now;
        }
    }
}

/// The server orders of all classes: kinds of server may suit some classes and not others.
#[derive(Debug, Default)]
pub(crate) struct ClassOrders {
    /// One order for each class; empty until first refreshed.
    pub(crate) by_class: Vec<ServerOrder>,
    pub(crate) refreshed_at: Nanos,
    /// Whether they must be refreshed before the next use.
    pub(crate) is_stale: bool,
}

/// State of the calls to discovery.
#[derive(Debug, Default)]
pub(crate) struct DiscoveryCall {
    /// Whether a watch is established.
    pub(crate) is_watching: bool,
    /// Whether a call was made and has not ended.
    pub(crate) is_pending: bool,
}

impl DiscoveryCall {
    /// Notes that a call is made; returns false if none is needed.
    #[must_use]
    pub(crate) fn begin_call(&mut self) -> bool {
        let is_needed = !self.is_watching && !self.is_pending;
        self.is_pending |= is_needed;
        is_needed
    }

    /// Notes that discovery has responded to the pending call, if there is one.
    pub(crate) fn establish_watch(&mut self) {
        if self.is_pending {
            self.is_watching = true;
            self.is_pending = false;
        }
    }
}
