//! Outlier ejection: failing servers are ejected, healthy servers with occasional failures are not.

mod common;

use common::{attempt_ended, request, sent_to, settings, TestBalancer};
use mintshelf_balancer::api::{Action, Event, Outcome, ServerId, Settings};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Returns a generator of reproducible random failures with the given probability.
fn random_failures(seed: u64, probability: f64) -> impl FnMut() -> bool {
    let mut rng = Pcg32::seed_from_u64(seed);
    move || f64::from(rng.next_u32()) < probability * f64::from(u32::MAX)
}

/// Sends 200 safe requests per second for a number of seconds. `fails` returns whether an attempt
/// at a server, at a time in seconds, is reset. Returns the times of the sends to each of six
/// servers.
fn send_requests(seconds: u64, mut fails: impl FnMut(ServerId, f64) -> bool) -> Vec<Vec<f64>> {
    let mut instance = TestBalancer::with_servers(settings(), 0..6);
    let mut sent = vec![Vec::new(); 6];
    for n in 0..seconds * 200 {
        let now = SECOND + n * 5 * MILLISECOND;
        let second = (now - SECOND) as f64 / SECOND as f64;
        let id = n.to_string();
        let mut actions = instance.handle(now, request(&id, 0, 2 * SECOND));
        for attempt in 0.. {
            let Some(&server) = sent_to(&actions).first() else { break };
            sent[server as usize].push(second);
            let has_failed = fails(server, second);
            let outcome = if has_failed { Outcome::Reset } else { Outcome::Ok };
            actions = instance.handle(
                now + 4 * MILLISECOND,
                attempt_ended(&id, attempt, server, outcome, !has_failed),
            );
        }
    }
    sent
}

/// Returns the longest time in seconds without a send.
fn longest_gap(times: &[f64], end: f64) -> f64 {
    let from = std::iter::once(0.0).chain(times.iter().copied());
    let to = times.iter().copied().chain([end]);
    from.zip(to).map(|(from, to)| to - from).fold(0.0, f64::max)
}

#[test]
fn random_failures_eject_no_healthy_server() {
    for probability in [0.05, 0.1, 0.2] {
        let mut fails = random_failures(11, probability);
        let sent = send_requests(60, |_, _| fails());
        for (server, times) in sent.iter().enumerate() {
            let gap = longest_gap(times, 60.0);
            assert!(gap < 1.0, "{probability}: server {server} got no requests for {gap} s");
        }
    }
}

#[test]
fn an_unavailable_server_is_ejected_whether_or_not_the_others_fail_at_random() {
    for (probability, max_sends) in [(0.0, 4), (0.02, 5), (0.1, 9), (0.2, 14)] {
        let mut fails = random_failures(12, probability);
        let sent = send_requests(22, |server, second| fails() || server == 2 && second >= 20.0);
        let after = sent[2].iter().filter(|second| **second >= 20.0).count();
        assert!(after <= max_sends, "{probability}: {after} sends to an unavailable server");
        assert!(sent[2].len() > 300, "{probability}: too few sends before its failure");
    }
}

#[test]
fn an_overdue_attempt_does_not_readmit_ejected_servers() {
    let mut instance = TestBalancer::with_servers(Settings { max_attempts: 1, ..settings() }, 0..6);
    let is_unavailable = |server: ServerId| server < 3;
    // Three of six servers fail until they are ejected. Then one request at each of the others
    // stays open.
    let mut has_open_request = [false; 6];
    let mut overdue_timers = Vec::new();
    for n in 0..120 {
        let now = SECOND + n * 5 * MILLISECOND;
        let id = n.to_string();
        let actions = instance.handle(now, request(&id, 0, 2 * SECOND));
        let Some(&server) = sent_to(&actions).first() else { continue };
        if n >= 100
            && !is_unavailable(server)
            && !std::mem::replace(&mut has_open_request[server as usize], true)
        {
            overdue_timers.extend(actions.iter().filter_map(|action| match action {
                Action::SetTimer { token, .. } => Some(*token),
                _ => None,
            }));
            continue;
        }
        let outcome = if is_unavailable(server) { Outcome::ConnectFailed } else { Outcome::Ok };
        instance.handle(
            now + MILLISECOND,
            attempt_ended(&id, 0, server, outcome, !is_unavailable(server)),
        );
    }
    assert_eq!(has_open_request, [false, false, false, true, true, true]);
    let now = SECOND + 120 * 5 * MILLISECOND;
    overdue_timers.into_iter().for_each(|token| drop(instance.handle(now, Event::Timer { token })));
    let mut sends = 0;
    for n in 120..220 {
        let actions = instance.handle(now + MILLISECOND, request(&n.to_string(), 0, 2 * SECOND));
        sends += sent_to(&actions).len();
        assert!(
            sent_to(&actions).iter().all(|server| !is_unavailable(*server)),
            "a request was sent to an ejected server"
        );
    }
    assert!(
        sends > 50,
        "only {sends} of 100 requests were sent to servers with an overdue attempt"
    );
}

/// Guards against a fault seen on sockets: at three servers, the requests of a single class got no
/// responses. Ejecting these servers for all classes overloaded the other servers.
#[test]
fn a_server_without_responses_to_one_class_is_ejected_for_this_class_only() {
    let mut instance = TestBalancer::with_servers(settings(), 1..=3);
    let actions = instance.handle(SECOND, request("unanswered", 0, 2 * SECOND));
    let server = sent_to(&actions)[0];
    let timers: Vec<(Nanos, u64)> = actions
        .iter()
        .filter_map(|action| match action {
            Action::SetTimer { after, token } => Some((*after, *token)),
            _ => None,
        })
        .collect();
    let mut number = 0;
    // Handles requests of a class one by one, each of which is served. Returns how many are sent to
    // `server`.
    let mut count_sends_to_server = |instance: &mut TestBalancer, from: Nanos, class: u32| {
        let mut count = 0;
        // `server` has an attempt in flight, so only requests that are drawn without a comparison
        // are sent to it: a few of many.
        for at in (0..600).map(|i| from + i * MILLISECOND / 10) {
            number += 1;
            let id = format!("r{number}");
            let to = sent_to(&instance.handle(at, request(&id, class, 2 * SECOND)))[0];
            instance.handle(at, attempt_ended(&id, 0, to, Outcome::Ok, true));
            count += usize::from(to == server);
        }
        count
    };
    // Requests that were sent well after the one without a response are served.
    assert!(count_sends_to_server(&mut instance, SECOND + 150 * MILLISECOND, 4) > 0);
    for (after, token) in timers {
        instance.handle(SECOND + after, Event::Timer { token });
    }
    assert_eq!(count_sends_to_server(&mut instance, SECOND + 500 * MILLISECOND, 0), 0);
    assert!(count_sends_to_server(&mut instance, SECOND + 900 * MILLISECOND, 4) > 0);
    // After the ejection, requests of the class are sent to the server again.
    assert!(count_sends_to_server(&mut instance, SECOND + 4 * SECOND, 0) > 0);
}

/// Returns the number of 60 requests that are sent to a server after ten checks of it ended so.
fn sends_after_checks(outcome: Outcome) -> usize {
    const CHECKED: ServerId = 2;
    let mut instance = TestBalancer::with_servers(settings(), 0..6);
    for number in 0..10 {
        let now = SECOND + number * MILLISECOND;
        let checked = Event::Probed { server: CHECKED, outcome, elapsed: 1, report: None };
        instance.handle(now, checked);
    }
    let sends = (0..60).map(|number| {
        let id = format!("r{number}");
        let now = SECOND + (20 + number * 5) * MILLISECOND;
        let actions = instance.handle(now, request(&id, 0, 2 * SECOND));
        let servers = sent_to(&actions);
        servers.iter().for_each(|server| {
            instance.handle(now + 1, attempt_ended(&id, 0, *server, Outcome::Ok, true));
        });
        servers.iter().filter(|server| **server == CHECKED).count()
    });
    sends.sum()
}

#[test]
fn health_checks_that_were_not_sent_eject_no_server() {
    assert_eq!(sends_after_checks(Outcome::ConnectFailed), 0);
    assert!(sends_after_checks(Outcome::Unused) > 0);
}
