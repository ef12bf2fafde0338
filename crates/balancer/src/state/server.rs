//! State that an instance keeps about each server.

use crate::api::{EndpointState, ListedServer, Outcome};
use crate::decide::latency_model::ServerLatency;
use crate::decide::outlier_ejection::ServerHealth;
use crate::decide::server_report::ServerReport;
use crate::decide::slow_start::WarmUpCredit;
use mintshelf_time::Nanos;

/// The state of a server. Each field is updated only by the decision module that it belongs to.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    pub(crate) listed: ListedServer,
    /// Sort key of the server in this instance's server order.
    pub(crate) order_rank: u64,
    /// Time at which the server started; `None` unless a recent start is known.
    pub(crate) started_at: Option<Nanos>,
    /// Number of attempts in flight at the server, sent by this instance.
    pub(crate) in_flight: u32,
    /// Number of the attempts in flight that are overdue.
    pub(crate) overdue: u32,
    /// Time at which the latest of the attempts that the server served was sent; 0 before the
    /// first.
    pub(crate) last_served_sent_at: Nanos,
    /// Time of the last response of any kind from the server; 0 before the first.
    pub(crate) last_response_at: Nanos,
    pub(crate) health: ServerHealth,
    pub(crate) latency: ServerLatency,
    pub(crate) report: ServerReport,
    pub(crate) warm_up_credit: WarmUpCredit,
    /// Number of the last complete list that contained the server, counted by the table.
    pub(crate) last_listed_in: u64,
}

impl ServerState {
    /// Returns whether the server is in service according to this instance's list: neither draining
    /// nor removed.
    pub(crate) fn is_live(&self) -> bool {
        self.listed.state == EndpointState::Live
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.listed.state == EndpointState::Removed
    }

    /// Returns whether the server is not ejected and has no overdue attempts.
    pub(crate) fn is_healthy(&self, now: Nanos) -> bool {
        self.overdue == 0 && !self.health.is_ejected(now)
    }

    /// Records that an attempt was sent to the server.
    pub(crate) fn record_send(&mut self) {
        self.in_flight += 1;
        self.report.count_send();
        self.warm_up_credit.spend();
    }

    /// Records that an attempt at the server ended.
    pub(crate) fn record_end(&mut self, now: Nanos, was_overdue: bool, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if was_overdue {
            self.overdue = self.overdue.saturating_sub(1);
        }
        if outcome.is_response() {
            self.last_response_at = now;
        }
    }

    /// Records that the server served an attempt sent at `sent_at`.
    pub(crate) fn record_served(&mut self, sent_at: Nanos) {
        self.last_served_sent_at = self.last_served_sent_at.max(sent_at);
    }
}
