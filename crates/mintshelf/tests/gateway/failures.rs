//! Servers that fail, and which requests are retried.

use crate::fixture::{daemon, file, PROGRAM};
use mintshelf_test_support::{
    connect, free_address, get, ok_response, read_some, read_to_close, read_to_end, Daemon,
    Message, Peer, Server,
};
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[test]
fn a_safe_request_is_retried_at_another_server_and_an_unsafe_one_is_not() {
    let executions = Arc::new(AtomicUsize::new(0));
    let counted = executions.clone();
    // It executes the request and crashes.
    let crashing = Server::start(move |_, _| {
        counted.fetch_add(1, Ordering::Relaxed);
        Some(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nhalf".to_vec())
    });
    let broken = Peer::start(|mut stream| {
        let _ = Message::read(&mut stream);
    });
    let good = Server::start(|_, _| Some(ok_response("good")));
    let daemon = daemon(&[broken.address, good.address], "");
    for _ in 0..20 {
        assert_eq!(daemon.send_request(&get("/")).unwrap().body, b"good");
    }
    let before = good.requests().len();
    let mut failed = 0;
    for _ in 0..20 {
        let post = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";
        let response = daemon.send_request(post).unwrap();
        match response.status() {
            200 => {}
            502 => {
                assert_eq!(response.header("content-type"), Some("application/problem+json"));
                let problem: String = String::from_utf8_lossy(&response.body).into();
                assert!(problem.contains("\"code\":\"upstream-failed\""), "{problem}");
                failed += 1;
            }
            status => panic!("{status}"),
        }
    }
    // Each had one attempt: it failed, or the good server executed it.
    assert_eq!(good.requests().len() - before, 20 - failed);
    drop(crashing);
    assert_eq!(executions.load(Ordering::Relaxed), 0);
}

#[test]
fn an_unreachable_cluster_is_answered_at_once_with_retry_after() {
    let daemon = daemon(&[free_address()], "");
    let response = daemon.send_request(&get("/")).unwrap();
    assert_eq!(response.status(), 503, "{}", response.head);
    assert!(String::from_utf8_lossy(&response.body).contains("\"code\":\"overloaded\""));
    assert_eq!(response.header("retry-after"), Some("1"));
}

#[test]
fn a_truncated_response_differs_from_a_complete_one() {
    for framing in ["Content-Length: 500000", "Transfer-Encoding: chunked"] {
        let server = Peer::start(move |mut stream| {
            if Message::read(&mut stream).is_none() {
                return;
            }
            let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(b"186a0\r\n");
            let _ = stream.write_all(&vec![b'x'; 100_000]);
        });
        let daemon = daemon(&[server.address], "");
        let mut stream = connect(daemon.address).unwrap();
        stream.write_all(&get("/")).unwrap();
        let bytes = read_to_close(&mut stream);
        let text = String::from_utf8_lossy(&bytes);
        assert!(text.starts_with("HTTP/1.1 200 ") && bytes.len() < 400_000, "{framing}");
        assert!(!text.ends_with("0\r\n\r\n"), "{framing}: it looks complete");
    }
}

#[test]
fn a_server_that_dies_during_an_upload_is_an_error_at_once_without_retry() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let counted = attempts.clone();
    let server = Peer::start(move |mut stream| {
        let mut buffer = vec![0; 64 << 10];
        let mut received = 0;
        while received < 400_000 {
            match read_some(&mut stream, &mut buffer) {
                Ok(count @ 1..) => received += count,
                _ => return,
            }
        }
        counted.fetch_add(1, Ordering::Relaxed);
    });
    let text = |address| {
        file(address, &[server.address], "").replace(
            "[limits]",
            "[classes.default]\ndeadline = \"10m\"\n[limits]\nstream-timeout = \"10m\"",
        )
    };
    let address = free_address();
    let daemon = Daemon::start(PROGRAM, address, &text(address), &[]);
    // Even a safe one: the part of its body that was sent is no longer available.
    for (number, method) in ["POST", "GET"].into_iter().enumerate() {
        let mut stream = connect(daemon.address).unwrap();
        let head = format!("{method} / HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'x'; 500_000]).unwrap();
        // The deadline is far over the test's timeout: only an immediate response passes.
        let response = Message::read(&mut stream).unwrap();
        assert_eq!(response.status(), 502, "{}", response.head);
        assert_eq!(attempts.load(Ordering::Relaxed), number + 1);
    }
}

/// How a server ends a chunked response of which a part has been passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseEnd {
    Complete,
    BreaksOff,
    Stalls,
}

// Guards against `review/10`: a client with HTTP/1.0 took a part of a response for the whole, as its
// connection ended in good order.
#[test]
fn a_client_without_chunks_sees_a_reset_behind_a_part_of_a_response() {
    static DATA: [u8; 20_000] = [b'x'; 20_000];
    for end in [ResponseEnd::Complete, ResponseEnd::BreaksOff, ResponseEnd::Stalls] {
        let server = Peer::start(move |mut stream| {
            let Some(_) = Message::read(&mut stream) else { return };
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for _ in 0..2 {
                let _ = write!(stream, "{:x}\r\n", DATA.len());
                let _ = stream.write_all(&[&DATA[..], b"\r\n"].concat());
                // The first part has been passed on by then.
                thread::sleep(Duration::from_millis(200));
            }
            match end {
                ResponseEnd::Complete => stream.write_all(b"0\r\n\r\n").unwrap(),
                ResponseEnd::BreaksOff => return,
                ResponseEnd::Stalls => {}
            }
            while read_some(&mut stream, &mut [0; 64]).is_ok_and(|count| count > 0) {}
        });
        let address = free_address();
        let text = file(address, &[server.address], "");
        let text = text.replace("[limits]\n", "[limits]\nstream-timeout = \"500ms\"\n");
        let _daemon = Daemon::start(PROGRAM, address, &text, &[]);
        let mut stream = connect(address).unwrap();
        stream.write_all(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n").unwrap();
        let (received, result) = read_to_end(&mut stream);
        let ended_in_order = result.is_ok();
        assert_eq!(ended_in_order, end == ResponseEnd::Complete, "{end:?}: {result:?}");
        assert!(!ended_in_order || received.len() > 2 * DATA.len(), "{} bytes", received.len());
        // With chunks the end of the connection cannot be taken for the end of the response.
        let mut stream = connect(address).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").unwrap();
        assert!(read_to_end(&mut stream).1.is_ok(), "{end:?}");
    }
}
