//! Which servers are put out for their failures, where sound ones fail now and then too.

mod common;

use common::{ended, request, sends, settings, Rig, MS, S};
use mintshelf_balancer::api::{Action, Event, Nanos, Outcome, ServerId, Settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Whether a chance of `share` comes true, drawn from a seed.
fn chance(seed: u64, share: f64) -> impl FnMut() -> bool {
    let mut rng = Pcg32::seed_from_u64(seed);
    move || f64::from(rng.next_u32()) < share * f64::from(u32::MAX)
}

/// Sends 200 safe requests a second for `span` seconds; `breaks` tells whether an attempt at a
/// server, at a second, is reset. Back come the times of the sends to each of six servers.
fn play(span: Nanos, mut breaks: impl FnMut(ServerId, f64) -> bool) -> Vec<Vec<f64>> {
    let mut rig = Rig::with(settings(), 0..6);
    let mut sent = vec![Vec::new(); 6];
    for n in 0..span * 200 {
        let now = S + n * 5 * MS;
        let second = (now - S) as f64 / S as f64;
        let id = n.to_string();
        let mut actions = rig.feed(now, request(&id, 0, 2 * S));
        for attempt in 0.. {
            let Some(&server) = sends(&actions).first() else { break };
            sent[server as usize].push(second);
            let broke = breaks(server, second);
            let outcome = if broke { Outcome::Reset } else { Outcome::Ok };
            actions = rig.feed(now + 4 * MS, ended(&id, attempt, server, outcome, !broke));
        }
    }
    sent
}

/// The longest that a server went without being sent anything, in seconds.
fn longest_gap(times: &[f64], end: f64) -> f64 {
    let from = std::iter::once(0.0).chain(times.iter().copied());
    let to = times.iter().copied().chain([end]);
    from.zip(to).map(|(a, b)| b - a).fold(0.0, f64::max)
}

#[test]
fn chance_failures_put_no_sound_server_out() {
    for share in [0.05, 0.1, 0.2] {
        let mut breaks = chance(11, share);
        let sent = play(60, |_, _| breaks());
        for (server, times) in sent.iter().enumerate() {
            let gap = longest_gap(times, 60.0);
            assert!(gap < 1.0, "{share}: server {server} had nothing for {gap} s");
        }
    }
}

#[test]
fn a_dead_server_is_put_out_whether_the_others_fail_now_and_then_or_not() {
    for (share, most) in [(0.0, 4), (0.02, 5), (0.1, 9), (0.2, 14)] {
        let mut breaks = chance(12, share);
        let sent = play(22, |server, second| breaks() || server == 2 && second >= 20.0);
        let after = sent[2].iter().filter(|second| **second >= 20.0).count();
        assert!(after <= most, "{share}: {after} sends to a dead server");
        assert!(sent[2].len() > 300, "{share}: it had its part before");
    }
}

#[test]
fn a_late_answer_does_not_bring_dead_servers_back() {
    let mut rig = Rig::with(Settings { max_attempts: 1, ..settings() }, 0..6);
    let dead = |server: ServerId| server < 3;
    // Three of six fail until they are put out; then one request at each other stays open.
    let (mut held, mut late) = ([false; 6], Vec::new());
    for n in 0..120 {
        let (now, id) = (S + n * 5 * MS, n.to_string());
        let actions = rig.feed(now, request(&id, 0, 2 * S));
        let Some(&server) = sends(&actions).first() else { continue };
        if n >= 100 && !dead(server) && !std::mem::replace(&mut held[server as usize], true) {
            late.extend(actions.iter().filter_map(|action| match action {
                Action::SetTimer { token, .. } => Some(*token),
                _ => None,
            }));
            continue;
        }
        let outcome = if dead(server) { Outcome::ConnectFailed } else { Outcome::Ok };
        rig.feed(now + MS, ended(&id, 0, server, outcome, !dead(server)));
    }
    assert_eq!(held, [false, false, false, true, true, true]);
    let now = S + 120 * 5 * MS;
    late.into_iter().for_each(|token| drop(rig.feed(now, Event::Timer { token })));
    let mut out = 0;
    for n in 120..220 {
        let actions = rig.feed(now + MS, request(&n.to_string(), 0, 2 * S));
        out += sends(&actions).len();
        assert!(sends(&actions).iter().all(|server| !dead(*server)), "a dead server was sent one");
    }
    assert!(out > 50, "the late ones take what comes");
}
