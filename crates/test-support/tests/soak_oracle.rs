//! From when the soak's oracle counts a process as notified of a drain.

use mintshelf_test_support::soak::oracle::{judge, Rule};
use mintshelf_test_support::soak::records::{
    AttemptOutcome, AttemptRecord, Outage, Records, ServerRecord,
};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// A run with one server, which is withdrawn after a second.
struct Run {
    began_at: Instant,
    records: Records,
}

impl Run {
    fn new() -> Self {
        let began_at = Instant::now();
        let server = ServerRecord {
            address: "127.0.0.1:1".parse().unwrap(),
            withdrawn_at: Some(began_at + SECOND),
            withdrawal_written_at: None,
        };
        Run { began_at, records: Records { servers: vec![server], ..Records::default() } }
    }

    /// Whether an attempt so many seconds after the begin breaks the drain.
    fn breaks_drain(&self, seconds: f64) -> bool {
        let at = self.began_at + Duration::from_secs_f64(seconds);
        let attempt = AttemptRecord {
            server: 0,
            transaction: "t1".to_string(),
            began_at: at,
            read_at: at,
            remaining: None,
            outcome: AttemptOutcome::Served,
            ended_at: Some(at),
        };
        let servers = self.records.servers.clone();
        let outages = self.records.outages.clone();
        let reloads = self.records.reloads.clone();
        let attempts = vec![attempt];
        let records = Records { attempts, servers, outages, reloads, ..Records::default() };
        judge(&records).iter().any(|violation| violation.rule == Rule::Drain)
    }

    fn add_outage(&mut self, from_second: u32, to_second: Option<u32>) {
        let began_at = self.began_at + SECOND * from_second;
        let ended_at = to_second.map(|second| self.began_at + SECOND * second);
        self.records.outages.push(Outage { began_at, ended_at });
    }
}

#[test]
fn a_list_notifies_once_it_is_written() {
    let mut run = Run::new();
    run.records.servers[0].withdrawal_written_at = Some(run.began_at + SECOND * 2);
    assert!(!run.breaks_drain(2.2));
    assert!(run.breaks_drain(2.4));
}

#[test]
fn a_change_that_is_not_written_notifies_after_six_seconds() {
    let run = Run::new();
    assert!(!run.breaks_drain(7.2));
    assert!(run.breaks_drain(7.4));
}

#[test]
fn the_six_seconds_count_from_the_end_of_an_outage() {
    let mut run = Run::new();
    run.add_outage(3, Some(5));
    assert!(!run.breaks_drain(11.2));
    assert!(run.breaks_drain(11.4));
    run.add_outage(8, None);
    assert!(!run.breaks_drain(60.0));
}

#[test]
fn an_outage_that_ended_before_the_change_postpones_nothing() {
    let mut run = Run::new();
    run.add_outage(0, Some(1));
    assert!(run.breaks_drain(7.4));
}

#[test]
fn a_reload_notifies_after_four_seconds_of_what_discovery_had() {
    let mut run = Run::new();
    run.records.reloads = vec![run.began_at + SECOND * 2];
    assert!(!run.breaks_drain(6.2));
    assert!(run.breaks_drain(6.4));
}

#[test]
fn a_reload_before_the_change_notifies_of_nothing() {
    let mut run = Run::new();
    run.records.reloads = vec![run.began_at];
    assert!(!run.breaks_drain(7.2));
}
