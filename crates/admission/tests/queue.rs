//! A fair queue through random events: bounds, order, fairness, and that no request is forgotten.

use mintshelf_admission::admission::{
    Admission, AdmissionConfig, ClusterUsage, LimitExceeded, TenantUsage,
};
use mintshelf_admission::limit::LimitConfig;
use mintshelf_admission::queue::{
    FairQueue, FairQueueConfig, QueueDecision, QueueEntry, QueueTicket, QueueTransitions,
    QueueUsage, RejectReason, RejectedTicket,
};
use mintshelf_time::{MILLISECOND, SECOND};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

fn config(max_concurrency: u32, max_queued: u32, shares: &[(&str, f64)]) -> FairQueueConfig {
    let shares = shares.iter().map(|(name, share)| ((*name).into(), *share)).collect();
    FairQueueConfig { max_concurrency, max_queued, shares }
}

fn entry(tenant: &str) -> QueueEntry {
    QueueEntry {
        tenant: tenant.into(),
        is_repeat: false,
        priority_weight: 1.0,
        deadline: 100 * SECOND,
        expected_latency: 0,
    }
}

fn usage(in_flight: usize, queued: usize) -> QueueUsage {
    QueueUsage { in_flight, queued }
}

fn waits(decision: QueueDecision) -> QueueTicket {
    match decision {
        QueueDecision::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_full_queue_retains_the_highest_priority_and_not_the_first_come() {
    let mut queue = FairQueue::new(config(1, 2, &[]));
    let of = |priority_weight, is_repeat, deadline| QueueEntry {
        priority_weight,
        is_repeat,
        deadline,
        ..entry("a")
    };
    assert_eq!(queue.enqueue(0, of(1.0, false, SECOND)).0, QueueDecision::Admit);
    let cheap = waits(queue.enqueue(0, of(1.0, false, SECOND)).0);
    let again = waits(queue.enqueue(0, of(9.0, true, SECOND)).0);
    // A first try comes before a repeat, whatever that is worth.
    let (decision, transitions) = queue.enqueue(1, of(2.0, false, 2 * SECOND));
    let dear = waits(decision);
    assert_eq!(
        transitions.rejected,
        [RejectedTicket { ticket: again, reason: RejectReason::QueueFull }]
    );
    // The same worth, and more time: it is the one to go, at once.
    assert_eq!(
        queue.enqueue(2, of(1.0, false, 3 * SECOND)).0,
        QueueDecision::Reject(RejectReason::QueueFull)
    );
    let (decision, transitions) = queue.enqueue(2, of(1.0, false, SECOND / 2));
    let urgent = waits(decision);
    assert_eq!(
        transitions.rejected,
        [RejectedTicket { ticket: cheap, reason: RejectReason::QueueFull }]
    );
    let tenant: Rc<str> = "a".into();
    assert_eq!(queue.complete(3, &tenant).admitted, [dear]);
    assert_eq!(queue.complete(4, &tenant).admitted, [urgent]);
    assert_eq!(queue.complete(5, &tenant), QueueTransitions::default());
    assert_eq!(queue.usage(), usage(0, 0));
}

#[test]
fn what_can_no_longer_be_answered_is_not_sent() {
    let mut queue = FairQueue::new(config(1, 9, &[]));
    let of = |deadline, expected_latency| QueueEntry { deadline, expected_latency, ..entry("a") };
    assert_eq!(
        queue.enqueue(0, of(SECOND, 2 * SECOND)).0,
        QueueDecision::Reject(RejectReason::TooLate)
    );
    assert_eq!(queue.enqueue(0, of(SECOND, 0)).0, QueueDecision::Admit);
    let late = waits(queue.enqueue(0, of(SECOND, 300 * MILLISECOND)).0);
    let fits = waits(queue.enqueue(0, of(2 * SECOND, 300 * MILLISECOND)).0);
    let transitions = queue.complete(800 * MILLISECOND, &"a".into());
    assert_eq!(
        transitions,
        QueueTransitions {
            admitted: vec![fits],
            rejected: vec![RejectedTicket { ticket: late, reason: RejectReason::TooLate }]
        }
    );
}

#[test]
fn a_greedy_tenant_takes_what_is_free_and_not_what_is_reserved() {
    let mut queue = FairQueue::new(config(16, 100, &[("calm", 1.0), ("greedy", 1.0)]));
    let [calm, greedy] = ["calm", "greedy"].map(Rc::<str>::from);
    assert_eq!(queue.enqueue(0, entry("calm")).0, QueueDecision::Admit);
    // A quarter of each one's half is kept for it: of the calm one's two places one is left.
    let went =
        (0..50).filter(|_| queue.enqueue(0, entry("greedy")).0 == QueueDecision::Admit).count();
    assert_eq!((went, queue.usage()), (14, usage(15, 36)));
    assert_eq!(queue.enqueue(MILLISECOND, entry("calm")).0, QueueDecision::Admit);
    let waiting: Vec<QueueTicket> =
        (0..6).map(|_| waits(queue.enqueue(MILLISECOND, entry("calm")).0)).collect();
    // Freed places go to the one with the least for its share, until the two have as much.
    let freed: Vec<QueueTicket> =
        (0..6).flat_map(|_| queue.complete(2 * MILLISECOND, &greedy).admitted).collect();
    assert_eq!(freed, waiting);
    assert_eq!(queue.usage(), usage(16, 36));
    // When the calm one is long gone nothing is kept for it.
    for _ in 0..8 {
        let _ = queue.complete(3 * MILLISECOND, &calm);
    }
    let _ = queue.complete(5 * SECOND, &greedy);
    let _ = queue.complete(5 * SECOND, &greedy);
    assert_eq!(queue.usage().in_flight, 16);
}

#[test]
fn limits_that_change_count_what_is_under_way_once() {
    let limit = |max| {
        let limit = LimitConfig { max_concurrency: Some(max), ..LimitConfig::default() };
        AdmissionConfig {
            tenants: [("a".into(), limit)].into(),
            routes: BTreeMap::new(),
            clusters: [("c".into(), config(max, 8, &[]))].into(),
        }
    };
    let mut admission = Admission::default();
    let _ = admission.configure(0, &limit(2));
    for _ in 0..2 {
        assert_eq!(admission.begin_request(0, "a", "r"), Ok(()));
        assert_eq!(admission.enqueue(0, "c", entry("a")).unwrap().0, QueueDecision::Admit);
    }
    assert_eq!(admission.begin_request(0, "a", "r"), Err(LimitExceeded::TenantConcurrency));
    let waiting = waits(admission.enqueue(0, "c", entry("a")).unwrap().0);
    // Less: nobody is put out, nobody goes until there is room.
    assert_eq!(admission.configure(0, &limit(1))["c"], QueueTransitions::default());
    assert_eq!(admission.complete(0, "c", &"a".into()), QueueTransitions::default());
    // More: who waits goes at once.
    assert_eq!(admission.configure(0, &limit(3))["c"].admitted, [waiting]);
    assert_eq!(
        admission.usage().clusters,
        [ClusterUsage { cluster: "c".to_string(), queue: usage(2, 0) }]
    );
    assert_eq!(admission.usage().tenants, [TenantUsage { tenant: "a".to_string(), in_flight: 2 }]);
    // No limit any more, then one again: the two still count.
    let _ = admission.configure(0, &AdmissionConfig::default());
    assert_eq!(admission.begin_request(0, "a", "r"), Ok(()));
    let _ = admission.configure(0, &limit(3));
    assert_eq!(admission.begin_request(0, "a", "r"), Err(LimitExceeded::TenantConcurrency));
    for _ in 0..3 {
        admission.end_request("a", "r");
    }
    assert_eq!(admission.usage().tenants, [TenantUsage { tenant: "a".to_string(), in_flight: 0 }]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Through any day each offer has exactly one end, the bounds hold, and no place stays
    /// free while somebody waits who is not held back for another's part.
    #[test]
    fn every_offer_has_one_end_and_the_bounds_hold(
        max_concurrency in 1u32..6,
        max_queued in 0u32..6,
        steps in prop::collection::vec((0u8..10, 0usize..3, 0u32..4, any::<bool>(), 0u64..400), 1..200),
    ) {
        let names = ["a", "b", "c"];
        let mut queue = FairQueue::new(config(max_concurrency, max_queued, &[("a", 1.0), ("b", 2.0), ("c", 0.5)]));
        let mut inside: Vec<Rc<str>> = Vec::new();
        let mut waiting: HashMap<QueueTicket, Rc<str>> = HashMap::new();
        let mut ended: BTreeSet<QueueTicket> = BTreeSet::new();
        let mut now = 0;
        let mut max_concurrency = max_concurrency;
        let mut carry = |transitions: QueueTransitions, waiting: &mut HashMap<QueueTicket, Rc<str>>, inside: &mut Vec<Rc<str>>| {
            for ticket in transitions.admitted {
                assert!(ended.insert(ticket), "two ends");
                inside.push(waiting.remove(&ticket).expect("it waited"));
            }
            for RejectedTicket { ticket, .. } in transitions.rejected {
                assert!(ended.insert(ticket), "two ends");
                waiting.remove(&ticket).expect("it waited");
            }
        };
        for (what, who, priority_weight, is_repeat, elapsed) in steps {
            now += elapsed * MILLISECOND;
            match what {
                0..=4 => {
                    let tenant: Rc<str> = names[who].into();
                    let deadline = now + u64::from(priority_weight) * 300 * MILLISECOND + MILLISECOND;
                    let entry = QueueEntry { tenant: tenant.clone(), is_repeat, priority_weight: f64::from(priority_weight), deadline, expected_latency: 0 };
                    let (decision, transitions) = queue.enqueue(now, entry);
                    carry(transitions, &mut waiting, &mut inside);
                    match decision {
                        QueueDecision::Admit => inside.push(tenant),
                        QueueDecision::Wait(ticket) => drop(waiting.insert(ticket, tenant)),
                        QueueDecision::Reject(_) => {}
                    }
                }
                5..=7 => {
                    if !inside.is_empty() {
                        let tenant = inside.swap_remove(who % inside.len());
                        let transitions = queue.complete(now, &tenant);
                        carry(transitions, &mut waiting, &mut inside);
                    }
                }
                8 => {
                    let ticket = waiting.keys().min().copied();
                    if let Some(ticket) = ticket {
                        queue.cancel(ticket);
                        waiting.remove(&ticket);
                    }
                }
                _ => {
                    max_concurrency = 1 + (max_concurrency + priority_weight) % 6;
                    let transitions = queue.configure(now, config(max_concurrency, max_queued, &[("a", 1.0), ("b", 2.0)]));
                    carry(transitions, &mut waiting, &mut inside);
                }
            }
            prop_assert_eq!(queue.usage(), usage(inside.len(), waiting.len()));
            prop_assert!(waiting.len() <= max_queued as usize);
        }
        // When all that is in it ends, all that waits has its turn or is too late.
        while let Some(tenant) = inside.pop() {
            now += 2 * SECOND;
            let transitions = queue.complete(now, &tenant);
            carry(transitions, &mut waiting, &mut inside);
        }
        prop_assert!(waiting.is_empty(), "{} are forgotten", waiting.len());
    }
}
