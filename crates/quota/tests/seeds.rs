//! Never more than the whole, under drawn faults in virtual time. `MINTSHELF_SEEDS=10000` plays
//! more.

mod common;

use common::seeds;
use common::world::{Mutant, Plan, World};
use mintshelf_lease::timing::ClockError;

#[derive(Debug, Default)]
struct Sum {
    breaches: Vec<(u64, u64, u64)>,
    /// Of the whole, what was in use late, in calm.
    served: f64,
    worst: f64,
    most: u64,
    kills: u64,
    stops: u64,
    leaders: u64,
}

fn play(plan: &Plan, seeds: std::ops::Range<u64>) -> Sum {
    let mut sum = Sum { worst: 1.0, ..Sum::default() };
    let count = seeds.clone().count() as f64;
    for seed in seeds {
        let mut world = World::new(plan.clone(), seed);
        world.run();
        sum.breaches.extend(world.breach.map(|(at, used)| (seed, at / 1_000_000, used)));
        let served = world.used as f64 / world.late_steps.max(1) as f64 / plan.budget.whole as f64;
        sum.served += served / count;
        sum.worst = sum.worst.min(served);
        sum.most = sum.most.max(world.most);
        sum.kills += world.kills;
        sum.stops += world.stops;
        sum.leaders += world.leaders;
    }
    sum
}

#[test]
fn all_members_together_never_use_more_than_the_whole() {
    let plan = Plan { one_needs: false, ..Plan::default() };
    let sum = play(&plan, 0..seeds(300));
    println!("{sum:?}");
    assert!(sum.breaches.is_empty(), "seed, ms, used: {:?}", sum.breaches);
    let played = seeds(300);
    assert!(sum.kills > 10 * played && sum.stops > 10 * played && sum.leaders > 5 * played);
    // Nothing is proved where the whole is never near.
    assert!(sum.most > 95, "{sum:?}");
    assert!(sum.worst > 0.85, "what is free is not given out once it is calm: {sum:?}");
}

#[test]
fn one_member_that_has_all_the_need_gets_what_the_others_leave() {
    let sum = play(&Plan::default(), 0..seeds(100));
    println!("{sum:?}");
    assert!(sum.breaches.is_empty(), "seed, ms, used: {:?}", sum.breaches);
    // All but the others' floors and the reserve: (103 - 4 x 5 - 8) / 103 = 0.73.
    assert!(sum.worst > 0.70, "{sum:?}");
}

/// The checker and the faults find what is wrong on purpose.
#[test]
fn each_mutant_is_found() {
    let mutants = [
        Mutant::BeforeTheSpan,
        Mutant::NewLifeTakesOver,
        Mutant::ShrinkWhenAsked,
        Mutant::ConfirmsWhenTold,
        Mutant::FloorForgotten,
        Mutant::FloorAtOnce,
        Mutant::RoundedUp,
        Mutant::TrustsOldCounts,
        Mutant::HoldForgotten,
        Mutant::FromAnswer,
    ];
    for mutant in mutants {
        let plan = Plan { mutant, one_needs: false, ..Plan::default() };
        let found = (0..400).find(|seed| !play(&plan, *seed..seed + 1).breaches.is_empty());
        println!("{mutant:?}: seed {found:?}");
        assert!(found.is_some(), "{mutant:?} is not found");
    }
}

#[test]
fn clocks_taken_for_true_are_found() {
    let mut plan = Plan { mutant: Mutant::NoMargin, one_needs: false, ..Plan::default() };
    plan.budget.error = ClockError { ppm: 200_000 };
    let found = (0..400).find(|seed| !play(&plan, *seed..seed + 1).breaches.is_empty());
    assert!(found.is_some());
    let right = play(&Plan { mutant: Mutant::None, ..plan }, 0..60);
    assert!(right.breaches.is_empty(), "{:?}", right.breaches);
}
