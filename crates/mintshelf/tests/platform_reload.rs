//! Configurations of the platform's sidecar that are applied and rejected while it runs.

use mintshelf_test_support::{
    config, ok_response, request, start_with_server, wait_until, Discovery, Server, Sidecar,
};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

#[test]
fn discovery_follows_the_file() {
    let old = Server::start(|_, _| Some(ok_response("old")));
    let new = Server::start(|_, _| Some(ok_response("new")));
    let first = Discovery::start(2, vec![old.entry("a")]);
    // The second one has revisions of its own.
    let second = Discovery::start(1, vec![new.entry("b")]);
    let mut sidecar = Sidecar::start(PROGRAM, config(first.address, vec![old.entry("a")]));
    first.wait_for_first_call();
    let mut changed = sidecar.config.clone();
    changed["discovery"] = json!(second.address.to_string());
    sidecar.reload(&changed.to_string());
    let mut number = 0;
    wait_until("the new list is applied", || {
        number += 1;
        let response = sidecar.send_request(&request("safe", &format!("r{number}"))).unwrap();
        assert_eq!(response.status(), 200);
        response.body == b"new"
    });
    assert!(sidecar.is_running());
}

#[test]
fn a_malformed_file_is_not_applied() {
    let (server, discovery, mut sidecar) =
        start_with_server(PROGRAM, |_, _| Some(ok_response("served")));
    for text in ["", "{", r#"{"name":"n0"}"#] {
        sidecar.reload(text);
    }
    // A watch that goes on shows that the old address is still used.
    let calls = discovery.call_count();
    discovery.set(vec![server.entry("a"), server.entry("b")]);
    wait_until("the watch goes on", || discovery.call_count() > calls);
    assert_eq!(sidecar.send_request(&request("safe", "x")).unwrap().status(), 200);
    assert!(sidecar.is_running());
}

#[test]
fn a_malformed_file_at_the_start_is_a_failure_with_one_line() {
    let file = std::env::temp_dir().join(format!("mintshelf-bad-{}.json", std::process::id()));
    std::fs::write(&file, r#"{"name":"n0","listen":"nowhere"}"#).unwrap();
    let output = std::process::Command::new(PROGRAM).env("RELAY_CONFIG", &file).output().unwrap();
    std::fs::remove_file(&file).unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && errors.lines().count() == 1, "{errors}");
    assert!(errors.contains("listen"), "{errors}");
}
