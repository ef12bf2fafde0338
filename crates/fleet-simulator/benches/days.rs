//! The six kinds of day of the fleet's standing test in this rig's own world, on virtual time:
//! `cargo bench -p mintshelf-fleet-simulator --bench days`. Seeds are printed; a row plays the same every
//! time.

use mintshelf_fleet_simulator::{day, play, Day};
use std::time::Instant;

const SIDECARS: usize = 300;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Seconds that are counted: the first ones are a start that no page prices.
const COUNTED: std::ops::Range<u64> = 2..28;

fn main() {
    println!("{SIDECARS} sidecars, {} servers, seeds {SEEDS:?}, seconds {COUNTED:?}", SIDECARS / 2);
    println!("served: worth in time over worth asked; least: the same in the worst 5 s; then what");
    println!(
        "connections, crossings, calls for lists and waste cost; refused: of all tries; twice:\n\
         effects, and answers lost\n"
    );
    println!(
        "{:<6} {:>4} {:>7} {:>6} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6} {:>5} {:>5} {:>5} {:>6}",
        "day",
        "seed",
        "served",
        "least",
        "conn",
        "cross",
        "calls",
        "waste",
        "refused",
        "tries",
        "twice",
        "drain",
        "fell",
        "real s"
    );
    for kind in Day::ALL {
        for seed in SEEDS {
            let begun = Instant::now();
            let report = play(&day(kind, seed, SIDECARS));
            let share = |name: &dyn Fn(&mintshelf_fleet_simulator::Span) -> u64| {
                let of = report.sum(COUNTED, |s| name(s) as f64);
                of / report.sum(COUNTED, |s| s.tries as f64)
            };
            let tries = 1.0 / share(&|s| s.first);
            let least = (COUNTED.start..COUNTED.end - 4).map(|at| report.share(at..at + 5));
            let [connects, crossed, calls, waste] = report.price(COUNTED);
            println!(
                "{:<6} {seed:>4} {:>7.3} {:>6.3} {connects:>7.4} {crossed:>7.4} {calls:>7.4} \
                 {waste:>7.4} {:>8.3} {tries:>6.2} {:>5} {:>5} {:>5} {:>6.1}",
                kind.name(),
                report.share(COUNTED),
                least.fold(f64::INFINITY, f64::min),
                share(&|s| s.refused),
                report.twice[0] + report.twice[1] + report.lost,
                report.undrained,
                report.fallen,
                begun.elapsed().as_secs_f64(),
            );
        }
    }
}
