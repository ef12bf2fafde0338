//! Rows that are checked on virtual time, on the decision module's events and actions or on lines of
//! the simulator's wire.

use super::rows::{AttemptResult, EligibilityRow, GivenRequest, RequestOutcome, ServerState};
use super::Observed;
use mintshelf_test_support::{config, set_deadlines};
use mintshelf_time::MILLISECOND;
use serde_json::{json, Value};
use std::time::Duration;

/// Time at which a harness starts: later than any start of a server.
pub const START_TIME: u64 = 1_000_000 * MILLISECOND;
/// Client timeout: longer than any row takes.
const CLIENT_TIMEOUT: u64 = 25_000 * MILLISECOND;

/// An attempt that has ended.
pub struct EndedAttempt<'a> {
    /// Its request.
    pub id: &'a str,
    /// Its number among the request's attempts, from 0.
    pub attempt: usize,
    pub server: u64,
    /// Absent if it was served.
    pub result: Option<AttemptResult>,
    /// Its duration in nanoseconds.
    pub elapsed: u64,
}

/// One balancer instance with its clock and its timers.
pub trait Harness {
    /// Starts it with servers, numbered from 0.
    fn start(servers: &[ServerState]) -> Self;

    /// Advances the clock by nanoseconds.
    fn advance(&mut self, duration: u64);

    /// Fires the next timer; false if there is none.
    fn fire_next_timer(&mut self) -> bool;

    /// A client sends a request, and waits for `client_timeout` nanoseconds.
    fn send_request(&mut self, id: &str, class: usize, client_timeout: u64);

    /// An attempt has ended.
    fn end_attempt(&mut self, ended: EndedAttempt);

    /// The servers of all attempts, in order.
    fn attempted_servers(&self) -> Vec<u64>;

    /// The outcome of a request that was not served, once there is one.
    fn outcome(&self) -> Option<RequestOutcome>;
}

/// The settings of the real sidecar's tests, with long deadlines and slow start.
pub fn settings() -> Value {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    let mut config = config(nowhere, Vec::new());
    set_deadlines(&mut config, Duration::from_secs(30));
    config["settings"]["invariants"]["cold"] = json!(8_000 * MILLISECOND);
    config["settings"].take()
}

/// Sends one request whose first attempts have the results of the row.
pub fn outcome<H: Harness>(given: &GivenRequest) -> Observed {
    let mut harness = H::start(&[ServerState::Ready; 8]);
    harness.send_request("a", given.class(), CLIENT_TIMEOUT);
    let mut results = given.results.iter().copied();
    let mut attempt = 0;
    loop {
        let servers = harness.attempted_servers();
        let attempts = servers.len();
        if attempts > attempt {
            let Some(result) = results.next() else {
                return Observed { outcome: RequestOutcome::Served, attempts };
            };
            let elapsed = match result {
                AttemptResult::TimedOut => CLIENT_TIMEOUT,
                _ => given.elapsed_ms * MILLISECOND,
            };
            harness.advance(elapsed);
            let (id, server, result) = ("a", servers[attempt], Some(result));
            harness.end_attempt(EndedAttempt { id, attempt, server, result, elapsed });
            attempt += 1;
        } else if let Some(outcome) = harness.outcome() {
            return Observed { outcome, attempts };
        } else {
            assert!(harness.fire_next_timer(), "neither sent nor answered: {given:?}");
        }
    }
}

/// How many of 300 requests, 10 ms apart and served in 5, go to each server.
pub fn request_counts<H: Harness>(row: &EligibilityRow) -> Vec<usize> {
    let mut harness = H::start(&row.servers);
    // The grace period of rule 3 passes.
    harness.advance(300 * MILLISECOND);
    let mut counts = vec![0; row.servers.len()];
    for number in 0..300 {
        let id = number.to_string();
        harness.send_request(&id, 0, 8_000 * MILLISECOND);
        let servers = harness.attempted_servers();
        assert_eq!(servers.len(), number + 1, "one attempt at once");
        let server = servers[number];
        counts[server as usize] += 1;
        harness.advance(5 * MILLISECOND);
        let elapsed = 5 * MILLISECOND;
        harness.end_attempt(EndedAttempt { id: &id, attempt: 0, server, result: None, elapsed });
        harness.advance(5 * MILLISECOND);
    }
    counts
}
