//! A cluster with an outage and its recovery: what is forwarded, and what clients are answered.

use mintshelf_test_support::{
    free_address, get, ok_response, send_request, wait_until, Daemon, Message, Peer,
};
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A server that closes every connection without a response while it is down.
struct FailingServer {
    peer: Peer,
    down: Arc<AtomicBool>,
    received: Arc<AtomicUsize>,
    /// How often each POST arrived, by its path.
    posts: Arc<Mutex<HashMap<String, usize>>>,
}

impl FailingServer {
    fn start() -> Self {
        let (down, received) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let posts: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
        let (is_down, count, recorded) = (down.clone(), received.clone(), posts.clone());
        let peer = Peer::start(move |mut stream| {
            while let Some(request) = Message::read(&mut stream) {
                count.fetch_add(1, Ordering::SeqCst);
                if request.head.starts_with("POST") {
                    *recorded.lock().unwrap().entry(request.path().to_string()).or_default() += 1;
                }
                if is_down.load(Ordering::SeqCst) || stream.write_all(&ok_response("good")).is_err()
                {
                    return;
                }
            }
        });
        FailingServer { peer, down, received, posts }
    }
}

fn file(address: SocketAddr, admin: SocketAddr, server: SocketAddr, more: &str) -> String {
    format!(
        "listen = \"{address}\"\n[admin]\naddress = \"{admin}\"\n\
         [clusters.c]\nendpoints = [\"{server}\"]\n{more}\n[[routes]]\ncluster = \"c\"\n"
    )
}

fn daemon(server: SocketAddr, more: &str) -> (Daemon, SocketAddr) {
    let (address, admin) = (free_address(), free_address());
    (Daemon::start(PROGRAM, address, &file(address, admin, server, more), &[]), admin)
}

fn phase(admin: SocketAddr) -> String {
    let response = send_request(admin, &get("/-/metrics")).unwrap();
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line =
        text.lines().find(|line| line.starts_with("mintshelf_recovery_phase{cluster=\"c\"}"));
    line.unwrap().rsplit(' ').next().unwrap().to_string()
}

fn is_paced(response: &Message) -> bool {
    let paced = String::from_utf8_lossy(&response.body).contains("\"code\":\"outage\"");
    if paced {
        assert_eq!(response.status(), 503, "{}", response.head);
        let retry_after: u64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!((1..=10).contains(&retry_after), "{}", response.head);
    }
    paced
}

#[test]
fn a_recovering_cluster_gets_its_traffic_by_the_ramp() {
    let server = FailingServer::start();
    let (daemon, admin) = daemon(server.peer.address, "");
    for number in 0..300 {
        assert_eq!(daemon.send_request(&get(&format!("/{number}"))).unwrap().status(), 200);
    }
    assert_eq!(phase(admin), "0");
    server.down.store(true, Ordering::SeqCst);
    let mut posts = 0;
    // A mix of requests that may be retried and requests that may not.
    let mut send_one = || {
        posts += 1;
        let post = format!("POST /p{posts} HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
        let request = if posts % 3 == 0 { post.into_bytes() } else { get("/g") };
        daemon.send_request(&request).unwrap()
    };
    wait_until("the outage is noticed", || is_paced(&send_one()));
    assert_eq!(phase(admin), "1");
    // During the outage nearly nothing is forwarded, and all are answered at once.
    let before = server.received.load(Ordering::SeqCst);
    let paced = (0..300).filter(|_| is_paced(&send_one())).count();
    let sent = server.received.load(Ordering::SeqCst) - before;
    assert!(paced > 150 && sent < 150, "{paced} of 300 were rejected, {sent} forwarded");
    server.down.store(false, Ordering::SeqCst);
    let mut statuses = HashSet::new();
    wait_until("the cluster has recovered", || {
        statuses.extend((0..20).map(|_| send_one().status()));
        phase(admin) == "0"
    });
    assert!(statuses.contains(&200) && statuses.contains(&503), "{statuses:?}");
    for number in 0..300 {
        assert_eq!(daemon.send_request(&get(&format!("/{number}"))).unwrap().status(), 200);
    }
    let posts = server.posts.lock().unwrap();
    assert!(posts.len() > 20 && posts.values().all(|times| *times == 1), "{posts:?}");
}

#[test]
fn without_a_recovery_ramp_nothing_is_paced() {
    let server = FailingServer::start();
    let (daemon, admin) = daemon(server.peer.address, "return-ramp = \"0s\"");
    server.down.store(true, Ordering::SeqCst);
    for _ in 0..200 {
        let response = daemon.send_request(&get("/")).unwrap();
        assert!(response.status() >= 500 && !is_paced(&response), "{}", response.head);
    }
    assert_eq!(phase(admin), "0");
    // A file that changes nothing but the ramp is applied as well.
    daemon.reload(&file(daemon.address, admin, server.peer.address, "return-ramp = \"1s\""));
    wait_until("the outage is noticed", || is_paced(&daemon.send_request(&get("/")).unwrap()));
    assert_eq!(phase(admin), "1");
    daemon.reload(&file(daemon.address, admin, server.peer.address, "return-ramp = \"0s\""));
    assert_eq!(phase(admin), "0");
    server.down.store(false, Ordering::SeqCst);
    wait_until("it is served", || daemon.send_request(&get("/")).unwrap().status() == 200);
}

#[test]
fn clients_rejected_together_get_different_retry_after() {
    // Nothing listens there.
    let (daemon, admin) = daemon(free_address(), "max-retry-after = \"60s\"");
    let mut retry_after = HashSet::new();
    for number in 0..60 {
        let response = daemon.send_request(&get("/")).unwrap();
        assert_eq!(response.status(), 503, "{number}: {}", response.head);
        let seconds: u64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!((1..=60).contains(&seconds), "{}", response.head);
        retry_after.insert(seconds);
    }
    assert!(retry_after.len() > 10, "{retry_after:?}");
    let response = send_request(admin, &get("/-/metrics")).unwrap();
    let text = String::from_utf8_lossy(&response.body).into_owned();
    assert!(!text.contains("mintshelf_expected_back{cluster=\"c\"} 0"), "{text}");
}
