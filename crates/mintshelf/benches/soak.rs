//! Soaks of the program by hand:
//! `cargo bench -p mintshelf --bench soak -- SEEDS SERVERS FIRST_SEED`.
//!
//! Each seed is run with that many servers (3,200 unless stated) on a small share of a core, a few at
//! a time. A seed that broke a rule is printed with its violations. `MINTSHELF_SOAK_PROGRAM` names
//! another program to run, such as an earlier release. With the word `costs` each seed is run with 200
//! servers too, and the platform's table of costs is printed.

use mintshelf_test_support::soak::{costs, run, Scenario};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
const PROGRAM_VARIABLE: &str = "MINTSHELF_SOAK_PROGRAM";
const SEEDS: u64 = 50;
const SERVERS: usize = 3_200;
/// Scenarios that run at one time: each is two busy threads at most.
const PARALLEL_RUNS: usize = 4;
/// Servers of a small fleet.
const SMALL: usize = 200;
/// Violations that are printed of one seed.
const PRINTED: usize = 5;

fn main() {
    let numbers: Vec<u64> = std::env::args().filter_map(|word| word.parse().ok()).collect();
    let seeds = numbers.first().copied().unwrap_or(SEEDS);
    let servers = numbers.get(1).map_or(SERVERS, |count| *count as usize);
    let first = numbers.get(2).copied().unwrap_or(1);
    let program = std::env::var(PROGRAM_VARIABLE).unwrap_or_else(|_| PROGRAM.to_string());
    let prints_costs = std::env::args().any(|word| word == "costs");
    let next = AtomicU64::new(first);
    let broken = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + seeds {
                    return;
                }
                let report = run(&program, &Scenario::new(seed, servers, true));
                if prints_costs {
                    let small = run(&program, &Scenario::new(seed, SMALL, true));
                    let rows = costs::compare(&small, &report, servers);
                    let lines: Vec<String> = rows.iter().map(ToString::to_string).collect();
                    println!("seed {seed}: {SMALL} and {servers} servers\n{}", lines.join("\n"));
                }
                println!("seed {seed}, {servers} servers: {report}");
                for violation in report.violations.iter().take(PRINTED) {
                    println!("    {violation}");
                }
                if !report.violations.is_empty() {
                    broken.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    println!("{} of {seeds} seeds broke a rule", broken.load(Ordering::Relaxed));
}
