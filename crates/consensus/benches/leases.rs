//! What leases cost and how long a death is felt, in virtual time and on this machine's cores.
//! `cargo bench -p mintshelf-fleet --bench leases` prints the tables of `docs/fleet-design.md`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::world::{Plan, World};
use mintshelf_consensus::replica::{encode, Stored, Voter};
use mintshelf_lease::command::{Command, Owner};
use mintshelf_lease::timing::{ClockError, Nanos, Timing, MS, SECOND};
use std::time::Instant;

fn calm(voters: usize) -> Plan {
    let error = ClockError::default();
    let fault_every = 100_000 * SECOND;
    Plan { voters, contenders: 6, error, fault_every, ..Plan::default() }
}

fn at(sorted: &[Nanos], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * part) as usize).map_or(f64::NAN, |span| *span as f64 / MS as f64)
}

/// Links of 1 to 8 ms (one in twenty up to 400, one in a hundred lost), syncs of 1 to 10 ms.
fn waits() {
    println!("time to a lease, ms: links of 1 to 8 ms, syncs of 1 to 10 ms");
    println!("{:>8} {:>12} {:>12} {:>12} {:>12}", "voters", "grant p50", "p99", "renew p50", "p99");
    for voters in [1, 3, 5] {
        let mut spans = [Vec::new(), Vec::new()];
        for seed in 0..100 {
            let mut world = World::new(calm(voters), seed);
            world.run();
            world.waits.iter().for_each(|(renewal, wait)| spans[usize::from(*renewal)].push(*wait));
        }
        spans.iter_mut().for_each(|spans| spans.sort_unstable());
        let [grant, renew] = &spans;
        let [a, b, c, d] = [at(grant, 0.5), at(grant, 0.99), at(renew, 0.5), at(renew, 0.99)];
        println!("{voters:>8} {a:>12.1} {b:>12.1} {c:>12.1} {d:>12.1}");
    }
}

fn deaths() {
    let lease = Plan::default().lease / MS;
    println!(
        "\ntime without a holder's act after a death, ms: lease of {lease} ms, election of 500"
    );
    println!("{:>8} {:>18} {:>10} {:>10} {:>10}", "voters", "dies", "p50", "p99", "most");
    for voters in [3, 5] {
        let kinds = [
            ("nobody", false, false),
            ("holder", false, true),
            ("leader", true, false),
            ("both", true, true),
        ];
        for (name, leader, holder) in kinds {
            let mut gaps = Vec::new();
            for seed in 0..200 {
                let mut world = World::new(calm(voters), seed);
                let when = 10 * SECOND + seed * 13 * MS;
                world.run_until(when);
                world.strike(leader, holder);
                world.run_until(when + 30 * SECOND);
                let mut after: Vec<Nanos> =
                    world.acts.iter().map(|act| act.start).filter(|at| *at > when).collect();
                after.sort_unstable();
                gaps.extend(after.first().map(|start| start - when));
            }
            gaps.sort_unstable();
            let [p50, p99, most] = [at(&gaps, 0.5), at(&gaps, 0.99), at(&gaps, 1.0)];
            println!("{voters:>8} {name:>18} {p50:>10.0} {p99:>10.0} {most:>10.0}");
        }
    }
}

/// Members that each hold a lease of 10 s and renew it every third of it, through a leader and
/// two followers on one core; writes are counted and not done.
fn load() {
    println!("\nat the leader of three, by leases held (10 s, renewed every 3.3 s)");
    println!(
        "{:>8} {:>12} {:>12} {:>12} {:>12} {:>12}",
        "leases", "renewals/s", "messages/s", "KiB/s", "syncs/s", "CPU ms/s"
    );
    for leases in [10usize, 100, 1_000] {
        let ids = [1, 2, 3];
        let spans = Timing::default();
        let mut voters: Vec<Voter> = ids
            .iter()
            .map(|id| Voter::new(*id, &Stored::new_fleet(&ids), &spans, *id).unwrap())
            .collect();
        let (mut messages, mut bytes, mut syncs) = (0u64, 0u64, 0u64);
        let mut spent = std::time::Duration::ZERO;
        let (mut now, mut renewals, mut counted) = (SECOND, 0u64, 0u64);
        let settle = |voters: &mut Vec<Voter>, now: Nanos, count: &mut [u64; 3]| loop {
            let mut sent = Vec::new();
            for voter in voters.iter_mut() {
                let leads = voter.status().leads;
                while let Some(batch) = voter.batch(now).unwrap() {
                    count[2] += u64::from(leads && batch.must_sync);
                    sent.extend(batch.at_once);
                    sent.extend(voter.synced(now));
                }
            }
            if sent.is_empty() {
                return;
            }
            for message in sent {
                let frame = encode(&message).unwrap();
                let to = message.to as usize - 1;
                let own =
                    voters[to].status().leads || voters[message.from as usize - 1].status().leads;
                count[0] += u64::from(own);
                count[1] += if own { frame.len() as u64 } else { 0 };
                voters[to].receive(now, &frame).unwrap();
            }
        };
        // Ten seconds to elect, then thirty that count, in ticks of 10 ms.
        for step in 0..4_000u64 {
            now += 10 * MS;
            voters.iter_mut().for_each(|voter| voter.tick(now));
            let mut count = [0; 3];
            let begin = Instant::now();
            if step > 500 {
                let Some(leader) = voters.iter().position(|voter| voter.status().leads) else {
                    continue;
                };
                // Those whose turn it is, spread over a third of the span.
                for n in (0..leases).filter(|n| *n as u64 % 333 == step % 333) {
                    let owner = Owner { member: format!("m{n}"), incarnation: 1 };
                    let (lease, duration) = (format!("lease-{n}"), 10 * SECOND);
                    let ask = Command::Acquire { lease, owner, duration, wait: false };
                    voters[leader].propose(&ask).unwrap();
                    renewals += u64::from(step >= 1_000);
                }
            }
            settle(&mut voters, now, &mut count);
            if step >= 1_000 {
                spent += begin.elapsed();
                counted += 1;
                messages += count[0];
                bytes += count[1];
                syncs += count[2];
            }
        }
        let seconds = counted as f64 / 100.0;
        println!(
            "{leases:>8} {:>12.1} {:>12.1} {:>12.1} {:>12.1} {:>12.2}",
            renewals as f64 / seconds,
            messages as f64 / seconds,
            bytes as f64 / 1024.0 / seconds,
            syncs as f64 / seconds,
            // All three voters ran in this.
            spent.as_secs_f64() * 1e3 / 3.0 / seconds,
        );
    }
}

fn main() {
    waits();
    deaths();
    load();
}
