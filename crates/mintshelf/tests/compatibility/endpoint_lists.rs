//! Endpoint lists as discovery sends them, and as a configuration caches the last one.

use super::bindings::{
    answer, config, described_list, free_address, request, wait_until, Server, Sidecar,
};
use super::fixtures::{assert_same, text, PROGRAM};
use serde_json::Value;

#[test]
fn a_list_written_before_says_the_same() {
    let list = text("endpoint-list.json");
    let mut described = format!("whole: {}", described_list(&list, true));
    let cut_at = list.find(r#"{"uid":"s-3""#).unwrap();
    described.push_str(&format!("cut: {}", described_list(&list[..cut_at], false)));
    let changes = list.replace(r#""all":true"#, r#""all":false"#);
    described.push_str(&format!("changes: {}", described_list(&changes, true)));
    described.push_str(&format!("malformed: {}", described_list(&list[..cut_at], true)));
    assert_same("endpoint-list.txt", &described);
}

#[test]
fn a_sidecar_sends_by_the_list_in_its_configuration_while_discovery_is_away() {
    let server = Server::start(|_, _| Some(answer("listed")));
    let list = text("endpoint-list.json").replace("127.0.0.1:9001", &server.address.to_string());
    let mut configuration = config(free_address(), Vec::new());
    configuration["known"] = serde_json::from_str::<Value>(&list).unwrap();
    let sidecar = Sidecar::start(PROGRAM, configuration);
    for number in 0..5 {
        let response = sidecar.send_request(&request("safe", &format!("txn-{number}"))).unwrap();
        assert_eq!((response.status(), response.body.as_slice()), (200, &b"listed"[..]));
    }
}

#[test]
fn discovery_is_called_by_the_same_path_and_its_list_is_used() {
    let server = Server::start(|_, _| Some(answer("listed")));
    let list = text("endpoint-list.json").replace("127.0.0.1:9001", &server.address.to_string());
    let discovery = Server::start(move |_, _| Some(answer(&list)));
    let sidecar = Sidecar::start(PROGRAM, config(discovery.address, Vec::new()));
    wait_until("the list is held", || {
        discovery.requests().iter().any(|call| call.after() == Some(41))
    });
    let calls = discovery.requests();
    let (path, wait) = calls[0].path().split_once("&wait_ms=").unwrap();
    assert_eq!(path, "/api/targets?after=1");
    assert!(wait.parse::<u64>().is_ok(), "{wait}");
    let response = sidecar.send_request(&request("safe", "txn-1")).unwrap();
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"listed"[..]));
}
