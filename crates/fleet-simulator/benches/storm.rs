//! Outages on virtual time, with the recovery package and without, side by side:
//! `cargo bench -p mintshelf-fleet-simulator`. The seed is printed; the same seed gives the same
//! rows.

use mintshelf_fleet_simulator::{simulate, Fault, FaultKind, Report, RetryBehavior, Scenario};
use mintshelf_time::{MILLISECOND, SECOND};
use std::ops::Range;

const SEED: u64 = 20;
/// When the outage begins, in seconds.
const OUTAGE_FROM: u64 = 20;
/// Seconds without a fault that are the baseline.
const BASELINE: Range<u64> = 10..20;
/// Seconds simulated after the end of the outage.
const AFTER: u64 = 60;

fn columns(report: &Report, end: u64) -> String {
    let affected = OUTAGE_FROM..end + AFTER;
    let earned = report.sum(affected.clone(), |slice| slice.earned_weight);
    let requested = report.sum(affected, |slice| slice.requested_weight);
    format!(
        "{:>5.2} {:>6.2} {:>6.2} {:>6.1} {:>6.3} {:>6} {:>6}",
        report.peak(BASELINE, end, |slice| slice.requests as f64),
        report.peak(BASELINE, end, |slice| slice.work),
        report.peak(BASELINE, end, |slice| slice.connects as f64),
        report.recovery_seconds(BASELINE, end),
        earned / requested,
        report.overloaded_servers,
        report.repeated_unsafe + report.repeated_idempotent,
    )
}

/// Prints one scenario whose outage ends at a second, without and with the recovery package.
fn print_row(name: &str, scenario: &Scenario, end: u64) {
    let without = simulate(&Scenario { ramp: None, ..scenario.clone() });
    let with = simulate(scenario);
    println!("{name:<34} | {} | {}", columns(&without, end), columns(&with, end));
}

fn print_header() {
    println!("50 sidecars, 6 servers with 1.5 times the capacity for the baseline, seed {SEED}");
    println!(
        "reqs, work, conns: maximum in a second after the outage, in multiples of the baseline;"
    );
    println!(
        "normal: seconds until the share earned stays above 95% of the baseline; earned: share of"
    );
    println!(
        "the weight requested from the outage to a minute after; over: warming servers overloaded;"
    );
    println!("twice: effects repeated\n");
    let columns = " reqs   work  conns normal earned   over  twice";
    println!("{:<34} | {:<47} | with the recovery package", "", "the decision module alone");
    println!("{:<34} | {columns} | {columns}", "");
}

/// The servers crash together and return one by one, a second apart.
fn staged(scenario: &Scenario, end: u64) -> Scenario {
    (0..6).fold(scenario.clone(), |scenario, server| {
        scenario.with_fault(Fault {
            from: OUTAGE_FROM * SECOND,
            until: (end + server as u64) * SECOND,
            servers: server..server + 1,
            kind: FaultKind::Crash,
        })
    })
}

fn print_outages(rate: f64, seconds: u64, retry: RetryBehavior, retry_name: &str) {
    let end = OUTAGE_FROM + seconds;
    let name = |fault: &str| format!("{rate:.0}/s {seconds} s {fault}, {retry_name}");
    let warm = Scenario { retry, ..Scenario::without_faults(SEED, rate, end + AFTER) };
    let slow_start = Scenario { warm_up: 8 * SECOND, ..warm.clone() };
    let crash = slow_start.clone().with_outage(FaultKind::Crash, OUTAGE_FROM, end);
    let partition = warm.with_outage(FaultKind::Partition, OUTAGE_FROM, end);
    print_row(&name("partition"), &partition, end);
    print_row(&name("crash"), &crash, end);
    if seconds == 10 {
        print_row(&name("one by one"), &staged(&slow_start, end), end);
        let again = crash.with_outage(FaultKind::Crash, end + 2, end + 5);
        print_row(&name("crash twice"), &again, end + 5);
    }
}

fn main() {
    print_header();
    for rate in [340.0, 1_500.0] {
        for seconds in [2, 10, 60] {
            for (retry, name) in [
                (RetryBehavior::Immediate, "immediate"),
                (RetryBehavior::Backoff(100 * MILLISECOND), "backoff"),
                (RetryBehavior::HonorAdvice, "advice"),
            ] {
                print_outages(rate, seconds, retry, name);
            }
        }
    }
}
