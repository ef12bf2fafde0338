//! Requests that can be read in two ways are rejected.

use crate::fixture::{daemon, send_and_read_to_close};
use mintshelf_test_support::{ok_response, Server};

#[test]
fn ambiguous_requests_are_rejected_and_not_forwarded() {
    let server = Server::start(|request, _| Some(ok_response(request.path())));
    let daemon = daemon(&[server.address], "");
    let hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    for (what, head, body) in [
        ("both framings", "Content-Length: 40\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
        ("two lengths", "Content-Length: 0\r\nContent-Length: 40", ""),
        ("equal lengths", "Content-Length: 0\r\nContent-Length: 0", ""),
        ("length list", "Content-Length: 0, 0", ""),
        ("signed length", "Content-Length: +0", ""),
        ("space before the colon", "Content-Length : 0", ""),
        ("folded", "X-A: b\r\n Content-Length: 40", ""),
        ("carriage return alone", "X-A: b\rContent-Length: 40", ""),
        ("other encoding", "Transfer-Encoding: gzip, chunked", "0\r\n\r\n"),
        ("encoding with a tail", "Transfer-Encoding: xchunked", "0\r\n\r\n"),
        ("two hosts", "Host: other", ""),
        ("chunk size with sign", "Transfer-Encoding: chunked", "+1\r\nx\r\n0\r\n\r\n"),
        ("chunk size too large", "Transfer-Encoding: chunked", "fffffffffffffffff1\r\nx\r\n"),
        ("chunk without end", "Transfer-Encoding: chunked", "1\r\nxy\r\n0\r\n\r\n"),
    ] {
        let text = send_and_read_to_close(
            daemon.address,
            &format!("POST /{} HTTP/1.1\r\nHost: h\r\n{head}\r\n\r\n{body}{hidden}", "open"),
        );
        assert!(text.starts_with("HTTP/1.1 400 "), "{what}: {text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{what}: {text}");
    }
    // Behind an open request the same is seen.
    let second = "POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let text = send_and_read_to_close(
        daemon.address,
        &format!("GET /one HTTP/1.1\r\nHost: h\r\n\r\n{second}{hidden}"),
    );
    assert!(text.contains("/one") && text.contains("HTTP/1.1 400 "), "{text}");
    assert!(!text.contains("/hidden"), "{text}");
    for target in ["http://other/x", "http://h:99/x", "/a/../b", "/%2e%2E/b"] {
        let text = send_and_read_to_close(
            daemon.address,
            &format!("GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
        );
        assert!(text.starts_with("HTTP/1.1 400 "), "{target}: {text}");
    }
    let text =
        send_and_read_to_close(daemon.address, "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert!(text.starts_with("HTTP/1.1 400 "), "no host: {text}");
    // What has one meaning passes: an absolute target, pipelined requests in turn.
    let text = send_and_read_to_close(
        daemon.address,
        "GET http://h/abs?q HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert!(text.contains("/abs?q") && text.ends_with("/2"), "{text}");
    let paths: Vec<String> =
        server.requests().iter().map(|message| message.path().to_string()).collect();
    assert_eq!(paths, ["/one", "/abs?q", "/2"]);
}

#[test]
fn a_line_that_ends_in_a_bare_line_feed_is_rejected() {
    let server = Server::start(|_, _| Some(ok_response("good")));
    let daemon = daemon(&[server.address], "");
    for request in [
        "POST / HTTP/1.1\r\nHost: h\r\nX: y\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\n\n",
        "GET / HTTP/1.1\r\nHost: h\r\n\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: 1\n\r\n",
    ] {
        let text = send_and_read_to_close(daemon.address, request);
        assert!(text.starts_with("HTTP/1.1 400 "), "{request:?}: {text}");
    }
    assert!(server.requests().is_empty(), "none of it goes on");
}
