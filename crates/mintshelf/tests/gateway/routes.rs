//! Routes: edits, rewrites, redirects, splits, and the example file.

use crate::fixture::{send_and_read_to_close, PROGRAM};
use mintshelf_test_support::{free_address, ok_response, Daemon, Server};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[test]
fn routes_edit_rewrite_redirect_and_respond() {
    let one = Server::start(|request, _| Some(ok_response(&format!("one {}", request.head))));
    let two = Server::start(|request, _| Some(ok_response(&format!("two {}", request.head))));
    let address = free_address();
    let text = format!(
        "listen = \"{address}\"\n\
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
        one.address, two.address
    );
    let daemon = Daemon::start(PROGRAM, address, &text, &[]);
    let send = |first: &str, host: &str, more: &str| {
        send_and_read_to_close(
            address,
            &format!("{first} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n{more}\r\n"),
        )
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
    let send_as = |who: usize| send("GET /split", "h", &format!("Cookie: a=b; who={who}\r\n"));
    let is_second: Vec<bool> = (0..24).map(|who| send_as(who).contains("two GET")).collect();
    assert!(is_second.contains(&true) && is_second.contains(&false), "{is_second:?}");
    assert!(
        (0..24).all(|who| send_as(who).contains("two GET") == is_second[who]),
        "a sticky key changed its cluster"
    );
    drop(daemon);
}

/// A server that fails every second POST, after running it; `attempts` counts those of all servers.
fn server_that_fails_first_posts(attempts: &Arc<AtomicUsize>) -> Server {
    let attempts = attempts.clone();
    Server::start(move |request, _| {
        let is_post = request.head.starts_with("POST");
        if is_post && attempts.fetch_add(1, Ordering::Relaxed).is_multiple_of(2) {
            return Some(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_vec());
        }
        Some(ok_response("done"))
    })
}

#[test]
fn the_example_file_serves_its_four_classes() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let servers = [(); 3].map(|()| server_that_fails_first_posts(&attempts));
    let (address, admin) = (free_address(), free_address());
    let mut text =
        include_str!("../../../../deploy/lab.toml").replace("127.0.0.1:8080", &address.to_string());
    text = text.replace("address = \"127.0.0.1:9901\"", &format!("address = \"{admin}\""));
    for (port, server) in (9001..).zip(&servers) {
        text = text.replace(&format!("127.0.0.1:{port}"), &server.address.to_string());
    }
    let daemon = Daemon::start(PROGRAM, address, &text, &[]);
    let send = |first: &str, more: &str| {
        let text = send_and_read_to_close(
            address,
            &format!("{first} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{more}\r\n"),
        );
        text.split(' ').nth(1).unwrap().to_string()
    };
    assert_eq!(send("GET /devices/7", ""), "200");
    assert_eq!(send("GET /runs/3/logs", ""), "200");
    assert_eq!(send("GET /nothing", ""), "404");
    // An idempotent run is retried within its window.
    assert_eq!(send("POST /runs", "Idempotency-Key: k1\r\n"), "200");
    assert_eq!(attempts.load(Ordering::Relaxed), 2);
    // A flash that may have run is not retried; nor is a run without a key.
    assert_eq!(send("POST /devices/7/flash", "Idempotency-Key: k2\r\n"), "500");
    assert_eq!(attempts.load(Ordering::Relaxed), 3);
    assert_eq!(send("POST /runs", ""), "200");
    assert_eq!(send("POST /runs", ""), "500");
    assert_eq!(attempts.load(Ordering::Relaxed), 5);
    let metrics = send_and_read_to_close(
        admin,
        "GET /-/metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
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
    let config = send_and_read_to_close(
        admin,
        "GET /-/config HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    assert!(config.contains("\"hash\":\"") && config.contains("\"flash\""), "{config}");
    drop(daemon);
}
