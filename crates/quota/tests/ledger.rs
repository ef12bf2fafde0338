//! The ledger's rules one by one, without clocks: what is said is all that counts.

use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::{ClockError, SECOND};
use mintshelf_quota::collector::Clerk;
use mintshelf_quota::config::Budget;
use mintshelf_quota::ledger::{Account, Ask, Beat, Ended, Ledger, Promise, PROMISES_MAX};

const BUDGET: Budget = Budget {
    whole: 110,
    floor: 1,
    members: 10,
    reserve: 200,
    span: SECOND,
    hold: 0,
    error: ClockError { ppm: 0 },
};

fn owner(member: &str, incarnation: u64) -> Owner {
    Owner { member: member.into(), incarnation }
}

fn ask(owner: &Owner, number: u64, need: u64, confirms: u64) -> Ask {
    Ask { owner: owner.clone(), number, need, weight: 1, confirms, leaves: false }
}

fn apply(ledger: &mut Ledger, asks: Vec<Ask>) -> Vec<Promise> {
    let answers = ledger.apply(&Beat { asks, ended: Vec::new() });
    answers.into_iter().map(|answer| answer.promise).collect()
}

fn used(ledger: &Ledger, owner: &Owner) -> u64 {
    ledger.account(owner).map_or(0, Account::used)
}

#[test]
fn one_that_shrinks_keeps_its_part_until_it_confirms() {
    let (a, b, mut ledger) = (owner("a", 1), owner("b", 1), Ledger::new(BUDGET));
    // Of 100 that are divisible 20 are kept for those that join.
    let first = apply(&mut ledger, vec![ask(&a, 1, 500, 0)])[0];
    assert_eq!(first.units, 80);
    // Another comes: it has the reserve at once, and half when the other is down.
    assert_eq!(apply(&mut ledger, vec![ask(&b, 1, 500, 0)])[0].units, 20);
    let down = apply(&mut ledger, vec![ask(&a, 2, 500, first.grant)])[0];
    assert_eq!((down.units, used(&ledger, &a)), (40, 80));
    assert_eq!(apply(&mut ledger, vec![ask(&b, 2, 500, 0)])[0].units, 20);
    apply(&mut ledger, vec![ask(&a, 3, 500, down.grant)]);
    assert_eq!(used(&ledger, &a), 40);
    assert_eq!(apply(&mut ledger, vec![ask(&b, 3, 500, 0)])[0].units, 40);
    assert_eq!(ledger.used(), 80);
}

#[test]
fn what_was_never_promised_frees_nothing() {
    let (a, mut ledger) = (owner("a", 1), Ledger::new(BUDGET));
    let first = apply(&mut ledger, vec![ask(&a, 1, 500, 0)])[0];
    apply(&mut ledger, vec![ask(&a, 2, 0, first.grant + 7)]);
    assert_eq!(used(&ledger, &a), 80);
}

#[test]
fn old_copies_change_nothing() {
    let (a, mut ledger) = (owner("a", 1), Ledger::new(BUDGET));
    apply(&mut ledger, vec![ask(&a, 1, 10, 0)]);
    apply(&mut ledger, vec![ask(&a, 2, 30, 0)]);
    let before = ledger.clone();
    assert!(apply(&mut ledger, vec![ask(&a, 1, 10, 0), ask(&a, 2, 30, 0)]).is_empty());
    assert_eq!(ledger, before);
}

#[test]
fn a_new_life_has_nothing_of_the_old_ones_and_its_need_is_nobodys() {
    let (old, new, mut ledger) = (owner("a", 1), owner("a", 2), Ledger::new(BUDGET));
    let first = apply(&mut ledger, vec![ask(&old, 1, 500, 0)])[0];
    let second = apply(&mut ledger, vec![ask(&new, 1, 500, 0)])[0];
    assert_eq!((first.units, second.units), (80, 20));
    // The old one, stopped and going on, is told to come down to nothing.
    assert_eq!(apply(&mut ledger, vec![ask(&old, 2, 500, 0)])[0].units, 0);
    assert_eq!(used(&ledger, &old), 80);
    let ended = vec![Ended { owner: old.clone(), grant: u64::MAX }];
    ledger.apply(&Beat { asks: Vec::new(), ended });
    assert!(ledger.account(&old).is_none());
    assert_eq!(apply(&mut ledger, vec![ask(&new, 2, 500, 0)])[0].units, 80);
}

#[test]
fn who_leaves_is_forgotten_at_once() {
    let (a, mut ledger) = (owner("a", 1), Ledger::new(BUDGET));
    apply(&mut ledger, vec![ask(&a, 1, 500, 0)]);
    let leaves = Ask { leaves: true, ..ask(&a, 2, 0, 0) };
    assert!(apply(&mut ledger, vec![leaves]).is_empty());
    assert_eq!((ledger.used(), ledger.accounts().count()), (0, 0));
}

#[test]
fn tables_are_bounded() {
    let mut ledger = Ledger::new(BUDGET);
    let crowd = (0..1_000).map(|n| ask(&owner(&format!("m{n}"), 1), 1, 500, 0)).collect();
    let given = apply(&mut ledger, crowd);
    assert_eq!((given.len(), ledger.accounts().count()), (20, 20));
    assert_eq!(ledger.used(), 80);
    // Neither confirmed nor ended: the oldest promises of one member count as one.
    let (a, mut ledger) = (owner("a", 1), Ledger::new(BUDGET));
    for number in 1..100 {
        apply(&mut ledger, vec![ask(&a, number, 100 - number, 0)]);
    }
    let bytes = postcard::to_allocvec(ledger.account(&a).unwrap()).unwrap();
    assert!(bytes.len() < 6 + PROMISES_MAX * 4, "{} bytes", bytes.len());
    assert_eq!(used(&ledger, &a), 80, "the largest of them is kept");
}

#[test]
fn a_new_leader_counts_each_span_anew() {
    let (a, mut ledger, mut clerk) = (owner("a", 1), Ledger::new(BUDGET), Clerk::default());
    clerk.lead(0, &ledger);
    assert!(clerk.ask(ask(&a, 1, 9, 0)) && !clerk.ask(ask(&a, 1, 9, 0)));
    let beat = clerk.beat(0).unwrap();
    ledger.apply(&beat);
    clerk.applied(0, &ledger);
    assert_eq!(clerk.beat(SECOND - 1), None);
    let ended = clerk.clone().beat(SECOND).unwrap().ended;
    assert_eq!(ended.len(), 1);
    // The leader changes just before; its clock shows anything.
    let mut next = Clerk::default();
    next.lead(77 * SECOND, &ledger);
    assert_eq!(next.beat(78 * SECOND - 1), None);
    let beat = next.beat(78 * SECOND).unwrap();
    // Lost, it is proposed again; applied, no more.
    assert_eq!(next.beat(78 * SECOND + 1), None);
    assert_eq!(next.beat(79 * SECOND).unwrap(), beat);
    ledger.apply(&beat);
    next.applied(79 * SECOND, &ledger);
    assert_eq!((ledger.used(), next.beat(99 * SECOND)), (0, None));
}
