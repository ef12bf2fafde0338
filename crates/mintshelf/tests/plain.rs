//! Ordinary HTTP/1.1 through the daemon: what is passed on, and what never is.

use mintshelf_test_support::{
    connect, free_address, get, ok_response, read_to_close, send_request, wait_until, Daemon,
    Message, Peer, Process as _, Server,
};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A file with one cluster and one route that takes everything.
fn file(at: SocketAddr, servers: &[SocketAddr], more: &str) -> String {
    let servers: Vec<String> = servers.iter().map(|s| format!("\"{s}\"")).collect();
    format!(
        "listen = \"{at}\"\n[limits]\nmemory = \"32MiB\"\nsockets = 128\n\
         [clusters.c]\nendpoints = [{}]\nconnect-timeout = \"5s\"\n\
         [[routes]]\ncluster = \"c\"\n{more}\n",
        servers.join(", ")
    )
}

fn daemon(servers: &[SocketAddr], more: &str) -> Daemon {
    let at = free_address();
    Daemon::start(PROGRAM, at, &file(at, servers, more), &[])
}

/// Writes a request that asks for the connection's end, and reads all that comes.
fn all(at: SocketAddr, request: &str) -> String {
    let mut stream = connect(at).unwrap();
    let _ = stream.write_all(request.as_bytes());
    String::from_utf8_lossy(&read_to_close(&mut stream)).into_owned()
}

#[test]
fn every_status_passes_with_its_headers() {
    let server = Server::start(|request, _| {
        let status = &request.path()[1..];
        let bare = matches!(status, "204" | "304");
        let body = if bare { "" } else { "Content-Length: 4\r\n" };
        let head = format!("HTTP/1.1 {status} X\r\nX-Of: server\r\nETag: \"e\"\r\n{body}\r\n");
        Some(format!("{head}{}", if bare { "" } else { "body" }).into_bytes())
    });
    let daemon = daemon(&[server.at], "");
    for status in [200, 201, 204, 206, 301, 304, 400, 401, 404, 409, 418, 429, 500, 502, 503] {
        let request = format!("POST /{status} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let text = all(daemon.at, &request);
        assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
        assert!(text.contains("x-of: server") && text.contains("etag: \"e\""), "{text}");
        assert_eq!(text.ends_with("\r\n\r\nbody"), !matches!(status, 204 | 304), "{text}");
    }
    // An unsafe request is sent once, whatever comes back.
    assert_eq!(server.requests().len(), 15);
}

#[test]
fn a_head_of_a_hundred_headers_passes_and_a_longer_one_is_refused() {
    let server = Server::start(|request, _| {
        let more: usize = request.path()[1..].parse().unwrap_or(0);
        let more: String = (0..more).map(|n| format!("X-{n}: 1\r\n")).collect();
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{more}\r\n").into_bytes())
    });
    let daemon = daemon(&[server.at], "");
    let with = |answered: usize, asked: usize| {
        let more: String = (0..asked).map(|n| format!("X-{n}: 1\r\n")).collect();
        let head = format!("POST /{answered} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n");
        all(daemon.at, &format!("{head}{more}\r\n"))
    };
    let text = with(99, 98);
    assert!(text.starts_with("HTTP/1.1 200 ") && text.contains("x-98: 1"), "{text}");
    let before = server.requests().len();
    assert!(with(0, 99).starts_with("HTTP/1.1 431 "));
    assert_eq!(server.requests().len(), before, "none of it goes on");
    // It may have run, and is not sent again.
    assert!(with(100, 0).starts_with("HTTP/1.1 502 "));
    assert_eq!(server.requests().len(), before + 1);
}

#[test]
fn head_informational_answers_expect_and_trailers() {
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
    let daemon = daemon(&[server.at], "");
    let send = |first: &str, more: &str| {
        all(daemon.at, &format!("{first} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{more}\r\n"))
    };
    let head = send("HEAD /head", "");
    assert!(head.contains("content-length: 12345") && head.ends_with("\r\n\r\n"), "{head}");
    assert!(send("GET /early", "").ends_with("late"));
    let text = all(
        daemon.at,
        "GET /trailers HTTP/1.1\r\nHost: h\r\nTE: trailers\r\nConnection: TE, close\r\n\r\n",
    );
    assert!(text.contains("3\r\nabc\r\n0\r\n") && text.contains("x-sum: 7"), "{text}");
    // The body is sent only once it has been asked for.
    let mut stream = connect(daemon.at).unwrap();
    let head =
        "POST /echo HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 100);
    stream.write_all(b"hello").unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().body, b"hello");
    assert!(send("GET /", "Expect: miracles\r\n").starts_with("HTTP/1.1 417 "));
}

#[test]
fn a_safe_request_is_tried_elsewhere_and_an_unsafe_one_is_not() {
    let ran = Arc::new(AtomicUsize::new(0));
    let counted = ran.clone();
    // It takes the request, runs it, and dies.
    let dies = Server::start(move |_, _| {
        counted.fetch_add(1, Ordering::Relaxed);
        Some(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nhalf".to_vec())
    });
    let broken = Peer::start(|mut stream| {
        let _ = Message::read(&mut stream);
    });
    let good = Server::start(|_, _| Some(ok_response("good")));
    let daemon = daemon(&[broken.at, good.at], "");
    for _ in 0..20 {
        assert_eq!(daemon.send_request(&get("/")).unwrap().body, b"good");
    }
    let before = good.requests().len();
    let mut failed = 0;
    for _ in 0..20 {
        let post = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";
        let got = daemon.send_request(post).unwrap();
        match got.status() {
            200 => {}
            502 => {
                assert_eq!(got.header("content-type"), Some("application/problem+json"));
                let problem: String = String::from_utf8_lossy(&got.body).into();
                assert!(problem.contains("\"code\":\"upstream-failed\""), "{problem}");
                failed += 1;
            }
            status => panic!("{status}"),
        }
    }
    // Each went to one server only: either it failed, or the good one ran it.
    assert_eq!(good.requests().len() - before, 20 - failed);
    drop(dies);
    assert_eq!(ran.load(Ordering::Relaxed), 0);
}

#[test]
fn nobody_there_is_an_answer_at_once_with_advice() {
    let daemon = daemon(&[free_address()], "");
    let got = daemon.send_request(&get("/")).unwrap();
    assert_eq!(got.status(), 503, "{}", got.head);
    assert!(String::from_utf8_lossy(&got.body).contains("\"code\":\"overloaded\""));
    assert_eq!(got.header("retry-after"), Some("1"));
}

/// Bytes that differ by place, so that a swap or a loss shows.
fn pattern(at: usize) -> u8 {
    (at % 251) as u8
}

const LARGE: usize = 200 << 20;

#[test]
fn a_body_of_200_mb_goes_both_ways_through_32_mb() {
    let server = Peer::start(|mut stream| {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).unwrap_or(0) == 0 {
                return;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let block: Vec<u8> = (0..251 * 256).map(pattern).collect();
        if head.starts_with("POST") {
            let (mut seen, mut buffer) = (0, vec![0; 64 << 10]);
            let mut right = true;
            while seen < LARGE {
                let count = stream.read(&mut buffer).unwrap_or(0);
                if count == 0 {
                    return;
                }
                right &= buffer[..count].iter().enumerate().all(|(n, b)| *b == pattern(seen + n));
                seen += count;
            }
            stream.write_all(&ok_response(&format!("{seen} {right}"))).unwrap();
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            let mut left = LARGE;
            while left > 0 {
                let part = &block[..left.min(block.len())];
                if stream.write_all(part).is_err() {
                    return;
                }
                left -= part.len();
            }
        }
    });
    let daemon = daemon(&[server.at], "");
    let block: Vec<u8> = (0..251 * 256).map(pattern).collect();
    let mut stream = connect(daemon.at).unwrap();
    let head = format!("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: {LARGE}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut left = LARGE;
    while left > 0 {
        let part = &block[..left.min(block.len())];
        stream.write_all(part).unwrap();
        left -= part.len();
    }
    let got = Message::read(&mut stream).unwrap();
    assert_eq!(String::from_utf8_lossy(&got.body), format!("{LARGE} true"));
    let mut stream = connect(daemon.at).unwrap();
    stream.write_all(&get("/down")).unwrap();
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let (mut seen, mut buffer) = (0, vec![0; 64 << 10]);
    while seen < LARGE {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "ended at {seen}");
        assert!(buffer[..count].iter().enumerate().all(|(n, b)| *b == pattern(seen + n)));
        seen += count;
    }
    let peak = daemon.peak_memory();
    assert!(peak < 32 << 20, "{peak} bytes for two bodies of {LARGE}");
}

#[test]
fn a_server_that_dies_in_mid_stream_can_be_told_from_a_whole_answer() {
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
        let daemon = daemon(&[server.at], "");
        let mut stream = connect(daemon.at).unwrap();
        stream.write_all(&get("/")).unwrap();
        let bytes = read_to_close(&mut stream);
        let text = String::from_utf8_lossy(&bytes);
        assert!(text.starts_with("HTTP/1.1 200 ") && bytes.len() < 400_000, "{framing}");
        assert!(!text.ends_with("0\r\n\r\n"), "{framing}: it looks whole");
    }
}

#[test]
fn a_server_that_dies_in_mid_upload_is_an_answer_at_once_and_no_second_try() {
    let tries = Arc::new(AtomicUsize::new(0));
    let counted = tries.clone();
    let server = Peer::start(move |mut stream| {
        let mut buffer = vec![0; 64 << 10];
        let mut seen = 0;
        while seen < 400_000 {
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => seen += count,
                _ => return,
            }
        }
        counted.fetch_add(1, Ordering::Relaxed);
    });
    let text = |at| {
        file(at, &[server.at], "").replace(
            "[limits]",
            "[classes.default]\ndeadline = \"10m\"\n[limits]\nstream-timeout = \"10m\"",
        )
    };
    let at = free_address();
    let daemon = Daemon::start(PROGRAM, at, &text(at), &[]);
    // Even a safe one: what has gone of its body can't be had again.
    for (number, method) in ["POST", "GET"].into_iter().enumerate() {
        let mut stream = connect(daemon.at).unwrap();
        let head = format!("{method} / HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'x'; 500_000]).unwrap();
        // The deadline is far over the test's patience: only an answer at once passes.
        let got = Message::read(&mut stream).unwrap();
        assert_eq!(got.status(), 502, "{}", got.head);
        assert_eq!(tries.load(Ordering::Relaxed), number + 1);
    }
}

#[test]
fn a_client_that_leaves_in_mid_stream_frees_its_server() {
    let closed = Arc::new(AtomicBool::new(false));
    let told = closed.clone();
    let server = Peer::start(move |mut stream| {
        if Message::read(&mut stream).is_none() {
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n");
        while stream.write_all(&[b'x'; 4096]).is_ok() {}
        told.store(true, Ordering::Relaxed);
    });
    let daemon = daemon(&[server.at], "");
    let mut stream = connect(daemon.at).unwrap();
    stream.write_all(&get("/")).unwrap();
    stream.read_exact(&mut [0; 100_000]).unwrap();
    drop(stream);
    wait_until("the server's connection is closed", || closed.load(Ordering::Relaxed));
    // The same while the client sends: the server sees a body that does not end.
    let (begun, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (count, over) = (begun.clone(), ended.clone());
    let server = Peer::start(move |mut stream| {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(some @ 1..) = stream.read(&mut buffer) {
            count.fetch_add(some, Ordering::Relaxed);
        }
        over.store(true, Ordering::Relaxed);
    });
    daemon.reload(&file(daemon.at, &[server.at], ""));
    let mut stream = connect(daemon.at).unwrap();
    let head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; 300_000]).unwrap();
    wait_until("some has come", || begun.load(Ordering::Relaxed) > 200_000);
    drop(stream);
    wait_until("the upload is cut off", || ended.load(Ordering::Relaxed));
}

#[test]
fn what_can_be_read_in_two_ways_goes_no_further() {
    let server = Server::start(|request, _| Some(ok_response(request.path())));
    let daemon = daemon(&[server.at], "");
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
        let text = all(
            daemon.at,
            &format!("POST /{} HTTP/1.1\r\nHost: h\r\n{head}\r\n\r\n{body}{hidden}", "open"),
        );
        assert!(text.starts_with("HTTP/1.1 400 "), "{what}: {text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{what}: {text}");
    }
    // Behind an open request the same is seen.
    let second = "POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let text = all(daemon.at, &format!("GET /one HTTP/1.1\r\nHost: h\r\n\r\n{second}{hidden}"));
    assert!(text.contains("/one") && text.contains("HTTP/1.1 400 "), "{text}");
    assert!(!text.contains("/hidden"), "{text}");
    for target in ["http://other/x", "http://h:99/x", "/a/../b", "/%2e%2E/b"] {
        let text = all(
            daemon.at,
            &format!("GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
        );
        assert!(text.starts_with("HTTP/1.1 400 "), "{target}: {text}");
    }
    let text = all(daemon.at, "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert!(text.starts_with("HTTP/1.1 400 "), "no host: {text}");
    // What has one meaning passes: an absolute target, pipelined requests in turn.
    let text = all(
        daemon.at,
        "GET http://h/abs?q HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert!(text.contains("/abs?q") && text.ends_with("/2"), "{text}");
    let paths: Vec<String> = server.requests().iter().map(|m| m.path().to_string()).collect();
    assert_eq!(paths, ["/one", "/abs?q", "/2"]);
}

#[test]
fn routes_edit_rewrite_redirect_and_answer() {
    let one = Server::start(|r, _| Some(ok_response(&format!("one {}", r.head))));
    let two = Server::start(|r, _| Some(ok_response(&format!("two {}", r.head))));
    let at = free_address();
    let text = format!(
        "listen = \"{at}\"\n\
         [forwarding]\nvia = \"shelf\"\nforwarded = true\nrequest-id = \"x-request-id\"\n\
         [clusters.one]\nendpoints = \"{}\"\n[clusters.two]\nendpoints = \"{}\"\n\
         [[routes]]\nname = \"api\"\nhosts = [\"api.example\"]\nprefix = \"/v1\"\ncluster = \"one\"\n\
         rewrite-prefix = \"/\"\nrequest-headers.set = {{ x-set = \"1\" }}\n\
         request-headers.remove = [\"x-secret\"]\nresponse-headers.add = {{ x-added = \"2\" }}\n\
         [[routes]]\nname = \"split\"\nprefix = \"/split\"\nclusters = {{ one = 1, two = 1 }}\n\
         sticky = \"cookie:who\"\n\
         [[routes]]\nname = \"old\"\nprefix = \"/old\"\nredirect = {{ status = 308, host = \"new.example\", prefix = \"/new\" }}\n\
         [[routes]]\nname = \"query\"\npath = \"/q\"\nquery = {{ to = \"two\" }}\ncluster = \"two\"\n\
         [[routes]]\nname = \"else\"\nrespond = {{ status = 418, body = \"tea\\n\" }}\n",
        one.at, two.at
    );
    let daemon = Daemon::start(PROGRAM, at, &text, &[]);
    let send = |first: &str, host: &str, more: &str| {
        all(at, &format!("{first} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n{more}\r\n"))
    };
    let text = send("GET /v1/x?y", "API.example:80", "X-Secret: s\r\nVia: 1.0 a\r\n");
    assert!(text.contains("one GET /x?y ") && text.contains("x-set: 1"), "{text}");
    assert!(!text.contains("x-secret") && text.contains("x-added: 2"), "{text}");
    assert!(text.contains("via: 1.0 a") && text.matches("via: 1.1 shelf").count() == 2, "{text}");
    let forwarded = "forwarded: for=127.0.0.1;host=\"API.example:80\";proto=http";
    assert!(text.contains(forwarded) && text.contains("x-request-id: "), "{text}");
    assert!(send("GET /v1/x", "h", "X-Request-Id: mine\r\n").starts_with("HTTP/1.1 418 "));
    let text = send("GET /old/a?b", "h", "");
    assert!(text.starts_with("HTTP/1.1 308 "), "{text}");
    assert!(text.contains("location: http://new.example/new/a?b\r\n"), "{text}");
    assert!(send("GET /q?to=two", "h", "").contains("two GET"));
    assert!(send("GET /q?to=one", "h", "").ends_with("tea\n"));
    let of = |who: usize| send("GET /split", "h", &format!("Cookie: a=b; who={who}\r\n"));
    let went: Vec<bool> = (0..24).map(|who| of(who).contains("two GET")).collect();
    assert!(went.contains(&true) && went.contains(&false), "{went:?}");
    assert!((0..24).all(|who| of(who).contains("two GET") == went[who]), "a key moved");
    drop(daemon);
}

#[test]
fn the_labs_example_serves_its_four_classes() {
    let tries = Arc::new(AtomicUsize::new(0));
    let counted = tries.clone();
    // It fails each first try of a run or a flash, after running it.
    let serve = move |request: &Message, _| {
        let post = request.head.starts_with("POST");
        if post && counted.fetch_add(1, Ordering::Relaxed).is_multiple_of(2) {
            return Some(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_vec());
        }
        Some(ok_response("done"))
    };
    let serve = Arc::new(serve);
    let start = || {
        let serve = serve.clone();
        Server::start(move |request, number| serve(request, number))
    };
    let servers = [start(), start(), start()];
    let (at, admin) = (free_address(), free_address());
    let mut text =
        include_str!("../../../deploy/lab.toml").replace("127.0.0.1:8080", &at.to_string());
    text = text.replace("address = \"127.0.0.1:9901\"", &format!("address = \"{admin}\""));
    for (port, server) in (9001..).zip(&servers) {
        text = text.replace(&format!("127.0.0.1:{port}"), &server.at.to_string());
    }
    let daemon = Daemon::start(PROGRAM, at, &text, &[]);
    let send = |first: &str, more: &str| {
        let text =
            all(at, &format!("{first} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{more}\r\n"));
        text.split(' ').nth(1).unwrap().to_string()
    };
    assert_eq!(send("GET /devices/7", ""), "200");
    assert_eq!(send("GET /runs/3/logs", ""), "200");
    assert_eq!(send("GET /nothing", ""), "404");
    // A keyed run is repeated within its window, by another try.
    assert_eq!(send("POST /runs", "Idempotency-Key: k1\r\n"), "200");
    assert_eq!(tries.load(Ordering::Relaxed), 2);
    // A flash that may have run is not; nor is a run without a key.
    assert_eq!(send("POST /devices/7/flash", "Idempotency-Key: k2\r\n"), "500");
    assert_eq!(tries.load(Ordering::Relaxed), 3);
    assert_eq!(send("POST /runs", ""), "200");
    assert_eq!(send("POST /runs", ""), "500");
    assert_eq!(tries.load(Ordering::Relaxed), 5);
    let metrics = all(admin, "GET /-/metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    for line in [
        "mintshelf_requests_total{route=\"queue\"} 3",
        "mintshelf_requests_total{route=\"flash\"} 1",
        "mintshelf_answers_total{status=\"500\"} 2",
        "mintshelf_endpoints{cluster=\"bench\"} 3",
        "mintshelf_open_requests{cluster=\"bench\"} 0",
        "mintshelf_timers{cluster=\"bench\"} 0",
        "# EOF",
    ] {
        assert!(metrics.contains(line), "{line} in {metrics}");
    }
    let config = all(admin, "GET /-/config HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assert!(config.contains("\"hash\":\"") && config.contains("\"flash\""), "{config}");
    drop(daemon);
}

#[test]
fn a_client_that_ends_its_sending_gets_its_answer() {
    let server = Server::start(|request, _| {
        if request.path() == "/slow" {
            std::thread::sleep(std::time::Duration::from_millis(300));
        }
        Some(ok_response("late"))
    });
    let daemon = daemon(&[server.at], "");
    for path in ["/", "/slow"] {
        let mut stream = connect(daemon.at).unwrap();
        stream.write_all(&get(path)).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let text = String::from_utf8_lossy(&read_to_close(&mut stream)).into_owned();
        assert!(text.starts_with("HTTP/1.1 200 ") && text.ends_with("late"), "{text}");
    }
    // HTTP/1.0, as the simplest of tools write it.
    let mut stream = connect(daemon.at).unwrap();
    stream.write_all(b"GET /slow HTTP/1.0\r\n\r\n").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert!(String::from_utf8_lossy(&read_to_close(&mut stream)).ends_with("late"));
}

#[test]
fn a_client_that_ends_its_sending_counts_as_gone_where_the_file_says_so() {
    let server = Server::start(|request, _| (request.path() == "/").then(|| ok_response("good")));
    let (at, admin) = (free_address(), free_address());
    let text = file(at, &[server.at], "")
        .replace("sockets = 128\n", "sockets = 128\nabort-on-close = true\n")
        .replace("[clusters.c]", &format!("[admin]\naddress = \"{admin}\"\n[clusters.c]"));
    let daemon = Daemon::start(PROGRAM, at, &text, &[]);
    let mut stream = connect(daemon.at).unwrap();
    stream.write_all(&get("/never")).unwrap();
    wait_until("it is sent on", || server.requests().len() == 1);
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    // Its connection is gone long before its time is up; the asking one is left.
    let begun = std::time::Instant::now();
    wait_until("it is given up", || {
        let got = send_request(admin, &get("/-/metrics")).unwrap();
        String::from_utf8_lossy(&got.body).contains("mintshelf_clients 1\n")
    });
    assert!(begun.elapsed() < std::time::Duration::from_secs(14));
    assert_eq!(daemon.send_request(&get("/")).unwrap().status(), 200);
}

#[test]
fn a_line_that_ends_in_a_bare_line_feed_is_refused() {
    let server = Server::start(|_, _| Some(ok_response("good")));
    let daemon = daemon(&[server.at], "");
    for request in [
        "POST / HTTP/1.1\r\nHost: h\r\nX: y\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\n\n",
        "GET / HTTP/1.1\r\nHost: h\r\n\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: 1\n\r\n",
    ] {
        let text = all(daemon.at, request);
        assert!(text.starts_with("HTTP/1.1 400 "), "{request:?}: {text}");
    }
    assert!(server.requests().is_empty(), "none of it goes on");
}
