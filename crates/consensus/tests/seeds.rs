//! Proof 2: the voters, the leases and their holders in virtual time, under drawn faults, with
//! clocks that run apart by all that is stated. `MINTSHELF_SEEDS=10000` plays more.

mod common;

use common::checker::{breach, handovers};
use common::world::{Mutant, Plan, World};
use mintshelf_lease::timing::ClockError;

fn seeds(few: u64) -> u64 {
    std::env::var("MINTSHELF_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(few)
}

/// What a number of seeds came to.
#[derive(Debug, Default)]
struct Sum {
    acts: usize,
    handovers: usize,
    refused: usize,
    crashes: u64,
    leaders: usize,
    breaches: Vec<(u64, String)>,
    idle: Vec<u64>,
}

fn play(plan: &Plan, seeds: std::ops::Range<u64>) -> Sum {
    let mut sum = Sum::default();
    for seed in seeds {
        let mut world = World::new(plan.clone(), seed);
        world.run();
        sum.acts += world.acts.len();
        sum.handovers += handovers(&world.acts);
        sum.refused += world.shown.iter().filter(|shown| !shown.passed).count();
        sum.crashes += u64::from(world.crashes);
        sum.leaders += world.leaders.len();
        if let Some(breach) = breach(&world.acts, &world.shown) {
            sum.breaches.push((seed, breach));
        }
        let late = plan.stormy + plan.calm / 2;
        if !world.acts.iter().any(|act| act.start > late) {
            sum.idle.push(seed);
        }
    }
    sum
}

#[test]
fn two_holders_never_act_at_once_among_three_voters() {
    let sum = play(&Plan::default(), 0..seeds(150));
    println!("{sum:?}");
    assert!(sum.breaches.is_empty(), "{:?}", sum.breaches);
    assert!(sum.idle.is_empty(), "nobody acts once it is calm: seeds {:?}", sum.idle);
    let played = seeds(150) as usize;
    assert!(sum.handovers > 5 * played, "too few take-overs to prove anything");
    assert!(sum.refused > played / 10, "no stopped holder came too late");
    assert!(sum.leaders > 2 * played, "too few elections");
}

#[test]
fn two_holders_never_act_at_once_among_five_voters() {
    let plan = Plan { voters: 5, contenders: 6, ..Plan::default() };
    let sum = play(&plan, 0..seeds(60));
    println!("{sum:?}");
    assert!(sum.breaches.is_empty(), "{:?}", sum.breaches);
    assert!(sum.idle.is_empty(), "nobody acts once it is calm: seeds {:?}", sum.idle);
}

/// The checker and the faults find what is wrong on purpose.
#[test]
fn a_span_counted_from_the_answer_is_found() {
    let plan = Plan { mutant: Mutant::FromAnswer, ..Plan::default() };
    let sum = play(&plan, 0..100);
    assert!(!sum.breaches.is_empty(), "{sum:?}");
}

#[test]
fn clocks_taken_for_true_are_found() {
    // A leader that stays, and holders that hear nothing of it while their clocks run slow.
    let (error, mutant) = (ClockError { ppm: 100_000 }, Mutant::NoMargin);
    let plan = Plan { mutant, error, voters_fail: false, ..Plan::default() };
    let sum = play(&plan, 0..40);
    assert!(!sum.breaches.is_empty(), "{sum:?}");
    let right = play(&Plan { mutant: Mutant::None, ..plan }, 0..40);
    assert!(right.breaches.is_empty(), "{:?}", right.breaches);
}

#[test]
fn a_resource_that_checks_no_token_is_found() {
    let plan = Plan { mutant: Mutant::NoFence, ..Plan::default() };
    let sum = play(&plan, 0..100);
    assert!(!sum.breaches.is_empty(), "{sum:?}");
}
