//! The balancer of one instance: its state, and the dispatch of events to the policy.

use crate::api::{Action, Event, Outcome, RequestId, ServerId, Settings};
use crate::budget::RetryBudget;
use crate::rng::Rng;
use crate::state::{
    Attempt, AttemptEnd, AttemptRecord, ClassOrders, DiscoveryCall, LatencyModel, OverloadState,
    ProbeResult, ReportFreshness, Request, ServerTable, Timer, TimerTable, TrafficEstimates,
};
use mintshelf_time::Nanos;
use std::collections::HashMap;
use std::mem;

/// What is in service, as one instance knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceSummary {
    /// Number of servers.
    pub servers: usize,
    /// Their capacity in units of listed size, less what those that are warming up lack.
    pub capacity: f64,
}

/// The balancer of one instance.
///
/// # Examples
///
/// ```
/// use mintshelf_balancer::api::{Action, Event, ListKind, ListedServer, Settings};
/// use mintshelf_balancer::decide::Balancer;
///
/// let mut actions = Vec::new();
/// let settings = Settings { instances: 10, ..Settings::default() };
/// let mut balancer = Balancer::new(settings, 7, 0, &mut actions);
/// let entries = vec![ListedServer { id: 11, size: 1.0, ..ListedServer::default() }].into();
/// balancer.handle(0, Event::Servers { kind: ListKind::Full, version: 1, entries }, &mut actions);
/// for action in actions.drain(..) {
///     println!("{action:?}");
/// }
/// ```
#[derive(Debug, Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    pub(crate) started_at: Nanos,
    /// Time of the event that is being handled.
    pub(crate) now: Nanos,
    /// Actions of the event that is being handled.
    pub(crate) actions: Vec<Action>,
    pub(crate) servers: ServerTable,
    pub(crate) orders: ClassOrders,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) timers: TimerTable,
    /// Requests that wait for the load reports of a pair.
    pub(crate) awaiting_reports: Vec<RequestId>,
    pub(crate) latency: LatencyModel,
    pub(crate) traffic: TrafficEstimates,
    pub(crate) overload: OverloadState,
    pub(crate) retry_budget: RetryBudget,
    /// Share of attempts that fail, over all servers.
    pub(crate) baseline_failure_share: f64,
    pub(crate) report_freshness: ReportFreshness,
    pub(crate) last_gossip_at: Nanos,
    pub(crate) discovery: DiscoveryCall,
    /// Latest start that any list has stated, by the clock of the servers.
    pub(crate) latest_start: Nanos,
    /// Whether a list has come from discovery itself.
    pub(crate) has_current_list: bool,
}

impl Balancer {
    /// Creates an instance that has its settings and knows no servers. `seed` determines its
    /// random numbers; the first actions are appended to `actions`.
    pub fn new(settings: Settings, seed: u64, now: Nanos, actions: &mut Vec<Action>) -> Self {
        let mut balancer = Balancer {
            rng: Rng::new(seed),
            started_at: now,
            now,
            orders: ClassOrders { is_stale: true, ..ClassOrders::default() },
            latency: LatencyModel::new(&settings),
            traffic: TrafficEstimates::new(&settings),
            overload: OverloadState::new(&settings, now),
            retry_budget: RetryBudget::new(settings.retry_ratio, settings.retry_budget_max),
            last_gossip_at: now,
            servers: ServerTable::new(&settings, now),
            settings,
            ..Balancer::default()
        };
        balancer.on_start();
        actions.append(&mut balancer.actions);
        balancer
    }

    /// Handles one event and appends the actions that follow from it. Times must not decrease
    /// from call to call.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.servers.advance(now);
        mem::swap(&mut self.actions, actions);
        self.dispatch(event);
        mem::swap(&mut self.actions, actions);
    }

    /// Whether the retry budget covers an attempt after one that may have run.
    #[must_use]
    pub fn can_retry(&self) -> bool {
        self.retry_budget.covers(1.0)
    }

    /// The servers in service and their capacity.
    #[must_use]
    pub fn service_summary(&self) -> ServiceSummary {
        ServiceSummary { servers: self.servers.in_service().len(), capacity: self.capacity() }
    }

    /// Attempts in flight at a server; none if it is not listed.
    #[must_use]
    pub fn in_flight(&self, server: ServerId) -> Option<u32> {
        let index = self.servers.index_of(server)?;
        let state = &self.servers[index];
        (!state.is_removed()).then_some(state.in_flight)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Servers { kind, entries, .. } => self.on_list(kind, &entries),
            Event::DiscoveryAddressChanged => self.on_discovery_address_changed(),
            Event::Request {
                id,
                class,
                tenant,
                client_timeout,
                is_client_retry,
                cost_estimate,
                ..
            } => {
                let request = Request {
                    class: class.index(),
                    tenant: tenant.index(),
                    log_work: cost_estimate.filter(|cost| *cost > 0).map(|cost| (cost as f64).ln()),
                    is_repeat: is_client_retry,
                    arrived_at: self.now,
                    deadline: self.now.saturating_add(client_timeout),
                    ..Request::default()
                };
                self.on_request(id, request);
            }
            Event::StreamStarted { id, .. } => {
                self.requests.entry(id).and_modify(|request| request.is_streaming = true);
            }
            Event::AttemptEnded { id, attempt, outcome, is_request_finished, elapsed, .. } => {
                let end = AttemptEnd { outcome, is_request_finished, elapsed };
                self.on_attempt_ended(&id, attempt.index(), end);
            }
            Event::HedgeRequested { id } => self.on_hedge_requested(&id),
            Event::ClientDisconnected { id } => self.close(&id),
            Event::Timer { token } => self.on_timer(token),
            Event::Probed { server, outcome, report, .. } => {
                self.on_probed(server, ProbeResult { is_ok: outcome == Outcome::Ok, report });
            }
            Event::Gossip { payload, .. } => self.on_gossip(&payload),
        }
    }

    fn on_timer(&mut self, token: u64) {
        match self.timers.take(token) {
            Some(Timer::AttemptOverdue { id, attempt }) => self.on_overdue(&id, attempt),
            Some(Timer::HoldExpired(id)) => self.advance(&id),
            Some(Timer::ReportsDue(id)) => self.choose_by_reports(&id, true),
            Some(Timer::DiscoveryDue) => self.call_discovery(),
            None => {}
        }
    }

    /// Kind of machine of a server, as an index into the latency model.
    pub(crate) fn kind_of(&self, index: usize) -> usize {
        (self.servers[index].listed.hardware_model).min(self.settings.hardware_models.max(1) - 1)
            as usize
    }

    /// Sets a timer that belongs to no request.
    pub(crate) fn set_timer(&mut self, after: Nanos, timer: Timer) -> u64 {
        self.timers.set(after, timer, &mut self.actions)
    }

    /// Sets a timer that is dropped when the request is closed.
    pub(crate) fn set_request_timer(&mut self, after: Nanos, id: &RequestId, timer: Timer) {
        let token = self.set_timer(after, timer);
        self.requests.entry(id.clone()).and_modify(|request| request.timer_tokens.push(token));
    }

    /// Records that an attempt of a request is sent to a server; returns the attempt's number.
    pub(crate) fn record_send(&mut self, id: &RequestId, index: usize) -> Option<usize> {
        let request = self.requests.get_mut(id)?;
        let attempt = request.attempts.len();
        let state = &mut self.servers[index];
        state.in_flight += 1;
        state.reported_queue += 1.0;
        state.warm_up_credit -= 1.0;
        let server = state.listed.id;
        let sent_at = self.now;
        request.attempts.push(Attempt { server, sent_at, ..Attempt::default() });
        let timeout_at = request.deadline;
        self.actions.push(Action::Send { id: id.clone(), server, timeout_at });
        Some(attempt)
    }

    /// Records the outcome of an attempt; `None` if it is unknown or has ended before.
    pub(crate) fn record_end(
        &mut self,
        id: &RequestId,
        attempt_number: usize,
        outcome: Outcome,
    ) -> Option<AttemptRecord> {
        let request = self.requests.get_mut(id)?;
        let attempt = request.attempts.get_mut(attempt_number);
        let attempt = attempt.filter(|attempt| attempt.is_in_flight())?;
        attempt.outcome = Some(outcome);
        Some(request.record_of(attempt_number))
    }

    /// The record of an attempt that still awaits a response; `None` if it has ended or its
    /// response has begun.
    pub(crate) fn awaited_attempt(&self, id: &RequestId, attempt: usize) -> Option<AttemptRecord> {
        let request = self.requests.get(id).filter(|request| !request.is_streaming)?;
        request.attempts.get(attempt).filter(|attempt| attempt.is_in_flight())?;
        Some(request.record_of(attempt))
    }

    /// Marks an attempt overdue, and counts it as such at its server.
    pub(crate) fn mark_overdue(&mut self, id: &RequestId, attempt: usize, index: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts[attempt].is_overdue = true;
            self.servers[index].overdue += 1;
            self.servers.suspect(index);
        }
    }

    /// Marks a request finished; its record remains while attempts are in flight.
    pub(crate) fn close(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.is_finished = true;
        if request.has_attempt_in_flight() {
            return;
        }
        for token in mem::take(&mut request.timer_tokens) {
            self.timers.drop(token, &mut self.actions);
        }
        self.requests.remove(id);
    }
}
