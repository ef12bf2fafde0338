//! A server that starts cold, under the sum of what many instances send it: each knows its own
//! traffic alone, and all learn of the start at one moment.

mod common;

use common::*;
use mintshelf_balancer::api::*;
use mintshelf_balancer::decide::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// From 0 up to 1.
fn draw(draws: &mut Pcg64Mcg) -> f64 {
    (draws.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// How the traffic comes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Shape {
    Even,
    /// A tenth of the instances have half of it.
    Uneven,
    /// Nothing for three seconds after the start, then all that waited.
    Held,
    /// Half of the instances are new processes when the server starts.
    Restarted,
    /// Nine in eleven of the warm servers leave at the start: all that they carried is looking
    /// for a place.
    Lost,
    /// The same after three seconds in which credit may gather.
    LostLater,
}

struct World {
    shape: Shape,
    instances: usize,
    servers: u32,
    /// What one server can do, requests a second.
    capacity: f64,
    /// Of all servers' capacity.
    load: f64,
}

const WARM_UP: Nanos = 20 * S;
const COLD: Nanos = 8 * S;
/// What an answer takes at the least, and what a server's queue holds.
const TOOK: Nanos = 40 * MS;
const QUEUE: Nanos = 500 * MS;

/// When an answer comes, to which instance's request, from which server, and when that was sent.
type Answer = (Nanos, usize, String, ServerId, Nanos);

/// Times at which the cold server is sent something, from its start on.
fn sent_cold(world: &World, seed: u64) -> Vec<Nanos> {
    // A generator of its own, so that the modules' draws stay theirs.
    let mut draws = Pcg64Mcg::seed_from_u64(seed);
    let set = |self_index| Settings {
        self_index,
        instances: world.instances as u32,
        classes: vec![class(Effect::Safe, Group::All)],
        initial_capacity: 0.3,
        warm_up: COLD,
        overload_multiple: 3.0,
        allows_parallel_attempts: false,
        ..settings()
    };
    let mut heap: BinaryHeap<Reverse<(Nanos, u64, usize)>> = BinaryHeap::new();
    let mut actions = Vec::new();
    let warm: Vec<_> = (1..world.servers).map(server).collect();
    let mut modules: Vec<_> = (0..world.instances)
        .map(|number| {
            let seed = seed ^ (number as u64) << 32;
            let mut module = Balancer::new(set(number as u32), seed, S, &mut actions);
            module.handle(S, list(ListKind::Full, warm.clone()), &mut actions);
            module
        })
        .collect();
    let total = world.load * world.capacity * f64::from(world.servers - 1);
    let busy = (world.instances / 10).max(1);
    let rates: Vec<f64> = (0..world.instances)
        .map(|number| match world.shape {
            Shape::Uneven if number < busy => total / 2.0 / busy as f64,
            Shape::Uneven => total / 2.0 / world.instances.saturating_sub(busy).max(1) as f64,
            _ => total / world.instances as f64,
        })
        .collect();
    let mut number = 0u64;
    for (at, rate) in rates.iter().enumerate() {
        let first = S + (-draw(&mut draws).ln() / rate * S as f64) as Nanos;
        heap.push(Reverse((first, 0, at)));
    }
    let (start, end) = (WARM_UP, WARM_UP + COLD);
    let mut ends: BinaryHeap<Reverse<Answer>> = BinaryHeap::new();
    let mut free_at = vec![0; world.servers as usize + 1];
    let leaving: Vec<_> = warm[..9]
        .iter()
        .map(|s| ListedServer { state: EndpointState::Draining, ..s.clone() })
        .collect();
    let (mut told, mut lost) = (false, false);
    let mut times = Vec::new();
    let held_to = start + 3 * S;
    while let Some(Reverse((now, _, at))) = heap.pop() {
        if now >= end {
            break;
        }
        if world.shape == Shape::LostLater && now >= held_to && !lost {
            lost = true;
            modules.iter_mut().for_each(|module| {
                module.handle(now, list(ListKind::Changes, leaving.clone()), &mut actions);
            });
        }
        if now >= start && !told {
            told = true;
            let fresh = ListedServer { started_at: start, ..server(world.servers) };
            for (number, module) in modules.iter_mut().enumerate() {
                let left = if world.shape == Shape::Lost { 9 } else { 0 };
                let mut all = warm[left..].to_vec();
                all.push(fresh.clone());
                if world.shape == Shape::Restarted && number % 2 == 0 {
                    let seed = seed ^ (number as u64) << 32 ^ 1;
                    *module = Balancer::new(set(number as u32), seed, start, &mut actions);
                }
                module.handle(start, list(ListKind::Full, all), &mut actions);
            }
        }
        while ends.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
            let Reverse((due, at, id, to, sent)) = ends.pop().unwrap();
            let event = ended_after(due - sent, &id, to, Outcome::Ok);
            modules[at].handle(due, event, &mut actions);
        }
        number += 1;
        let id = format!("r{number}");
        actions.clear();
        modules[at].handle(now, request(&id, 0, 2 * S), &mut actions);
        // A full server turns it away at once, and the instance may try another.
        for attempt in 0..6 {
            let Some(to) = sends(&actions).pop() else { break };
            if to == world.servers {
                times.push(now - start);
            }
            let warmth = match to == world.servers {
                true => (0.3 + 0.7 * (now - start) as f64 / COLD as f64).min(1.0),
                false => 1.0,
            };
            let free = &mut free_at[to as usize];
            let begin = now.max(*free);
            actions.clear();
            if begin - now > QUEUE {
                let full = ended(&id, attempt, to, Outcome::Full, false);
                modules[at].handle(now, full, &mut actions);
            } else {
                *free = begin + (S as f64 / world.capacity / warmth) as Nanos;
                ends.push(Reverse(((*free).max(now + TOOK), at, id.clone(), to, now)));
                break;
            }
        }
        let mut next = now + (-draw(&mut draws).ln() / rates[at] * S as f64) as Nanos;
        if world.shape == Shape::Held && (start..held_to).contains(&next) {
            next = held_to + (draw(&mut draws) * 200.0) as Nanos * MS;
        }
        heap.push(Reverse((next, number, at)));
    }
    times
}

/// The most that any span of 2 s held over its budget of N, in parts of 2 root N + 2.
fn over(times: &[Nanos], capacity: f64) -> f64 {
    let span = 2 * S;
    let mut worst = f64::MIN;
    for (first, from) in times.iter().enumerate() {
        let sent = times[first..].iter().take_while(|at| **at <= from + span).count() as f64;
        let mid = (from + span / 2) as f64 / COLD as f64;
        let warmth = (0.3 + 0.7 * mid).min(1.0);
        let budget = 3.0 * capacity * warmth * span as f64 / S as f64;
        worst = worst.max((sent - budget) / (2.0 * budget.sqrt() + 2.0));
    }
    worst
}

#[test]
fn all_instances_together_keep_to_a_cold_servers_budget() {
    let mut pushed = Vec::new();
    for instances in [1, 3, 10, 30, 100, 300] {
        for shape in [
            Shape::Even,
            Shape::Uneven,
            Shape::Held,
            Shape::Restarted,
            Shape::Lost,
            Shape::LostLater,
        ] {
            for seed in 0..3 {
                // From servers that all fill to such that see a trickle from each instance.
                let capacity = [5.0, 20.0, 60.0][seed as usize % 3];
                let load = [0.9, 0.6, 1.0][seed as usize % 3];
                let world = World { shape, instances, servers: 12, capacity, load };
                let times = sent_cold(&world, 1_000 + seed);
                let over = over(&times, capacity);
                if over > 1.0 {
                    let sent = times.len();
                    pushed.push(format!(
                        "{instances} instances, {shape:?}, {capacity} a second: {sent} sent, \
                         {over:.2} of what chance may add"
                    ));
                }
            }
        }
    }
    assert!(pushed.is_empty(), "{pushed:#?}");
}

#[test]
fn a_cold_server_is_not_left_out() {
    let world = World { shape: Shape::Even, instances: 30, servers: 12, capacity: 60.0, load: 0.9 };
    let sent = sent_cold(&world, 5).len() as f64;
    // Half of what it could do while it warms.
    assert!(sent > 0.5 * 60.0 * 0.65 * 8.0, "{sent}");
}

/// First sends of those who all learn of a start at one moment.
#[test]
fn first_sends_to_a_server_that_has_just_started_are_spread() {
    let world =
        World { shape: Shape::Even, instances: 300, servers: 12, capacity: 60.0, load: 0.9 };
    let times = sent_cold(&world, 7);
    let soon = times.iter().filter(|at| **at < S / 4).count() as f64;
    let budget: f64 = 3.0 * 60.0 * 0.3 / 4.0;
    assert!(soon < budget + 2.0 * budget.sqrt() + 2.0, "{soon} of {}", times.len());
}
