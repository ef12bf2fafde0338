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

/// A server that breaks off every exchange while it is down, and what reached it.
struct FailingServer {
    peer: Peer,
    down: Arc<AtomicBool>,
    received: Arc<AtomicUsize>,
    /// How often each POST came, by its path.
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

fn file(at: SocketAddr, admin: SocketAddr, site: SocketAddr, more: &str) -> String {
    format!(
        "listen = \"{at}\"\n[admin]\naddress = \"{admin}\"\n\
         [clusters.c]\nendpoints = [\"{site}\"]\n{more}\n[[routes]]\ncluster = \"c\"\n"
    )
}

fn daemon(site: SocketAddr, more: &str) -> (Daemon, SocketAddr) {
    let (at, admin) = (free_address(), free_address());
    (Daemon::start(PROGRAM, at, &file(at, admin, site, more), &[]), admin)
}

fn phase(admin: SocketAddr) -> String {
    let got = send_request(admin, &get("/-/metrics")).unwrap();
    let text = String::from_utf8_lossy(&got.body).into_owned();
    let line =
        text.lines().find(|line| line.starts_with("mintshelf_recovery_phase{cluster=\"c\"}"));
    line.unwrap().rsplit(' ').next().unwrap().to_string()
}

fn is_paced(got: &Message) -> bool {
    let paced = String::from_utf8_lossy(&got.body).contains("\"code\":\"outage\"");
    if paced {
        assert_eq!(got.status(), 503, "{}", got.head);
        let retry_after: u64 = got.header("retry-after").unwrap().parse().unwrap();
        assert!((1..=10).contains(&retry_after), "{}", got.head);
    }
    paced
}

#[test]
fn a_recovering_cluster_gets_its_traffic_by_the_ramp() {
    let site = FailingServer::start();
    let (daemon, admin) = daemon(site.peer.at, "");
    for n in 0..300 {
        assert_eq!(daemon.send_request(&get(&format!("/{n}"))).unwrap().status(), 200);
    }
    assert_eq!(phase(admin), "0");
    site.down.store(true, Ordering::SeqCst);
    let mut posts = 0;
    // A mix of what may be repeated and what may not.
    let mut one = || {
        posts += 1;
        let post = format!("POST /p{posts} HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
        let request = if posts % 3 == 0 { post.into_bytes() } else { get("/g") };
        daemon.send_request(&request).unwrap()
    };
    wait_until("the outage is noticed", || is_paced(&one()));
    assert_eq!(phase(admin), "1");
    // While it is out nearly nothing is sent on, and all are answered at once.
    let before = site.received.load(Ordering::SeqCst);
    let paced = (0..300).filter(|_| is_paced(&one())).count();
    let sent = site.received.load(Ordering::SeqCst) - before;
    assert!(paced > 150 && sent < 150, "{paced} of 300 were held back, {sent} sent on");
    site.down.store(false, Ordering::SeqCst);
    let mut statuses = HashSet::new();
    wait_until("traffic is as usual again", || {
        statuses.extend((0..20).map(|_| one().status()));
        phase(admin) == "0"
    });
    assert!(statuses.contains(&200) && statuses.contains(&503), "{statuses:?}");
    for n in 0..300 {
        assert_eq!(daemon.send_request(&get(&format!("/{n}"))).unwrap().status(), 200);
    }
    let posts = site.posts.lock().unwrap();
    assert!(posts.len() > 20 && posts.values().all(|times| *times == 1), "{posts:?}");
}

#[test]
fn without_a_recovery_ramp_nothing_is_paced() {
    let site = FailingServer::start();
    let (daemon, admin) = daemon(site.peer.at, "return-ramp = \"0s\"");
    site.down.store(true, Ordering::SeqCst);
    for _ in 0..200 {
        let got = daemon.send_request(&get("/")).unwrap();
        assert!(got.status() >= 500 && !is_paced(&got), "{}", got.head);
    }
    assert_eq!(phase(admin), "0");
    // A file that changes nothing but the ramp is in force as well.
    daemon.reload(&file(daemon.at, admin, site.peer.at, "return-ramp = \"1s\""));
    wait_until("the outage is noticed", || is_paced(&daemon.send_request(&get("/")).unwrap()));
    assert_eq!(phase(admin), "1");
    daemon.reload(&file(daemon.at, admin, site.peer.at, "return-ramp = \"0s\""));
    assert_eq!(phase(admin), "0");
    site.down.store(false, Ordering::SeqCst);
    wait_until("it is served", || daemon.send_request(&get("/")).unwrap().status() == 200);
}

#[test]
fn clients_rejected_together_get_different_retry_after() {
    // Nobody listens there.
    let (daemon, admin) = daemon(free_address(), "max-retry-after = \"60s\"");
    let mut retry_after = HashSet::new();
    for n in 0..60 {
        let got = daemon.send_request(&get("/")).unwrap();
        assert_eq!(got.status(), 503, "{n}: {}", got.head);
        let seconds: u64 = got.header("retry-after").unwrap().parse().unwrap();
        assert!((1..=60).contains(&seconds), "{}", got.head);
        retry_after.insert(seconds);
    }
    assert!(retry_after.len() > 10, "{retry_after:?}");
    let got = send_request(admin, &get("/-/metrics")).unwrap();
    let text = String::from_utf8_lossy(&got.body).into_owned();
    assert!(!text.contains("mintshelf_expected_back{cluster=\"c\"} 0"), "{text}");
}
