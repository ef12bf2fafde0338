//! Polls of discovery that fail, fall silent or come late.

use crate::fixture::PROGRAM;
use crate::scripted_discovery::{slow_poll_config, ResponseKind, ScriptedDiscovery};
use mintshelf_test_support::{config, ok_response, request, wait_until, Server, Sidecar};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as notified so long after discovery had it and could be reached.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

/// The time from the first faulty response to the poll that gets a new list, for a sidecar whose
/// discovery responds twice, then with `faults`, then with the new list.
fn time_to_new_list(faults: &[ResponseKind]) -> Duration {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let entry = server.entry("a");
    let script =
        [&[ResponseKind::List(1), ResponseKind::List(1)][..], faults, &[ResponseKind::List(2)]]
            .concat();
    let listed = entry.clone();
    let discovery = ScriptedDiscovery::start(&script, move |rev| {
        let mut entry = listed.clone();
        entry["state"] = json!(if rev == 2 { "DRAINING" } else { "SERVING" });
        vec![entry]
    });
    let sidecar = Sidecar::start(PROGRAM, slow_poll_config(discovery.peer.address, vec![entry]));
    let first_fault = 2;
    let new_list = first_fault + faults.len();
    wait_until("the new list is polled", || discovery.calls().len() > new_list);
    drop(sidecar);
    let calls = discovery.calls();
    calls[new_list] - calls[first_fault]
}

#[test]
fn a_silent_watch_is_restarted_in_time() {
    let elapsed = time_to_new_list(&[ResponseKind::Silence]);
    assert!(elapsed < NOTIFICATION_DEADLINE - Duration::from_secs(1), "{elapsed:?}");
}

#[test]
fn failed_polls_do_not_delay_a_new_list_past_the_notification_deadline() {
    for faults in [
        &[ResponseKind::Silence, ResponseKind::Unavailable][..],
        &[ResponseKind::Reset, ResponseKind::Truncated],
        &[ResponseKind::Truncated, ResponseKind::Unavailable],
        &[ResponseKind::Unavailable, ResponseKind::Reset],
    ] {
        let elapsed = time_to_new_list(faults);
        assert!(elapsed < NOTIFICATION_DEADLINE, "{elapsed:?}");
    }
}

#[test]
fn after_many_failures_polls_stay_less_than_3_s_apart() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let entry = server.entry("a");
    let discovery = ScriptedDiscovery::start(&[ResponseKind::Unavailable], |_| vec![]);
    let _sidecar = Sidecar::start(PROGRAM, slow_poll_config(discovery.peer.address, vec![entry]));
    wait_until("eight polls have failed", || discovery.calls().len() >= 8);
    let gaps: Vec<_> = discovery.calls().windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap < Duration::from_secs(3)), "{gaps:?}");
}

#[test]
fn a_new_process_polls_in_time_whatever_interval_its_settings_allow() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = ScriptedDiscovery::start(&[ResponseKind::List(1)], |_| vec![]);
    let started_at = Instant::now();
    let sidecars: Vec<_> = (1..9u64)
        .map(|seed| {
            let mut config = slow_poll_config(discovery.peer.address, vec![server.entry("a")]);
            config["seed"] = json!(format!("{seed:016x}"));
            Sidecar::start(PROGRAM, config)
        })
        .collect();
    wait_until("all have polled", || discovery.calls().len() >= 8);
    assert!(started_at.elapsed() < NOTIFICATION_DEADLINE, "{:?}", started_at.elapsed());
    drop(sidecars);
}

#[test]
fn a_silent_agent_is_followed_soon_after_its_recovery() {
    let old = Server::start(|_, _| Some(ok_response("old")));
    let new = Server::start(|_, _| Some(ok_response("new")));
    let entries = [old.entry("a"), new.entry("b")];
    let listed = entries.clone();
    let script = [ResponseKind::List(1), ResponseKind::Silence];
    let agent =
        ScriptedDiscovery::start(&script, move |rev| vec![listed[rev as usize - 1].clone()]);
    let mut config = config(agent.peer.address, vec![entries[0].clone()]);
    config["settings"]["registry-mode"] = json!("automatic");
    let sidecar = Sidecar::start(PROGRAM, config);
    wait_until("it is silent", || agent.calls().len() >= 2);
    thread::sleep(Duration::from_millis(300));
    agent.set_script(&[ResponseKind::List(2)]);
    let recovered_at = Instant::now();
    let mut number = 0;
    wait_until("its list is applied", || {
        number += 1;
        let response = sidecar.send_request(&request("safe", &number.to_string())).unwrap();
        response.body == b"new"
    });
    assert!(recovered_at.elapsed() < Duration::from_secs(3), "{:?}", recovered_at.elapsed());
}

#[test]
fn a_silent_agent_is_replaced_by_one_at_a_new_address_in_time() {
    let old = Server::start(|_, _| Some(ok_response("old")));
    let new = Server::start(|_, _| Some(ok_response("new")));
    let entries = [old.entry("a"), new.entry("b")];
    let (first, second) = (entries[0].clone(), entries[1].clone());
    let silent =
        ScriptedDiscovery::start(&[ResponseKind::List(1), ResponseKind::Silence], move |_| {
            vec![first.clone()]
        });
    let new_agent =
        ScriptedDiscovery::start(&[ResponseKind::List(2)], move |_| vec![second.clone()]);
    let mut config = config(silent.peer.address, vec![entries[0].clone()]);
    config["settings"]["registry-mode"] = json!("automatic");
    let mut sidecar = Sidecar::start(PROGRAM, config);
    wait_until("it is silent", || silent.calls().len() >= 2);
    let mut file = sidecar.config.clone();
    file["discovery"] = json!(new_agent.peer.address.to_string());
    sidecar.reload(&file.to_string());
    let reloaded_at = Instant::now();
    wait_until("the new address is polled", || !new_agent.calls().is_empty());
    assert!(reloaded_at.elapsed() < Duration::from_secs(4), "{:?}", reloaded_at.elapsed());
}
