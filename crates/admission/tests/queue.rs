//! A gate through random days: bounds, order, fairness, and that nobody is forgotten.

use mintshelf_admission::admission::{Admission, AdmissionConfig, LimitConfig, LimitExceeded};
use mintshelf_admission::queue::{
    FairQueue, FairQueueConfig, QueueDecision, QueueEntry, QueueTicket, QueueTransitions,
    RejectReason,
};
use mintshelf_balancer::api::Nanos;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn set(most: u32, queue: u32, shares: &[(&str, f64)]) -> FairQueueConfig {
    let shares = shares.iter().map(|(name, share)| ((*name).into(), *share)).collect();
    FairQueueConfig { most, queue, shares }
}

fn offer(tenant: &str) -> QueueEntry {
    QueueEntry {
        tenant: tenant.into(),
        repeat: false,
        priority_weight: 1.0,
        deadline: 100 * S,
        needs: 0,
    }
}

fn waits(verdict: QueueDecision) -> QueueTicket {
    match verdict {
        QueueDecision::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_full_queue_keeps_what_is_worth_most_and_not_what_came_first() {
    let mut gate = FairQueue::new(set(1, 2, &[]));
    let of = |priority_weight, repeat, deadline| QueueEntry {
        priority_weight,
        repeat,
        deadline,
        ..offer("a")
    };
    assert_eq!(gate.offer(0, of(1.0, false, S)).0, QueueDecision::Go);
    let cheap = waits(gate.offer(0, of(1.0, false, S)).0);
    let again = waits(gate.offer(0, of(9.0, true, S)).0);
    // A first try comes before a repeat, whatever that is worth.
    let (verdict, moves) = gate.offer(1, of(2.0, false, 2 * S));
    let dear = waits(verdict);
    assert_eq!(moves.refused, [(again, RejectReason::Full)]);
    // The same worth, and more time: it is the one to go, at once.
    assert_eq!(gate.offer(2, of(1.0, false, 3 * S)).0, QueueDecision::Rejected(RejectReason::Full));
    let (verdict, moves) = gate.offer(2, of(1.0, false, S / 2));
    let urgent = waits(verdict);
    assert_eq!(moves.refused, [(cheap, RejectReason::Full)]);
    let a: Rc<str> = "a".into();
    assert_eq!(gate.done(3, &a).go, [dear]);
    assert_eq!(gate.done(4, &a).go, [urgent]);
    assert_eq!(gate.done(5, &a), QueueTransitions::default());
    assert_eq!(gate.levels(), [0, 0]);
}

#[test]
fn what_can_no_longer_be_answered_is_not_sent() {
    let mut gate = FairQueue::new(set(1, 9, &[]));
    let of = |deadline, needs| QueueEntry { deadline, needs, ..offer("a") };
    assert_eq!(gate.offer(0, of(S, 2 * S)).0, QueueDecision::Rejected(RejectReason::TooLate));
    assert_eq!(gate.offer(0, of(S, 0)).0, QueueDecision::Go);
    let late = waits(gate.offer(0, of(S, 300 * MS)).0);
    let fits = waits(gate.offer(0, of(2 * S, 300 * MS)).0);
    let moves = gate.done(800 * MS, &"a".into());
    assert_eq!(
        moves,
        QueueTransitions { go: vec![fits], refused: vec![(late, RejectReason::TooLate)] }
    );
}

#[test]
fn a_greedy_tenant_takes_what_is_free_and_not_what_is_kept() {
    let mut gate = FairQueue::new(set(16, 100, &[("calm", 1.0), ("greedy", 1.0)]));
    let [calm, greedy] = ["calm", "greedy"].map(Rc::<str>::from);
    assert_eq!(gate.offer(0, offer("calm")).0, QueueDecision::Go);
    // A quarter of each one's half is kept for it: of the calm one's two places one is left.
    let went = (0..50).filter(|_| gate.offer(0, offer("greedy")).0 == QueueDecision::Go).count();
    assert_eq!((went, gate.levels()), (14, [15, 36]));
    assert_eq!(gate.offer(MS, offer("calm")).0, QueueDecision::Go);
    let waiting: Vec<QueueTicket> =
        (0..6).map(|_| waits(gate.offer(MS, offer("calm")).0)).collect();
    // Freed places go to the one with the least for its share, until the two have as much.
    let freed: Vec<QueueTicket> = (0..6).flat_map(|_| gate.done(2 * MS, &greedy).go).collect();
    assert_eq!(freed, waiting);
    assert_eq!(gate.levels(), [16, 36]);
    // When the calm one is long gone nothing is kept for it.
    for _ in 0..8 {
        gate.done(3 * MS, &calm);
    }
    gate.done(5 * S, &greedy);
    gate.done(5 * S, &greedy);
    assert_eq!(gate.levels()[0], 16);
}

#[test]
fn limits_that_change_count_what_is_under_way_once() {
    let limit = |most| {
        let limit = LimitConfig { most: Some(most), ..LimitConfig::default() };
        AdmissionConfig {
            tenants: [("a".into(), limit)].into(),
            routes: BTreeMap::new(),
            clusters: [("c".into(), set(most, 8, &[]))].into(),
        }
    };
    let mut admission = Admission::default();
    admission.set(0, &limit(2));
    for _ in 0..2 {
        assert_eq!(admission.enter(0, "a", "r"), Ok(()));
        assert_eq!(admission.offer(0, "c", offer("a")).unwrap().0, QueueDecision::Go);
    }
    assert_eq!(admission.enter(0, "a", "r"), Err(LimitExceeded::TenantConcurrency));
    let waiting = waits(admission.offer(0, "c", offer("a")).unwrap().0);
    // Less: nobody is put out, nobody goes until there is room.
    assert_eq!(admission.set(0, &limit(1))["c"], QueueTransitions::default());
    assert_eq!(admission.done(0, "c", &"a".into()), QueueTransitions::default());
    // More: who waits goes at once.
    assert_eq!(admission.set(0, &limit(3))["c"].go, [waiting]);
    assert_eq!(admission.levels().clusters, [("c".to_string(), [2, 0])]);
    assert_eq!(admission.levels().tenants, [("a".to_string(), 2)]);
    // No limit any more, then one again: the two still count.
    admission.set(0, &AdmissionConfig::default());
    assert_eq!(admission.enter(0, "a", "r"), Ok(()));
    admission.set(0, &limit(3));
    assert_eq!(admission.enter(0, "a", "r"), Err(LimitExceeded::TenantConcurrency));
    for _ in 0..3 {
        admission.leave("a", "r");
    }
    assert_eq!(admission.levels().tenants, [("a".to_string(), 0)]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Through any day each offer has exactly one end, the bounds hold, and no place stays
    /// free while somebody waits who is not held back for another's part.
    #[test]
    fn every_offer_has_one_end_and_the_bounds_hold(
        most in 1u32..6,
        queue in 0u32..6,
        steps in prop::collection::vec((0u8..10, 0usize..3, 0u32..4, any::<bool>(), 0u64..400), 1..200),
    ) {
        let names = ["a", "b", "c"];
        let mut gate = FairQueue::new(set(most, queue, &[("a", 1.0), ("b", 2.0), ("c", 0.5)]));
        let mut inside: Vec<Rc<str>> = Vec::new();
        let mut waiting: HashMap<QueueTicket, Rc<str>> = HashMap::new();
        let mut ended: BTreeSet<QueueTicket> = BTreeSet::new();
        let (mut now, mut most) = (0, most);
        let mut carry = |moves: QueueTransitions, waiting: &mut HashMap<QueueTicket, Rc<str>>, inside: &mut Vec<Rc<str>>| {
            for ticket in moves.go {
                assert!(ended.insert(ticket), "two ends");
                inside.push(waiting.remove(&ticket).expect("it waited"));
            }
            for (ticket, _) in moves.refused {
                assert!(ended.insert(ticket), "two ends");
                waiting.remove(&ticket).expect("it waited");
            }
        };
        for (what, who, priority_weight, repeat, span) in steps {
            now += span * MS;
            match what {
                0..=4 => {
                    let tenant: Rc<str> = names[who].into();
                    let deadline = now + u64::from(priority_weight) * 300 * MS + MS;
                    let offer = QueueEntry { tenant: tenant.clone(), repeat, priority_weight: f64::from(priority_weight), deadline, needs: 0 };
                    let (verdict, moves) = gate.offer(now, offer);
                    carry(moves, &mut waiting, &mut inside);
                    match verdict {
                        QueueDecision::Go => inside.push(tenant),
                        QueueDecision::Wait(ticket) => drop(waiting.insert(ticket, tenant)),
                        QueueDecision::Rejected(_) => {}
                    }
                }
                5..=7 => {
                    if !inside.is_empty() {
                        let tenant = inside.swap_remove(who % inside.len());
                        let moves = gate.done(now, &tenant);
                        carry(moves, &mut waiting, &mut inside);
                    }
                }
                8 => {
                    let ticket = waiting.keys().min().copied();
                    if let Some(ticket) = ticket {
                        gate.leave(ticket);
                        waiting.remove(&ticket);
                    }
                }
                _ => {
                    most = 1 + (most + priority_weight) % 6;
                    let moves = gate.set(now, set(most, queue, &[("a", 1.0), ("b", 2.0)]));
                    carry(moves, &mut waiting, &mut inside);
                }
            }
            prop_assert_eq!(gate.levels(), [inside.len(), waiting.len()]);
            prop_assert!(waiting.len() <= queue as usize);
        }
        // When all that is in it ends, all that waits has its turn or is too late.
        while let Some(tenant) = inside.pop() {
            now += 2 * S;
            let moves = gate.done(now, &tenant);
            carry(moves, &mut waiting, &mut inside);
        }
        prop_assert!(waiting.is_empty(), "{} are forgotten", waiting.len());
    }
}
