//! What is forwarded of requests and responses.

use crate::fixture::{daemon, send_and_read_to_close};
use mintshelf_test_support::{connect, ok_response, Message, Server};
use std::io::Write;

#[test]
fn every_status_is_forwarded_with_its_headers() {
    let server = Server::start(|request, _| {
        let status = &request.path()[1..];
        let has_no_body = matches!(status, "204" | "304");
        let body = if has_no_body { "" } else { "Content-Length: 4\r\n" };
        let head = format!("HTTP/1.1 {status} X\r\nX-Of: server\r\nETag: \"e\"\r\n{body}\r\n");
        Some(format!("{head}{}", if has_no_body { "" } else { "body" }).into_bytes())
    });
    let daemon = daemon(&[server.address], "");
    for status in [200, 201, 204, 206, 301, 304, 400, 401, 404, 409, 418, 429, 500, 502, 503] {
        let request = format!("POST /{status} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let text = send_and_read_to_close(daemon.address, &request);
        assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
        assert!(text.contains("x-of: server") && text.contains("etag: \"e\""), "{text}");
        assert_eq!(text.ends_with("\r\n\r\nbody"), !matches!(status, 204 | 304), "{text}");
    }
    // An unsafe request is sent once, whatever the response is.
    assert_eq!(server.requests().len(), 15);
}

#[test]
fn a_head_of_a_hundred_headers_is_forwarded_and_a_longer_one_is_rejected() {
    let server = Server::start(|request, _| {
        let more: usize = request.path()[1..].parse().unwrap_or(0);
        let more: String = (0..more).map(|number| format!("X-{number}: 1\r\n")).collect();
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{more}\r\n").into_bytes())
    });
    let daemon = daemon(&[server.address], "");
    let send = |response_headers: usize, request_headers: usize| {
        let more: String =
            (0..request_headers).map(|number| format!("X-{number}: 1\r\n")).collect();
        let head = format!("POST /{response_headers} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n");
        send_and_read_to_close(daemon.address, &format!("{head}{more}\r\n"))
    };
    let text = send(99, 98);
    assert!(text.starts_with("HTTP/1.1 200 ") && text.contains("x-98: 1"), "{text}");
    let before = server.requests().len();
    assert!(send(0, 99).starts_with("HTTP/1.1 431 "));
    assert_eq!(server.requests().len(), before, "it is not forwarded");
    // It may have run, and is not retried.
    assert!(send(100, 0).starts_with("HTTP/1.1 502 "));
    assert_eq!(server.requests().len(), before + 1);
}

#[test]
fn head_informational_responses_expect_and_trailers_are_handled() {
    let server = Server::start(|request, _| {
        Some(match request.path() {
            "/head" => b"HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n".to_vec(),
            "/early" => {
                [&b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"[..], &ok_response("late")]
                    .concat()
            }
            "/trailers" => {
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n\
                3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n"
                    .to_vec()
            }
            _ => ok_response(&String::from_utf8_lossy(&request.body)),
        })
    });
    let daemon = daemon(&[server.address], "");
    let send = |first: &str, more: &str| {
        send_and_read_to_close(
            daemon.address,
            &format!("{first} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{more}\r\n"),
        )
    };
    let head = send("HEAD /head", "");
    assert!(head.contains("content-length: 12345") && head.ends_with("\r\n\r\n"), "{head}");
    assert!(send("GET /early", "").ends_with("late"));
    let text = send_and_read_to_close(
        daemon.address,
        "GET /trailers HTTP/1.1\r\nHost: h\r\nTE: trailers\r\nConnection: TE, close\r\n\r\n",
    );
    assert!(text.contains("3\r\nabc\r\n0\r\n") && text.contains("x-sum: 7"), "{text}");
    // The body is sent only after 100 Continue.
    let mut stream = connect(daemon.address).unwrap();
    let head =
        "POST /echo HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 100);
    stream.write_all(b"hello").unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().body, b"hello");
    assert!(send("GET /", "Expect: miracles\r\n").starts_with("HTTP/1.1 417 "));
}
