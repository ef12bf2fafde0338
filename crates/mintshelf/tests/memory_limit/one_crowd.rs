//! One crowd at a time, against a process that has just started.

use crate::crowds::{fast_crowd, post, slow_crowd, slow_server, FIELDS};
use crate::play::play_all;
use mintshelf_test_support::{ok_response, request, CrowdPlan, Server};
use std::time::Duration;

/// Longest time that a client which sends one request at a time waits beside a crowd whose requests
/// never reach a server: what such a crowd is owed itself.
const WAIT_BESIDE_UNFINISHED: Duration = Duration::from_secs(3);
/// Longest wait beside a crowd whose requests are as good as its own, and too many: the time that
/// the request states.
const WAIT_BESIDE_OVERLOAD: Duration = Duration::from_secs(8);

#[test]
fn unfinished_bodies_stay_within_the_memory_limit() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let plan = slow_crowd(|number| post(&format!("c{number}"), 0, 65_536, 3_000));
    play_all(&[server.address], &plan, WAIT_BESIDE_UNFINISHED);
}

#[test]
fn unfinished_bodies_behind_many_fields_stay_within_the_memory_limit() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let plan = slow_crowd(|number| post(&format!("c{number}"), FIELDS, 20_000, 500));
    play_all(&[server.address], &plan, WAIT_BESIDE_UNFINISHED);
}

#[test]
fn complete_requests_with_many_fields_stay_within_the_memory_limit() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let plan = slow_crowd(|number| post(&format!("c{number}"), FIELDS, 60_000, 0));
    play_all(&[server.address], &plan, WAIT_BESIDE_OVERLOAD);
}

#[test]
fn pipelined_requests_stay_within_the_memory_limit() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let plan = fast_crowd(|number| {
        (0..300).flat_map(|index| request("safe", &format!("c{number}-{index}"))).collect()
    });
    play_all(&[server.address], &plan, WAIT_BESIDE_OVERLOAD);
}

#[test]
fn slow_responses_stay_within_the_memory_limit() {
    for fields in [0, FIELDS] {
        let servers: Vec<_> = (0..4).map(|_| slow_server(fields)).collect();
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let plan = fast_crowd(|number| request("safe", &format!("c{number}")));
        play_all(&addresses, &plan, WAIT_BESIDE_OVERLOAD);
    }
}

#[test]
fn responses_that_no_client_reads_stay_within_the_memory_limit() {
    let body = "y".repeat(60_000);
    let server = Server::start(move |_, _| Some(ok_response(&body)));
    let plan = fast_crowd(|number| {
        (0..100).flat_map(|index| request("safe", &format!("c{number}-{index}"))).collect()
    });
    play_all(&[server.address], &CrowdPlan { reads: false, ..plan }, WAIT_BESIDE_OVERLOAD);
}
