//! What limits cost a request, and what they do for fairness, on virtual time:
//! `cargo bench -p mintshelf-admission`. Prints its tables; the seed is fixed.

use mintshelf_admission::admission::{Admission, AdmissionConfig};
use mintshelf_admission::limit::LimitConfig;
use mintshelf_admission::queue::{
    FairQueue, FairQueueConfig, QueueDecision, QueueEntry, QueueTicket,
};
use mintshelf_admission::rate::RateConfig;
use mintshelf_admission::tenants::TenantResolver;
use mintshelf_balancer::api::{Effect, Nanos};
use mintshelf_retry::attempts::AttemptTracker;
use mintshelf_retry::policy::{HedgeDelay, HedgePolicy, RetryPolicy};
use mintshelf_retry::schedule::{AttemptTimeout, TimeoutBounds};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hint::black_box;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::{Duration, Instant};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const ROUNDS: u64 = 400_000;

/// Nanoseconds a call: the least of five rounds.
fn cost(mut call: impl FnMut(u64)) -> f64 {
    let round = |call: &mut dyn FnMut(u64)| {
        let begun = Instant::now();
        (0..ROUNDS).for_each(call);
        begun.elapsed().as_nanos() as f64 / ROUNDS as f64
    };
    (0..5).map(|_| round(&mut call)).fold(f64::INFINITY, f64::min)
}

fn admission(tenants: usize) -> (Admission, Vec<Rc<str>>) {
    let names: Vec<Rc<str>> = (0..tenants).map(|n| format!("t{n}").into()).collect();
    let burst = NonZeroU32::MAX;
    let rate = RateConfig { count: NonZeroU32::MAX, period: Duration::from_secs(4), burst };
    let limit = LimitConfig {
        rate: Some(rate),
        max_concurrency: Some(1_000),
        max_body_bytes: None,
        max_sockets: None,
    };
    let shares = names.iter().map(|name| (name.clone(), 1.0)).collect();
    let queue = FairQueueConfig { max_concurrency: 1_000, max_queued: 100, shares };
    let mut admission = Admission::default();
    let tenants = names.iter().map(|name| (name.clone(), limit)).collect();
    let routes = [("r".into(), limit)].into();
    let _ = admission
        .configure(0, &AdmissionConfig { tenants, routes, clusters: [("c".into(), queue)].into() });
    (admission, names)
}

fn costs() {
    println!("cost of one request, ns");
    for tenants in [1, 4, 64] {
        let (mut admission, names) = admission(tenants);
        // Every tenant is active, as on a busy day.
        let through = cost(|n| {
            let (now, tenant) = (n * 10_000, &names[n as usize % tenants]);
            let _ = black_box(admission.begin_request(now, tenant, "r"));
            let entry = QueueEntry {
                tenant: tenant.clone(),
                is_repeat: false,
                priority_weight: 1.0,
                deadline: now + SECOND,
                expected_latency: MS,
            };
            black_box(admission.enqueue(now, "c", entry));
            black_box(admission.complete(now, "c", tenant));
            admission.end_request(tenant, "r");
        });
        println!("{through:>9.0}  tenant and route with rates, cluster's queue; {tenants} tenants");
    }
    let mut resolver = TenantResolver::new();
    for n in 0..64u8 {
        let name: Rc<str> = format!("t{n}").into();
        resolver.add_network(format!("10.{n}.0.0/16").parse().expect("a network"), &name);
    }
    let client = [10, 33, 1, 2].into();
    println!(
        "{:>9.0}  tenant of a client, of 64 networks",
        cost(|_| {
            black_box(resolver.resolve(black_box(client), "l", None));
        })
    );
    let hedge = Some(HedgePolicy { delay: HedgeDelay::P95, max_share: 0.05 });
    let policy = RetryPolicy {
        effect: Effect::Safe,
        attempt_timeout: AttemptTimeout::Adaptive,
        timeout_bounds: TimeoutBounds { min: 50 * MS, max: 600 * MS },
        max_attempts: 3,
        hedge,
        connect_timeout: 200 * MS,
        idle_timeout: 15_000 * MS,
    };
    let mut tracker = AttemptTracker::new(policy, 0);
    println!(
        "{:>9.0}  attempt time-out, hedge delay, response recorded",
        cost(|n| {
            let now = n * 10_000;
            tracker.record_request();
            black_box(tracker.attempt_timeout(now, 0));
            black_box(tracker.hedge_delay(now));
            tracker.record_response(now, (n % 7 + 1) * MS);
        })
    );
}

/// Places of the queue, and how long an answer takes.
const PLACES: u32 = 20;
const SERVICE: Nanos = 10 * MS;
const MEMBERS: usize = 4;
const DURATION: Nanos = 60 * SECOND;

struct Day {
    /// Served in a second, by member.
    served: [f64; MEMBERS],
    /// Wait before its place, of the members that keep to their share.
    p99: Nanos,
}

/// The first member asks `times` its share, the others 0.9 of theirs. `apart`: the queue
/// knows them apart.
fn day(times: f64, apart: bool) -> Day {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut draw = || -(1.0 - f64::from(rng.next_u32()) / 4_294_967_296.0).ln();
    let share = f64::from(PLACES) * SECOND as f64 / SERVICE as f64 / MEMBERS as f64;
    let rates = [times, 0.9, 0.9, 0.9].map(|part| part * share);
    let names: Vec<Rc<str>> =
        (0..MEMBERS).map(|n| if apart { format!("m{n}").into() } else { "all".into() }).collect();
    let shares = names.iter().map(|name| (name.clone(), 1.0)).collect();
    let mut queue =
        FairQueue::new(FairQueueConfig { max_concurrency: PLACES, max_queued: 400, shares });
    // What happens when: a request of a member, or the end of one.
    let mut events = BinaryHeap::new();
    let mut number = 0u64;
    for (n, rate) in rates.iter().enumerate() {
        events.push(Reverse(((draw() / rate * SECOND as f64) as Nanos, 0, n, true)));
    }
    let mut waiting: HashMap<QueueTicket, (usize, Nanos)> = HashMap::new();
    let (mut served, mut waits) = ([0u64; MEMBERS], Vec::new());
    while let Some(Reverse((now, _, member, comes))) = events.pop() {
        if now > DURATION {
            break;
        }
        number += 1;
        let mut go = Vec::new();
        let transitions = if comes {
            let next = now + (draw() / rates[member] * SECOND as f64) as Nanos;
            events.push(Reverse((next, number, member, true)));
            let entry = QueueEntry {
                tenant: names[member].clone(),
                is_repeat: false,
                priority_weight: 1.0,
                deadline: now + SECOND,
                expected_latency: SERVICE,
            };
            let (decision, transitions) = queue.enqueue(now, entry);
            match decision {
                QueueDecision::Admit => go.push((member, now)),
                QueueDecision::Wait(ticket) => {
                    waiting.insert(ticket, (member, now));
                }
                QueueDecision::Reject(_) => {}
            }
            transitions
        } else {
            served[member] += 1;
            queue.complete(now, &names[member])
        };
        go.extend(transitions.admitted.iter().filter_map(|ticket| waiting.remove(ticket)));
        for rejected in &transitions.rejected {
            waiting.remove(&rejected.ticket);
        }
        for (member, came) in go {
            number += 1;
            let end = now + (draw() * SERVICE as f64) as Nanos;
            events.push(Reverse((end, number, member, false)));
            if member > 0 {
                waits.push(now - came);
            }
        }
    }
    waits.sort_unstable();
    let seconds = DURATION as f64 / SECOND as f64;
    let p99 = waits.get(waits.len() * 99 / 100).copied().unwrap_or(0);
    Day { served: served.map(|n| n as f64 / seconds), p99 }
}

/// Jain's index of what each was served for what it could claim: its demand, or its share of
/// what is there if that is less (Jain, Chiu, Hawe 1984).
fn jain(served: &[f64; MEMBERS], claims: &[f64; MEMBERS]) -> f64 {
    let parts: Vec<f64> = served.iter().zip(claims).map(|(got, claim)| got / claim).collect();
    let sum: f64 = parts.iter().sum();
    sum * sum / (MEMBERS as f64 * parts.iter().map(|part| part * part).sum::<f64>())
}

fn fairness() {
    println!("\nfour members at one queue of {PLACES} places; the first asks a multiple of its share, the others 0.9");
    println!("{:>9} | {:>30} | {:>30}", "", "one queue by deadline", "the queue by tenant");
    println!(
        "{:>9} | {:>6} {:>7} {:>7} {:>7} | {:>6} {:>7} {:>7} {:>7}",
        "multiple", "Jain", "first/s", "other/s", "p99 ms", "Jain", "first/s", "other/s", "p99 ms"
    );
    for times in [1.0, 3.0, 10.0] {
        let half = |apart| {
            let day = day(times, apart);
            let share = f64::from(PLACES) * SECOND as f64 / SERVICE as f64 / MEMBERS as f64;
            // What the others leave of theirs is there for the first.
            let first = (times * share).min(1.3 * share);
            let claims = [first, 0.9 * share, 0.9 * share, 0.9 * share];
            let others = day.served[1..].iter().sum::<f64>() / 3.0;
            let index = jain(&day.served, &claims);
            let p99 = day.p99 as f64 / MS as f64;
            format!("{index:>6.3} {:>7.0} {others:>7.0} {p99:>7.1}", day.served[0])
        };
        println!("{times:>9} | {} | {}", half(false), half(true));
    }
}

fn main() {
    costs();
    fairness();
}
