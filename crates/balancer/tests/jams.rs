//! What an instance refuses during a jam, and for how long after it.

mod common;

use common::*;
use mintshelf_balancer::api::*;

/// Sends a safe request; how it ends, after `took`, if it is sent at all.
fn one(
    rig: &mut Rig,
    now: Nanos,
    id: &str,
    client_timeout: Nanos,
    took: Nanos,
    end: Outcome,
) -> bool {
    let actions = rig.feed(now, request(id, 0, client_timeout));
    let Some(&server) = sends(&actions).first() else { return false };
    rig.feed(now + took, ended_after(took, id, server, end));
    true
}

/// Requests at `gap` from one time to another, all served in 20 ms; which part was refused.
fn refused_share(rig: &mut Rig, from: Nanos, until: Nanos, gap: Nanos) -> f64 {
    let (mut all, mut not_sent) = (0, 0);
    for now in (from..until).step_by(gap as usize) {
        all += 1;
        let id = format!("r{now}");
        not_sent += u32::from(!one(rig, now, &id, 2 * S, 20 * MS, Outcome::Ok));
    }
    f64::from(not_sent) / f64::from(all)
}

/// 160 requests in four seconds that have no answer in the 300 ms that their clients wait.
fn jam(rig: &mut Rig, from: Nanos) {
    const WAITS: usize = 12;
    let mut sent: Vec<Option<ServerId>> = Vec::new();
    for n in 0..160 + WAITS {
        let now = from + n as Nanos * 25 * MS;
        if let Some(&Some(server)) = n.checked_sub(WAITS).and_then(|n| sent.get(n)) {
            let id = format!("j{}", n - WAITS);
            rig.feed(now, ended_after(300 * MS, &id, server, Outcome::TimedOut));
        }
        if n < 160 {
            let actions = rig.feed(now, request(&format!("j{n}"), 0, 300 * MS));
            sent.push(sends(&actions).first().copied());
        }
    }
}

/// The level goes by time. Moved by ended attempts alone, an instance that refuses most
/// sees few, and would go on for long.
#[test]
fn a_jam_is_forgotten_in_seconds_by_who_refused_most_in_it() {
    let (mut during, mut later) = (0.0, 0.0);
    for seed in 0..20 {
        let mut rig = Rig::with(settings(), 0..6);
        // Draws of its own for each instance.
        for n in 0..seed {
            one(&mut rig, S, &format!("d{n}"), 2 * S, MS, Outcome::Ok);
        }
        assert_eq!(refused_share(&mut rig, S, 11 * S, 50 * MS), 0.0);
        jam(&mut rig, 11 * S);
        // All come again and again, as refused clients do.
        let often = 25 * MS / 2;
        during += refused_share(&mut rig, 15_300 * MS, 16_300 * MS, often) / 20.0;
        refused_share(&mut rig, 16_300 * MS, 17 * S, often);
        later += refused_share(&mut rig, 17 * S, 18 * S, often) / 20.0;
    }
    assert!(during > 0.4, "a jam goes unseen: {during}");
    assert!(later < 0.1, "refused seconds later: {later}");
}

/// A client that will not wait as long as answers take now is refused at once: sent, its
/// request would run in vain, and the client come again.
#[test]
fn who_leaves_before_answers_come_is_refused_at_once() {
    let mut rig = Rig::with(settings(), 0..6);
    for n in 0..40 {
        let now = S + n * 50 * MS;
        assert!(one(&mut rig, now, &format!("a{n}"), 2 * S, 80 * MS, Outcome::Ok));
    }
    let hurried = |rig: &mut Rig, id: &str, client_timeout| {
        let actions = rig.feed(4 * S, request(id, 0, client_timeout));
        refused(&actions) && sends(&actions).is_empty()
    };
    assert!(hurried(&mut rig, "x", 40 * MS), "half of what answers take");
    assert!(!hurried(&mut rig, "y", 160 * MS), "twice what they take");
    assert!(!hurried(&mut rig, "z", 2 * S), "all the time there is");
}

/// Where answers always come late, a client that waits all its class allows is not turned away.
#[test]
fn slow_classes_are_served() {
    let mut rig = Rig::with(settings(), 0..6);
    let mut sent = 0;
    for n in 0..100 {
        let (now, took) = (S + n * 3 * S, 1_800 * MS);
        sent += u32::from(one(&mut rig, now, &format!("s{n}"), 2 * S, took, Outcome::Ok));
    }
    assert!(sent > 90, "{sent} of 100");
}
