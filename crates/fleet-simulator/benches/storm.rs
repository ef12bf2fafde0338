//! Outages on virtual time, with the recovery package and without, side by side:
//! `cargo bench -p mintshelf-fleet-simulator`. Seeds are printed; a row plays the same every time.

use mintshelf_fleet_simulator::{play, Kind, Plan, Report, Retry, Trouble, MS, SECOND};

const SEED: u64 = 20;
const FROM: u64 = 20;
/// Calm seconds that are taken as usual.
const USUAL: std::ops::Range<u64> = 10..20;
/// Seconds played after the return.
const AFTER: u64 = 60;

fn row(name: &str, plan: &Plan, back: u64) {
    let [with, without] = [plan.ramp, None].map(|ramp| play(&Plan { ramp, ..plan.clone() }));
    let half = |r: &Report| {
        format!(
            "{:>5.2} {:>6.2} {:>6.2} {:>6.1} {:>6.3} {:>6} {:>6}",
            r.peak(USUAL, back, |s| s.tries as f64),
            r.peak(USUAL, back, |s| s.work),
            r.peak(USUAL, back, |s| s.connects as f64),
            r.calm_after(USUAL, back),
            {
                let span = FROM..back + AFTER;
                r.sum(span.clone(), |s| s.earned) / r.sum(span, |s| s.asked)
            },
            r.fallen,
            r.twice[0] + r.twice[1],
        )
    };
    println!("{name:<34} | {} | {}", half(&without), half(&with));
}

fn main() {
    println!("50 sidecars, 6 servers that can do 1.5 times the usual, seed {SEED}");
    println!(
        "tries, work, connects: most in a second after the return, in multiples of the usual;"
    );
    println!("calm: seconds until 95% of the usual worth is earned for good; worth: of what was");
    println!("asked from the outage to a minute after; fell: servers pushed over while cold; twice: effects\n");
    let half = "tries   work  conns   calm  worth   fell  twice";
    println!("{:<34} | {:<47} | with the recovery package", "", "the decision module alone");
    println!("{:<34} | {half} | {half}", "");
    for rate in [340.0, 1_500.0] {
        for out in [2, 10, 60] {
            let back = FROM + out;
            let plan = Plan::calm(SEED, rate, back + AFTER);
            let cold = Plan { cold: 8 * SECOND, ..plan.clone() };
            for (retry, told) in [
                (Retry::AtOnce, "at once"),
                (Retry::Pause(100 * MS), "pause"),
                (Retry::Honour, "honour"),
            ] {
                let name = |what: &str| format!("{rate:.0}/s {out} s {what}, {told}");
                let warm = Plan { retry, ..plan.clone() };
                row(&name("silence"), &warm.outage(Kind::Silence, FROM, back), back);
                let cold = Plan { retry, ..cold.clone() };
                row(&name("crash, cold"), &cold.clone().outage(Kind::Crash, FROM, back), back);
                if out == 10 {
                    // One by one, a second apart.
                    let staged = (0..6).fold(cold.clone(), |plan, server| {
                        let until = (back + server as u64) * SECOND;
                        let (from, kind) = (FROM * SECOND, Kind::Crash);
                        plan.trouble(Trouble { from, until, servers: server..server + 1, kind })
                    });
                    row(&name("one by one"), &staged, back);
                    let again = cold.outage(Kind::Crash, FROM, back);
                    row(&name("again"), &again.outage(Kind::Crash, back + 2, back + 5), back + 5);
                }
            }
        }
    }
}
