//! Client side of the discovery service: polls it and passes accepted endpoint lists to the cluster.

mod client;
pub mod list;
mod protocol;
pub mod reader;
mod server_numbers;
pub(crate) mod watch_tasks;

use crate::endpoints::EndpointListObserver;
use client::{DiscoveryClient, ReceivedBody};
use list::EndpointList;
use mintshelf_balancer::api::ListKind;
use mintshelf_discovery::revision::{Evaluation, ResetCheck, RESET_POLL_INTERVAL};
use mintshelf_discovery::watch::{CallOutcome, NextCall, WatchState};
use reader::EndpointListReader;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tokio_util::sync::CancellationToken;

/// Minimum interval between the starts of two polls of a watch, short enough to keep the watch
/// established.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for the response head of a poll that does not wait for changes. The full list is
/// requested after it.
const RESET_CHECK_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum interval between two polls of a push agent, which may respond at once without changes.
const AGENT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time that a push agent may wait for changes before responding to a poll. The time is
/// short, as another agent may replace the agent at any time.
const AGENT_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Additional time after the poll timeout within which a push agent's response must begin;
/// otherwise the agent is polled on another connection. An agent does not respond until it has a
/// list, which is then needed at once.
const AGENT_RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// The discovery service of one cluster. Its address may change.
#[derive(Debug)]
pub struct Discovery {
    reader: RefCell<EndpointListReader>,
    address: Cell<SocketAddr>,
    created_at: Instant,
}

impl Discovery {
    /// Creates a service that has not been called yet.
    #[must_use]
    pub fn new(reader: EndpointListReader, address: SocketAddr) -> Self {
        Discovery {
            reader: RefCell::new(reader),
            address: Cell::new(address),
            created_at: Instant::now(),
        }
    }

    /// Sets the address of later calls; returns whether it has changed. Calls in progress continue.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    /// Passes the cached list of the configuration to the observer.
    pub fn load_cached_list(&self, text: Option<&str>, observer: &impl EndpointListObserver) {
        let servers = text.and_then(|text| self.reader.borrow_mut().apply_cached(text));
        observer.endpoints_listed(ListKind::Cached, self.revision(), servers.unwrap_or_default());
    }

    fn revision(&self) -> u64 {
        self.reader.borrow().revision()
    }

    fn connect(&self) -> DiscoveryClient {
        DiscoveryClient::new(self.address.get(), self.reader.borrow().arrival())
    }

    /// Polls for changes until a call fails or `replaced` is cancelled, because another watch takes
    /// the place of this one. A response that is arriving then is still read and applied.
    pub async fn watch(
        self: Rc<Self>,
        observer: impl EndpointListObserver,
        replaced: CancellationToken,
    ) {
        let mut client = self.connect();
        let mut watch = WatchState::default();
        loop {
            let started_at = Instant::now();
            let next_call = tokio::select! {
                biased;
                next_call = self.poll(&mut client, &mut watch, &observer, &replaced) => next_call,
                () = self.superseded(&replaced) => return,
            };
            match next_call {
                None => return,
                Some(NextCall::Continue) => {}
                Some(NextCall::Reconnect) => client = self.connect(),
                Some(NextCall::BackOff) => return self.report_failure(&observer),
            }
            // Prevents a busy loop if the service responds to every poll at once.
            sleep(MIN_POLL_INTERVAL.saturating_sub(started_at.elapsed())).await;
        }
    }

    /// Polls once and handles the response. Returns the next step, `None` if the watch was replaced
    /// meanwhile.
    async fn poll(
        &self,
        client: &mut DiscoveryClient,
        watch: &mut WatchState,
        observer: &impl EndpointListObserver,
        replaced: &CancellationToken,
    ) -> Option<NextCall> {
        let response = client
            .poll_changes(self.revision(), watch.poll_timeout(), watch.response_grace())
            .await;
        if replaced.is_cancelled() {
            self.handle_last_response(&response, observer);
            return None;
        }
        let outcome = self.handle_response(client, observer, response).await;
        if replaced.is_cancelled() {
            return None;
        }
        Some(watch.on_call_end(outcome))
    }

    /// Waits until the watch is replaced and no list is arriving.
    async fn superseded(&self, replaced: &CancellationToken) {
        replaced.cancelled().await;
        let arrival = self.reader.borrow().arrival();
        arrival.wait_until_applied().await;
    }

    /// Applies the last response of a replaced watch, if its list is newer than the current one.
    fn handle_last_response(&self, response: &ReceivedBody, observer: &impl EndpointListObserver) {
        let list = EndpointList::parse(&response.bytes);
        if list.revision.is_some_and(|revision| revision > self.revision()) {
            self.apply(list, response, observer);
        }
        self.reader.borrow().arrival().record_response_handled();
    }

    /// Fetches the full endpoint list once and passes it to the observer.
    pub async fn fetch(self: Rc<Self>, observer: impl EndpointListObserver) {
        let mut client = self.connect();
        let response = client.fetch_list().await;
        let outcome = self.handle_response(&mut client, &observer, response).await;
        if outcome != CallOutcome::Completed {
            self.report_failure(&observer);
        }
    }

    /// Follows an agent that lists are pushed to; never returns. A poll without a response is not
    /// reported as a failure.
    pub async fn follow_agent(self: Rc<Self>, observer: impl EndpointListObserver) {
        let mut client = self.connect();
        loop {
            if client.address() != self.address.get() {
                client = self.connect();
            }
            let started_at = Instant::now();
            let response = client
                .poll_changes(self.revision(), AGENT_POLL_TIMEOUT, AGENT_RESPONSE_GRACE)
                .await;
            self.handle_response(&mut client, &observer, response).await;
            sleep(AGENT_POLL_INTERVAL.saturating_sub(started_at.elapsed())).await;
        }
    }

    fn report_failure(&self, observer: &impl EndpointListObserver) {
        observer.endpoints_listed(ListKind::Failed, self.revision(), Vec::new());
    }

    /// Applies a response if its revision is acceptable.
    ///
    /// A list older than the current one is not applied, as it would undo later changes. But a
    /// service that was reset may never reach the current revision, so it is polled again until its
    /// revision is current or a reset is confirmed.
    async fn handle_response(
        &self,
        client: &mut DiscoveryClient,
        observer: &impl EndpointListObserver,
        mut response: ReceivedBody,
    ) -> CallOutcome {
        loop {
            let list = EndpointList::parse(&response.bytes);
            let is_valid = list.is_well_formed && response.is_complete;
            let now = self.created_at.elapsed();
            let evaluation = self.reader.borrow_mut().evaluate(now, &list, is_valid);
            if evaluation == Evaluation::Accept {
                self.apply(list, &response, observer);
            }
            self.reader.borrow().arrival().record_response_handled();
            if evaluation == Evaluation::Accept {
                return response.outcome(is_valid);
            }
            if !is_valid || client.address() != self.address.get() {
                return response.outcome(false);
            }
            sleep(RESET_POLL_INTERVAL).await;
            response = self.check_for_reset(client).await;
        }
    }

    /// Requests another response from a service that may have been reset.
    async fn check_for_reset(&self, client: &mut DiscoveryClient) -> ReceivedBody {
        let check = self.reader.borrow().reset_check(self.created_at.elapsed());
        if let ResetCheck::ChangesAfter(revision) = check {
            let changes = client.poll_changes(revision, Duration::ZERO, RESET_CHECK_TIMEOUT).await;
            if changes.is_complete {
                return changes;
            }
        }
        client.fetch_list().await
    }

    fn apply(
        &self,
        list: EndpointList<'_>,
        response: &ReceivedBody,
        observer: &impl EndpointListObserver,
    ) {
        let is_valid = list.is_well_formed && response.is_complete;
        let update = self.reader.borrow_mut().apply(list, response.is_complete);
        if is_valid || !update.servers.is_empty() {
            observer.endpoints_listed(update.kind, self.revision(), update.servers);
        }
    }
}
