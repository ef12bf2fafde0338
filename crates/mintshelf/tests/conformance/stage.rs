//! Rows that are played by a clock of their own, whatever carries the decisions: the module's
//! events and actions, or lines of the simulator's wire.

use super::{End, Given, MembersRow, Met, Seen, State};
use mintshelf_test_support::{config, set_deadlines};
use mintshelf_time::MILLISECOND;
use serde_json::{json, Value};
use std::time::Duration;

/// Later than any start time that matters.
pub const START: u64 = 1_000_000 * MILLISECOND;
/// Longer than any row takes.
const PATIENCE: u64 = 25_000 * MILLISECOND;

/// An attempt that has ended.
pub struct Ended<'a> {
    pub id: &'a str,
    /// Of the request's attempts, from 0.
    pub attempt: usize,
    pub server: u64,
    /// What it met; none if it was served.
    pub met: Option<Met>,
    pub took: u64,
}

/// One instance with servers, numbered from 0, its clock and its timers.
pub trait Stage {
    fn with(servers: &[State]) -> Self;

    /// Moves the clock on.
    fn pass(&mut self, span: u64);

    /// Lets the next timer fire, if there is one.
    fn wait(&mut self) -> bool;

    fn request(&mut self, id: &str, class: usize, patience: u64);

    fn ended(&mut self, ended: Ended);

    /// Servers that attempts have gone to, in order.
    fn sent(&self) -> Vec<u64>;

    /// What a client was told that was not served.
    fn end(&self) -> Option<End>;
}

/// The settings of the real sidecar's tests, with long deadlines and cold starts.
pub fn settings() -> Value {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    let mut config = config(nowhere, Vec::new());
    set_deadlines(&mut config, Duration::from_secs(30));
    config["settings"]["invariants"]["cold"] = json!(8_000 * MILLISECOND);
    config["settings"].take()
}

/// One request whose attempts meet what the row says.
pub fn outcome<S: Stage>(given: &Given) -> Seen {
    let mut stage = S::with(&[State::Ready; 8]);
    stage.request("a", given.class(), PATIENCE);
    let (mut met, mut attempt) = (given.met.iter().copied(), 0);
    loop {
        let sent = stage.sent();
        if sent.len() > attempt {
            let Some(met) = met.next() else { return Seen { end: End::Served, sent: sent.len() } };
            let took = match met {
                // Its client's whole time.
                Met::Silence => PATIENCE,
                _ => given.took_ms * MILLISECOND,
            };
            stage.pass(took);
            let (id, server, met) = ("a", sent[attempt], Some(met));
            stage.ended(Ended { id, attempt, server, met, took });
            attempt += 1;
        } else if let Some(end) = stage.end() {
            return Seen { end, sent: sent.len() };
        } else {
            assert!(stage.wait(), "neither sent nor answered: {given:?}");
        }
    }
}

/// How many of 300 requests, 10 ms apart and served in 5, go to each server.
pub fn members<S: Stage>(row: &MembersRow) -> Vec<usize> {
    let mut stage = S::with(&row.servers);
    // The grace of rule 3 is over.
    stage.pass(300 * MILLISECOND);
    let mut counts = vec![0; row.servers.len()];
    for number in 0..300 {
        let id = number.to_string();
        stage.request(&id, 0, 8_000 * MILLISECOND);
        let sent = stage.sent();
        assert_eq!(sent.len(), number + 1, "one attempt at once");
        let server = sent[number];
        counts[server as usize] += 1;
        stage.pass(5 * MILLISECOND);
        stage.ended(Ended { id: &id, attempt: 0, server, met: None, took: 5 * MILLISECOND });
        stage.pass(5 * MILLISECOND);
    }
    counts
}
