//! The balancer of one instance: owns all state, dispatches events and collects the resulting
//! actions.

mod attempt_results;
mod attempts;
mod inputs;
mod reports;

use crate::api::{Action, Event, ListKind, ListedServer, RequestId, ServerId, Settings};
use crate::budget::RetryBudget;
use crate::decide::admission::AdmissionControl;
use crate::decide::candidates::ClassOrders;
use crate::decide::discovery_schedule::{self, DiscoveryState};
use crate::decide::endpoint_lists::EndpointLists;
use crate::decide::estimators::Estimators;
use crate::decide::gossip_exchange::{self, GossipExchange};
use crate::decide::load_reports::LoadReports;
use crate::decide::outlier_ejection::FailureBaseline;
use crate::decide::retries::RETRY_COST;
use crate::decide::retry_safety::{permitted_actions, AttemptLimits, PermittedActions};
use crate::decide::tenant_traffic::TenantTraffic;
use crate::gossip::GossipMessage;
use crate::rng::Rng;
use crate::state::{Request, ServerTable, Timer, TimerTable};
use inputs::{Arrival, AttemptEnd};
use mintshelf_time::Nanos;
use std::collections::HashMap;
use std::mem;

/// Summary of the servers in service, as known to one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceSummary {
    /// Number of servers in service.
    pub servers: usize,
    /// Total capacity of the servers in service, in units of listed size; servers that are warming
    /// up count with their current fraction.
    pub capacity: f64,
}

/// The balancer of one instance: a state machine without I/O that turns events into actions.
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
/// let event = Event::EndpointListUpdate { kind: ListKind::Full, revision: 1, entries };
/// balancer.handle(0, event, &mut actions);
/// for action in actions.drain(..) {
///     println!("{action:?}");
/// }
/// ```
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Rng,
    /// Time of the event being handled.
    now: Nanos,
    /// Actions that result from the event being handled.
    actions: Vec<Action>,
    timers: TimerTable,
    requests: HashMap<RequestId, Request>,
    servers: ServerTable,
    orders: ClassOrders,
    estimators: Estimators,
    tenants: TenantTraffic,
    admission: AdmissionControl,
    retry_budget: RetryBudget,
    failure_baseline: FailureBaseline,
    load_reports: LoadReports,
    gossip: GossipExchange,
    discovery: DiscoveryState,
    endpoint_lists: EndpointLists,
}

impl Balancer {
    /// Creates a balancer without servers and appends its first actions to `actions`. Balancers
    /// with the same `seed` draw the same random numbers.
    pub fn new(settings: Settings, seed: u64, now: Nanos, actions: &mut Vec<Action>) -> Self {
        let mut balancer = Balancer {
            rng: Rng::new(seed),
            now,
            actions: Vec::new(),
            timers: TimerTable::default(),
            requests: HashMap::new(),
            servers: ServerTable::new(&settings, now),
            orders: ClassOrders::new(),
            estimators: Estimators::new(&settings, now),
            tenants: TenantTraffic::new(&settings, now),
            admission: AdmissionControl::new(&settings, now),
            retry_budget: RetryBudget::new(settings.retry_ratio, settings.retry_budget_max),
            failure_baseline: FailureBaseline::default(),
            load_reports: LoadReports::default(),
            gossip: GossipExchange::new(now),
            discovery: DiscoveryState::default(),
            endpoint_lists: EndpointLists::new(&settings),
            settings,
        };
        if balancer.settings.must_poll {
            let poll_within = balancer.settings.poll_within;
            let delay = discovery_schedule::first_poll_delay(poll_within, &mut balancer.rng);
            balancer.set_timer(delay, Timer::DiscoveryDue);
        }
        actions.append(&mut balancer.actions);
        balancer
    }

    /// Handles one event and appends the resulting actions to `actions`. `now` must not decrease
    /// from call to call.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.servers.advance(now);
        mem::swap(&mut self.actions, actions);
        self.dispatch(event);
        mem::swap(&mut self.actions, actions);
    }

    /// Returns whether the retry budget covers a retry of an attempt that may have run.
    #[must_use]
    pub fn can_retry(&self) -> bool {
        self.retry_budget.can_withdraw(RETRY_COST)
    }

    /// Returns the number of servers in service and their total capacity.
    #[must_use]
    pub fn service_summary(&self) -> ServiceSummary {
        ServiceSummary {
            servers: self.servers.in_service().len(),
            capacity: self.estimators.total_capacity(self.now, &self.servers),
        }
    }

    /// Returns the number of attempts in flight at a server, or `None` if the server is not listed.
    #[must_use]
    pub fn in_flight(&self, server: ServerId) -> Option<u32> {
        let index = self.servers.index_of(server)?;
        let state = &self.servers[index];
        (!state.is_removed()).then_some(state.in_flight)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::EndpointListUpdate { kind, entries, .. } => {
                self.on_endpoint_list(kind, &entries);
            }
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
                let request = Request::new(class, cost_estimate, self.now, client_timeout);
                self.on_request(&id, request, Arrival { tenant, is_client_retry });
            }
            Event::StreamStarted { id, .. } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.record_stream_start();
                }
            }
            Event::AttemptEnded { id, attempt, outcome, is_request_finished, elapsed, .. } => {
                let end = AttemptEnd { outcome, is_request_finished, elapsed };
                self.on_attempt_ended(&id, attempt, end);
            }
            Event::HedgeRequested { id } => self.on_hedge_requested(&id),
            Event::ClientDisconnected { id } => self.finish_request(&id),
            Event::Timer { token } => self.on_timer(token),
            Event::Probed { server, outcome, report, .. } => {
                self.on_probed(server, outcome, report.as_deref());
            }
            Event::Gossip { payload, .. } => self.on_gossip(&payload),
        }
    }

    fn on_timer(&mut self, token: u64) {
        match self.timers.take(token) {
            Some(Timer::AttemptOverdue { id, attempt }) => self.on_overdue(&id, attempt),
            Some(Timer::HoldExpired(id)) => self.send_or_hold(&id),
            Some(Timer::ReportsDue(id)) => self.send_without_reports(&id),
            Some(Timer::DiscoveryDue) => self.poll_discovery(),
            None => {}
        }
    }

    fn on_endpoint_list(&mut self, kind: ListKind, entries: &[ListedServer]) {
        if kind == ListKind::Failed {
            self.discovery.on_failure();
            let delay = discovery_schedule::retry_delay(&mut self.rng);
            self.set_timer(delay, Timer::DiscoveryDue);
            return;
        }
        if kind != ListKind::Cached {
            self.discovery.on_response();
        }
        let servers = &mut self.servers;
        let out_of_service =
            self.endpoint_lists.apply(self.now, kind, entries, servers, &mut self.rng);
        // Idle connections to servers out of service only occupy file descriptors on both sides.
        self.actions.extend(out_of_service.into_iter().map(|server| Action::CloseIdle { server }));
        self.orders.invalidate();
    }

    fn on_discovery_address_changed(&mut self) {
        self.discovery.on_failure();
        if self.settings.must_poll {
            let delay = discovery_schedule::address_change_delay(&mut self.rng);
            self.set_timer(delay, Timer::DiscoveryDue);
        }
    }

    fn poll_discovery(&mut self) {
        if self.discovery.begin_poll() {
            self.actions.push(Action::StartWatch);
        }
    }

    fn on_gossip(&mut self, payload: &[u8]) {
        let Some(message) = GossipMessage::decode(payload) else { return };
        let latency = &self.estimators.latency;
        gossip_exchange::merge(self.now, message, &mut self.servers, latency, &mut self.tenants);
    }

    /// Sends half of the observations to a random peer if the gossip interval has passed.
    fn send_gossip_if_due(&mut self) {
        if !self.gossip.begin_if_due(self.now, &self.settings) {
            return;
        }
        let message = gossip_exchange::take_message(
            self.now,
            &mut self.servers,
            &self.estimators.latency,
            &mut self.tenants,
            &mut self.rng,
        );
        let peer = Some(gossip_exchange::draw_peer(&self.settings, &mut self.rng));
        self.actions.push(Action::SendGossip { peer, payload: message.encode() });
    }

    /// Returns what the safety rules permit for a request at the time `at`.
    fn permitted_actions(&self, request: &Request, at: Nanos) -> PermittedActions {
        let class = self.settings.class(request.class);
        permitted_actions(class, AttemptLimits::new(&self.settings), &request.progress(), at)
    }

    /// Sets a timer and returns the token that identifies the timer.
    fn set_timer(&mut self, after: Nanos, timer: Timer) -> u64 {
        self.timers.set(after, timer, &mut self.actions)
    }

    /// Sets a timer that is dropped when the record of the request is removed.
    fn set_request_timer(&mut self, after: Nanos, id: &RequestId, timer: Timer) {
        let token = self.set_timer(after, timer);
        if let Some(request) = self.requests.get_mut(id) {
            request.add_timer(token);
        }
    }

    /// Marks a request finished, and removes its record and timers unless attempts are still in
    /// flight.
    fn finish_request(&mut self, id: &RequestId) {
        let Some(tokens) = self.requests.get_mut(id).and_then(Request::finish) else { return };
        for token in tokens {
            self.timers.drop(token, &mut self.actions);
        }
        self.requests.remove(id);
    }
}
