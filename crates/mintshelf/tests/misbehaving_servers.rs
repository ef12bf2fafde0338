//! Servers that misbehave: what is retried, and what is never forwarded.

use mintshelf_test_support::{
    config, ok_response, request, start_with_server, wait_until, Discovery, Process as _, Server,
    Sidecar,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

fn malformed_responses() -> Vec<(&'static str, Vec<u8>)> {
    let long = "x".repeat(70_000);
    vec![
        ("noise", b"\x01\x02noise\r\n\r\n".to_vec()),
        ("status", b"HTTP/1.1 2x0 OK\r\nContent-Length: 3\r\n\r\nbad".to_vec()),
        (
            "two lengths",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nbad".to_vec(),
        ),
        ("negative", b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nbad".to_vec()),
        (
            "chunks",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\nzz\r\n".to_vec(),
        ),
        (
            "both",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                .to_vec(),
        ),
        ("no framing", b"HTTP/1.1 200 OK\r\n\r\nbad".to_vec()),
        ("endless head", format!("HTTP/1.1 200 OK\r\nX-Pad: {long}").into_bytes()),
        ("half a head", b"HTTP/1.1 200 OK\r\nContent-Len".to_vec()),
        ("half a body", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbad".to_vec()),
        (
            "3 GB",
            format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{long}").into_bytes(),
        ),
    ]
}

#[test]
fn a_malformed_response_is_a_failed_attempt_and_its_connection_is_not_reused() {
    for (what, bytes) in malformed_responses() {
        let (server, _discovery, sidecar) = start_with_server(PROGRAM, move |_, number| {
            Some(if number == 1 { bytes.clone() } else { ok_response("good") })
        });
        let response = sidecar.send_request(&request("safe", "s")).unwrap();
        assert_eq!((response.status(), &response.body[..]), (200, &b"good"[..]), "{what}");
        assert_eq!(server.requests().len(), 2, "{what}");
        assert_eq!(server.connection_count(), 2, "{what}");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_retried() {
    for (what, bytes) in malformed_responses() {
        let (server, _discovery, sidecar) =
            start_with_server(PROGRAM, move |_, _| Some(bytes.clone()));
        assert_eq!(sidecar.send_request(&request("unsafe", "u")).unwrap().status(), 502, "{what}");
        assert_eq!(server.requests().len(), 1, "{what}");
    }
}

#[test]
fn bytes_after_a_response_are_not_another_response() {
    let twice = [ok_response("one"), ok_response("surplus")].concat();
    let (_server, _discovery, sidecar) = start_with_server(PROGRAM, move |_, number| {
        Some(if number == 1 { twice.clone() } else { ok_response("two") })
    });
    assert_eq!(sidecar.send_request(&request("safe", "1")).unwrap().body, b"one");
    assert_eq!(sidecar.send_request(&request("safe", "2")).unwrap().body, b"two");
}

#[test]
fn informational_responses_are_skipped() {
    let ahead = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    let (server, _discovery, sidecar) =
        start_with_server(PROGRAM, move |_, _| Some([&ahead[..], &ok_response("good")].concat()));
    assert_eq!(sidecar.send_request(&request("safe", "s")).unwrap().body, b"good");
    assert_eq!(server.requests().len(), 1);
}

#[test]
fn a_request_rejected_as_invalid_is_not_retried_elsewhere() {
    let bad_request = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
    let (server, _discovery, sidecar) =
        start_with_server(PROGRAM, move |_, _| Some(bad_request.to_vec()));
    assert_ne!(sidecar.send_request(&request("safe", "s")).unwrap().status(), 200);
    assert_eq!(server.requests().len(), 1);
}

#[test]
fn replaced_servers_leak_no_descriptors() {
    let server = Server::start(|_, _| Some(ok_response("good")));
    let discovery = Discovery::start(1, vec![server.entry("s0")]);
    let sidecar = Sidecar::start(PROGRAM, config(discovery.address, vec![server.entry("s0")]));
    let mut sent = 0;
    let mut replace_server = |number: usize| {
        discovery.set(vec![server.entry(&format!("s{number}"))]);
        let calls = discovery.call_count();
        wait_until("the list is notified", || discovery.call_count() > calls);
        sent += 1;
        let response = sidecar.send_request(&request("safe", &format!("r{sent}"))).unwrap();
        assert_eq!(response.status(), 200);
    };
    (1..20).for_each(&mut replace_server);
    let before = sidecar.descriptors();
    (20..120).for_each(&mut replace_server);
    // Connections to removed servers are closed, at the latest by the next sweep.
    wait_until("descriptors are released", || sidecar.descriptors() <= before + 4);
}

#[test]
fn a_reused_address_is_a_new_server() {
    let server = Server::start(|_, _| Some(ok_response("good")));
    let discovery = Discovery::start(1, vec![server.entry("old")]);
    let sidecar = Sidecar::start(PROGRAM, config(discovery.address, vec![server.entry("old")]));
    assert_eq!(sidecar.send_request(&request("safe", "1")).unwrap().status(), 200);
    assert_eq!(server.connection_count(), 1);
    discovery.set(vec![server.entry("new")]);
    // A request on a connection to the old server could be lost with its machine.
    let mut number = 1;
    wait_until("a connection of its own", || {
        number += 1;
        let response = sidecar.send_request(&request("safe", &number.to_string())).unwrap();
        assert_eq!(response.status(), 200);
        server.connection_count() > 1
    });
}
