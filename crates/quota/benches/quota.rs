//! What sharing brings and costs, in virtual time: links of 5 ms, a beat each 100 ms, an entry
//! agreed in 15 ms, spans of 2 s. The need is at one member, then moves to another.
//! CPU is that of this process.

use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::{ClockError, Nanos, MS, SECOND};
use mintshelf_quota::client::ShareHolder;
use mintshelf_quota::collector::Clerk;
use mintshelf_quota::config::Budget;
use mintshelf_quota::ledger::{Answer, Ask, Beat, Ledger};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const STEP: Nanos = 5 * MS;
const LINK: Nanos = 5 * MS;
const BEAT: Nanos = 100 * MS;
const AGREED: Nanos = 15 * MS;

/// What a run came to.
#[derive(Default)]
struct Came {
    /// Of the whole, what was allowed to the one that needs it, from two spans after the start.
    served: f64,
    /// From the need's move until its new owner is allowed 0.9 of what the old one was.
    moved: Option<Nanos>,
    messages: u64,
    bytes: u64,
    entries: u64,
    entry_bytes: u64,
    cpu: Duration,
    seconds: f64,
}

/// Each member asks through the voter that this process stands for.
fn run(budget: Budget, members: usize) -> Came {
    let holder = |n| {
        let owner = Owner { member: format!("sidecar-{n:04}"), incarnation: 1 };
        ShareHolder::new(owner, budget, 1, 0)
    };
    let mut holders: Vec<ShareHolder> = (0..members).map(holder).collect();
    let (mut ledger, mut clerk) = (Ledger::new(budget), Clerk::default());
    clerk.lead(0, &ledger);
    let mut asks: VecDeque<(Nanos, Ask)> = VecDeque::new();
    let mut entries: VecDeque<(Nanos, Beat)> = VecDeque::new();
    let mut answers: VecDeque<(Nanos, Answer)> = VecDeque::new();
    let mut came = Came::default();
    let (from, move_at) = (2 * budget.span, 6 * budget.span);
    let (mut sum, mut count, mut before) = (0.0, 0.0, 0);
    let mut now = 0;
    while now < 10 * budget.span {
        now += STEP;
        let needy = usize::from(now >= move_at && members > 1);
        for (n, holder) in holders.iter_mut().enumerate() {
            // All start at once; the first questions fall into a third of a span.
            if now < budget.span / 3 * n as u64 / members as u64 {
                continue;
            }
            holder.needs(now, if n == needy { budget.whole } else { 0 });
            let used = if n == needy { holder.limit(now).at(now) } else { 0 };
            if let Some(ask) = holder.tick(now, used) {
                asks.push_back((now + LINK, ask));
            }
        }
        while asks.front().is_some_and(|(at, _)| *at <= now) {
            let (_, ask) = asks.pop_front().unwrap();
            came.messages += 1;
            came.bytes += postcard::to_allocvec(&ask).unwrap().len() as u64;
            let begun = Instant::now();
            clerk.ask(ask);
            came.cpu += begun.elapsed();
        }
        if now.is_multiple_of(BEAT) {
            let begun = Instant::now();
            let beat = clerk.beat(now);
            came.cpu += begun.elapsed();
            entries.extend(beat.map(|beat| (now + AGREED, beat)));
        }
        while entries.front().is_some_and(|(at, _)| *at <= now) {
            let (_, beat) = entries.pop_front().unwrap();
            came.entries += 1;
            came.entry_bytes += postcard::to_allocvec(&beat).unwrap().len() as u64;
            let begun = Instant::now();
            let given = ledger.apply(&beat);
            clerk.applied(now, &ledger);
            came.cpu += begun.elapsed();
            for answer in given {
                came.messages += 1;
                came.bytes += postcard::to_allocvec(&answer).unwrap().len() as u64;
                answers.push_back((now + LINK, answer));
            }
        }
        while answers.front().is_some_and(|(at, _)| *at <= now) {
            let (_, answer) = answers.pop_front().unwrap();
            let n: usize = answer.owner.member[8..].parse().unwrap();
            holders[n].answered(now, &answer);
        }
        let limit = holders[needy].limit(now).at(now);
        if now > from && now < move_at {
            (sum, count) = (sum + limit as f64, count + 1.0);
            before = limit;
        }
        if now >= move_at && came.moved.is_none() && limit * 10 >= before * 9 {
            came.moved = Some(now - move_at);
        }
    }
    came.served = sum / count / budget.whole as f64;
    came.seconds = now as f64 / SECOND as f64;
    came
}

fn main() {
    let (span, hold, error) = (2 * SECOND, 500 * MS, ClockError::default());
    println!(
        "One member has all the need: the part of the whole that it may use, and the time until"
    );
    println!(
        "another that has it next may use 0.9 as much. An ideal central counter: 1.000, at once.\n"
    );
    println!(
        "| members | whole | floor | reserve | shared | equal fixed parts | divided anew, ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (members, whole, floor, reserve) in [
        (10, 10_000, 10, 20),
        (100, 10_000, 1, 20),
        (100, 10_000, 10, 20),
        (1_500, 150_000, 1, 20),
        (2_000, 200_000, 2, 20),
    ] {
        let budget = Budget { whole, floor, members, reserve, span, hold, error };
        budget.check().expect("a budget that can be kept");
        let came = run(budget, members as usize);
        let moved = came.moved.map_or("never".into(), |moved| (moved / MS).to_string());
        println!(
            "| {members} | {whole} | {floor} | {reserve}/1000 | {:.3} | {:.4} | {moved} |",
            came.served,
            1.0 / members as f64,
        );
    }
    println!("\nAt the voter that all of them ask, a second:\n");
    println!("| members | messages | KiB | entries (syncs) | KiB an entry | CPU, ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for members in [10, 100, 500, 2_000] {
        let whole = members * 100;
        let budget = Budget { whole, floor: 1, members, reserve: 20, span, hold, error };
        let came = run(budget, members as usize);
        println!(
            "| {members} | {:.0} | {:.1} | {:.1} | {:.2} | {:.2} |",
            came.messages as f64 / came.seconds,
            came.bytes as f64 / 1024.0 / came.seconds,
            came.entries as f64 / came.seconds,
            came.entry_bytes as f64 / 1024.0 / came.entries as f64,
            came.cpu.as_secs_f64() * 1e3 / came.seconds,
        );
    }
}
