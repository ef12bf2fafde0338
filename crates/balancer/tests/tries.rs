//! The second line behind the checker of schedules: whatever the settings say, what is not
//! legal is not sent.

mod common;
use common::*;
use mintshelf_balancer::api::*;

/// Classes with pauses far over their windows, and copies allowed.
fn careless() -> Settings {
    let mut set = Settings { retry_ratio: 1.0, retry_budget_max: 100.0, ..settings() };
    for class in &mut set.classes {
        class.dedup_window = S;
        class.deadline = 60 * S;
        class.backoff = Backoff { initial: 20 * S, max: 20 * S };
        class.max_attempts = 6;
    }
    set
}

fn timers(actions: &[Action]) -> Vec<(Nanos, u64)> {
    let timer = |action: &Action| match action {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

#[test]
fn no_keyed_request_is_sent_after_its_window_whatever_the_pause() {
    let (mut late, mut again) = (0, 0);
    let mut rig = Rig::with(careless(), 1..=4);
    for n in 0..200 {
        let id = format!("r{n}");
        // Far apart, so that no failure is remembered.
        let begun = 2 * S + n * 100 * S;
        let first = rig.feed(begun, request(&id, 1, 60 * S));
        let server = sends(&first)[0];
        let ended_at = begun + 100 * MS;
        let actions = rig.feed(ended_at, ended(&id, 0, server, Outcome::Reset, false));
        assert!(sends(&actions).is_empty(), "a pause comes first");
        let (after, token) = timers(&actions)[0];
        let now = ended_at + after;
        let actions = rig.feed(now, Event::Timer { token });
        let in_time = now < begun + S - careless().tick;
        assert_eq!(sends(&actions).len(), usize::from(in_time), "{after}");
        // It is not refused either: a client that repeats would repeat too late.
        assert!(in_time || (failed(&actions) && !refused(&actions)));
        late += u32::from(!in_time);
        again += u32::from(in_time);
    }
    assert!(late > 100 && again > 2, "{late} {again}");
}

#[test]
fn an_unsafe_request_that_may_have_run_ends_at_once() {
    let mut rig = Rig::with(careless(), 1..=4);
    let server = sends(&rig.feed(2 * S, request("a", 4, 60 * S)))[0];
    let actions = rig.feed(3 * S, ended("a", 0, server, Outcome::TimedOut, false));
    // The pause is over before it is known that nothing may follow.
    let (after, token) = timers(&actions)[0];
    let actions = rig.feed(3 * S + after, Event::Timer { token });
    assert!(sends(&actions).is_empty() && failed(&actions), "{actions:?}");
}

#[test]
fn second_copies_are_for_safe_requests_where_two_may_be_out() {
    let copy = |set: Settings, class: u32| {
        let mut rig = Rig::with(set, 1..=4);
        let first = sends(&rig.feed(2 * S, request("a", class, 60 * S)));
        let more = sends(&rig.feed(2 * S + 50 * MS, Event::HedgeRequested { id: "a".into() }));
        assert!(more.iter().all(|server| *server != first[0]), "it goes elsewhere");
        // One beside the first, never two.
        let third = sends(&rig.feed(2 * S + 60 * MS, Event::HedgeRequested { id: "a".into() }));
        assert!(more.is_empty() || third.is_empty());
        more.len()
    };
    assert_eq!(copy(careless(), 0), 1);
    for class in 1..=4 {
        assert_eq!(copy(careless(), class), 0, "class {class}");
    }
    assert_eq!(copy(Settings { allows_parallel_attempts: false, ..careless() }, 0), 0);
    assert_eq!(copy(Settings { retry_ratio: 0.0, retry_budget_max: 0.0, ..careless() }, 0), 0);
    let mut one = careless();
    one.classes[0].max_attempts = 1;
    assert_eq!(copy(one, 0), 0, "attempts are bounded by class");
}

#[test]
fn a_silent_server_is_no_sign_of_congestion_while_others_answer() {
    let set = Settings { is_silence_local: true, ..settings() };
    let level = |set: Settings| {
        let mut rig = Rig::with(set, 1..=4);
        let mut refusals = 0;
        let mut stuck = Vec::new();
        // Server 1 says nothing, the others answer at once.
        for n in 0..600u64 {
            let now = 2 * S + n * 5 * MS;
            let id = format!("r{n}");
            let actions = rig.feed(now, request(&id, 0, 2 * S));
            refusals += u32::from(refused(&actions));
            match sends(&actions).first() {
                Some(1) => stuck.push((now, id)),
                Some(server) => drop(rig.feed(now + MS, ended(&id, 0, *server, Outcome::Ok, true))),
                None => {}
            }
            // What is stuck is given up after 100 ms, and goes elsewhere.
            while stuck.first().is_some_and(|(sent, _)| now >= sent + 100 * MS) {
                let (_, id) = stuck.remove(0);
                let actions = rig.feed(now, ended(&id, 0, 1, Outcome::TimedOut, false));
                if let Some(server) = sends(&actions).first() {
                    rig.feed(now + MS, ended(&id, 1, *server, Outcome::Ok, true));
                }
            }
        }
        refusals
    };
    assert_eq!(level(Settings { retry_budget_max: 100.0, ..set }), 0);
}

#[test]
fn what_was_under_way_when_a_server_froze_is_no_sign_of_congestion() {
    let set = Settings { is_silence_local: true, retry_budget_max: 100.0, ..settings() };
    let mut rig = Rig::with(set, 1..=4);
    let answer = |rig: &mut Rig, now: Nanos, id: &str, server| {
        rig.feed(now, ended(id, 0, server, Outcome::Ok, true));
    };
    // Of what server 1 has at the time, it answers one more; then it says nothing.
    let (mut at_one, mut at_others) = (Vec::new(), Vec::new());
    for n in 0..100 {
        let id = format!("r{n}");
        match sends(&rig.feed(2 * S, request(&id, 0, 2 * S)))[..] {
            [1] => at_one.push(id),
            [server] => at_others.push((id, server)),
            _ => panic!("sent once"),
        }
    }
    for (id, server) in at_others {
        answer(&mut rig, 2 * S + 2 * MS, &id, server);
    }
    assert!(at_one.len() > 10, "{}", at_one.len());
    answer(&mut rig, 2 * S + 5 * MS, &at_one.remove(0), 1);
    // The others go on answering.
    for n in 0..20u64 {
        let (now, id) = (2 * S + 10 * MS + n * 4 * MS, format!("s{n}"));
        match sends(&rig.feed(now, request(&id, 0, 2 * S)))[..] {
            [1] => at_one.push(id),
            [server] => answer(&mut rig, now + MS, &id, server),
            _ => panic!("sent once"),
        }
    }
    for id in at_one {
        rig.feed(2 * S + 120 * MS, ended(&id, 0, 1, Outcome::TimedOut, false));
    }
    let refusals = (0..200).filter(|n| {
        let actions = rig.feed(2 * S + 130 * MS, request(&format!("t{n}"), 0, 2 * S));
        refused(&actions)
    });
    assert_eq!(refusals.count(), 0);
}
