//! The retry budget, and the share of hedges.

use crate::fixture::daemon;
use mintshelf_test_support::{get, metric, ok_response, wait_until, Server};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[test]
fn the_retry_budget_bounds_what_failing_servers_get_and_refills() {
    let down = Arc::new(AtomicBool::new(true));
    let servers: Vec<_> = (0..3)
        .map(|_| {
            let down = down.clone();
            Server::start(move |_, _| {
                let bad = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".to_vec();
                Some(if down.load(Ordering::SeqCst) { bad } else { ok_response("good") })
            })
        })
        .collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let budget =
        "retry-budget = { ratio = 0.1, burst = 20 }\nmax-attempts = 6\nreturn-ramp = \"0s\"";
    let (daemon, _) = daemon(&addresses, "aim = \"5s\"\ndeadline = \"20s\"", budget);
    let attempts = || servers.iter().map(|server| server.requests().len()).sum::<usize>();
    for _ in 0..1_000 {
        let response = daemon.send_request(&get("/")).unwrap();
        assert!(response.status() == 500 || response.status() == 503, "{}", response.head);
    }
    let count = attempts();
    assert!(count <= 1_000 + 100 + 20, "{count} attempts of 1000 requests");
    assert!(count > 1_000, "some are retried: {count}");
    // Once the servers have recovered, requests refill the budget.
    down.store(false, Ordering::SeqCst);
    wait_until("service returns", || daemon.send_request(&get("/")).unwrap().status() == 200);
    for _ in 0..300 {
        assert_eq!(daemon.send_request(&get("/")).unwrap().status(), 200);
    }
    down.store(true, Ordering::SeqCst);
    let before = attempts();
    for _ in 0..3 {
        daemon.send_request(&get("/")).unwrap();
    }
    assert!(attempts() - before > 3, "the budget was refilled");
}

#[test]
fn hedges_overtake_a_slow_endpoint_and_keep_within_their_share() {
    const REQUESTS: usize = 600;
    let slow = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let servers: Vec<_> = (0..4)
        .map(|n| {
            let (slow, count) = (slow.clone(), count.clone());
            Server::start(move |_, _| {
                count.fetch_add(1, Ordering::SeqCst);
                // One response in ten is slow, at any server but the first.
                if n > 0 && slow.load(Ordering::SeqCst) && count.load(Ordering::SeqCst) % 10 == 0 {
                    thread::sleep(Duration::from_millis(400));
                }
                Some(ok_response("good"))
            })
        })
        .collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let class = "aim = \"2s\"\ndeadline = \"20s\"\nper-try-timeout = \"none\"\n\
                 hedge = { after = \"60ms\", share = 0.05 }";
    let (daemon, admin) = daemon(&addresses, class, "second-copies = true");
    slow.store(true, Ordering::SeqCst);
    for _ in 0..REQUESTS {
        assert_eq!(daemon.send_request(&get("/")).unwrap().status(), 200);
    }
    let hedges = metric(admin, "mintshelf_second_copies_total");
    assert!(hedges >= 5.0, "{hedges}");
    let bound = REQUESTS as f64 * 0.05 + 5.0;
    assert!(hedges <= bound, "{hedges}");
    // Every attempt that servers received is a first one or a hedge.
    wait_until("all attempts have arrived", || {
        count.load(Ordering::SeqCst) <= REQUESTS + hedges as usize
    });
    assert_eq!(metric(admin, "mintshelf_open_requests"), 0.0);
}
