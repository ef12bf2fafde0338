//! Limits of tenants, routes, clusters and endpoints.

use mintshelf_test_support::{
    connect, free_address, get, metric, ok_response, reset_connection, send_request, wait_until,
    Daemon, Latch, Message, Server, CONFIGURATION_REJECTED,
};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A server that responds only while the latch is open.
fn server(latch: &Latch) -> Server {
    let latch = latch.clone();
    Server::start(move |_, _| {
        latch.wait();
        Some(ok_response("good"))
    })
}

fn file(
    address: SocketAddr,
    admin: SocketAddr,
    servers: &[SocketAddr],
    more: &str,
    cluster: &str,
) -> String {
    let servers: Vec<String> = servers.iter().map(|address| format!("\"{address}\"")).collect();
    format!(
        "listen = \"{address}\"\n{more}\n[admin]\naddress = \"{admin}\"\n\
         [classes.cheap]\nworth = 1\n[classes.dear]\nworth = 5\n\
         [clusters.c]\nendpoints = [{}]\n{cluster}\n\
         [[routes]]\nname = \"dear\"\nprefix = \"/dear\"\nclass = \"dear\"\ncluster = \"c\"\n\
         [[routes]]\nname = \"cheap\"\nclass = \"cheap\"\ncluster = \"c\"\n",
        servers.join(", ")
    )
}

fn daemon(servers: &[SocketAddr], more: &str, cluster: &str) -> (Daemon, SocketAddr) {
    let (address, admin) = (free_address(), free_address());
    (Daemon::start(PROGRAM, address, &file(address, admin, servers, more, cluster), &[]), admin)
}

fn problem_code(response: &Message) -> String {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let problem_code = text.split("\"code\":\"").nth(1).and_then(|rest| rest.split('"').next());
    problem_code.unwrap_or("").to_string()
}

fn request_of(tenant: &str, path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\nX-Member: {tenant}\r\n\r\n").into_bytes()
}

const TENANTS: &str = "tenant-header = \"x-member\"\nrepeat-header = \"x-retry\"\n\
    [limits]\nsockets = 256\n\
    [tenants.a]\nheader-values = [\"a\"]\nrate = \"1/m\"\nburst = 20\n\
    [tenants.b]\nheader-values = [\"b\"]\n[tenants.n]\nnetworks = [\"192.0.2.0/24\"]";

#[test]
fn a_tenant_over_its_rate_is_rejected_and_the_others_are_served() {
    let server = server(&Latch::default());
    let (daemon, admin) = daemon(&[server.address], TENANTS, "");
    let of_limited_tenant: Vec<Message> =
        (0..200).map(|_| daemon.send_request(&request_of("a", "/")).unwrap()).collect();
    let of_other_tenant: Vec<Message> =
        (0..200).map(|_| daemon.send_request(&request_of("b", "/")).unwrap()).collect();
    assert!(of_other_tenant.iter().all(|response| response.status() == 200));
    let rejected: Vec<_> =
        of_limited_tenant.iter().filter(|response| response.status() == 429).collect();
    let served = of_limited_tenant.iter().filter(|response| response.status() == 200).count();
    // Its burst, and one more for every minute that this takes.
    assert!((20..25).contains(&served) && served + rejected.len() == 200, "{served}");
    for response in rejected {
        assert_eq!(problem_code(response), "tenant-rate");
        let retry_after: u64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!((1..=60).contains(&retry_after), "{}", response.head);
    }
    assert_eq!(server.requests().len(), 200 + served, "what is rejected is not forwarded");
    assert_eq!(metric(admin, "mintshelf_tenant_requests"), 0.0);
}

#[test]
fn a_header_does_not_move_a_client_out_of_its_network() {
    let server = server(&Latch::default());
    let more = TENANTS.replace("192.0.2.0/24", "127.0.0.0/8") + "\nrate = \"1/m\"\nburst = 5";
    let (daemon, _) = daemon(&[server.address], &more, "");
    let statuses: Vec<u16> = (0..20)
        .map(|n| daemon.send_request(&request_of(["b", "c"][n % 2], "/")).unwrap().status())
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!((5..8).contains(&served), "{statuses:?}");
}

#[test]
fn slow_uploads_of_one_tenant_leave_the_others_their_capacity() {
    let server = server(&Latch::default());
    let (daemon, admin) = daemon(&[server.address], TENANTS, "");
    let mut uploads = Vec::new();
    let mut rejected = 0;
    for _ in 0..60 {
        let mut stream = connect(daemon.address).unwrap();
        let head = "POST /up HTTP/1.1\r\nHost: h\r\nX-Member: b\r\nContent-Length: 60000\r\n\r\nxx";
        stream.write_all(head.as_bytes()).unwrap();
        uploads.push(stream);
        // One after the other, so that the last ones are surely over the limit.
        wait_until("it is counted or rejected", || {
            metric(admin, "mintshelf_tenant_requests{tenant=\"b\"}")
                + metric(admin, "mintshelf_refusals_total")
                >= uploads.len() as f64
        });
    }
    rejected += metric(admin, "mintshelf_refusals_total") as usize;
    let in_flight = metric(admin, "mintshelf_tenant_requests{tenant=\"b\"}") as usize;
    assert!(
        rejected >= 20 && in_flight >= 10 && in_flight + rejected == 60,
        "{in_flight} {rejected}"
    );
    let response = Message::read(uploads.last_mut().unwrap()).unwrap();
    assert_eq!(response.status(), 429, "{}", response.head);
    assert!(response.header("retry-after").is_some());
    for _ in 0..50 {
        let post = "POST /up HTTP/1.1\r\nHost: h\r\nX-Member: c\r\nContent-Length: 2\r\n\r\nxx";
        assert_eq!(daemon.send_request(post.as_bytes()).unwrap().status(), 200);
    }
    drop(uploads);
    wait_until("all permits are released", || metric(admin, "mintshelf_tenant_requests") == 0.0);
    assert_eq!(daemon.send_request(&request_of("b", "/")).unwrap().status(), 200);
}

#[test]
fn a_full_queue_rejects_the_lowest_priority_at_once_and_serves_the_others() {
    let latch = Latch::default();
    let server = server(&latch);
    let (daemon, admin) = daemon(&[server.address], "", "concurrency = 2\nqueue = 2");
    let address = daemon.address;
    let send =
        |path: &'static str| thread::spawn(move || send_request(address, &get(path)).unwrap());
    let wait_for_levels = |admitted: f64, waiting: f64| {
        wait_until("the queue has these levels", || {
            metric(admin, "mintshelf_gate_requests") == admitted
                && metric(admin, "mintshelf_gate_waiting") == waiting
        });
    };
    latch.close();
    let admitted = [send("/1"), send("/2")];
    wait_for_levels(2.0, 0.0);
    let low_priority = [send("/3"), send("/4")];
    wait_for_levels(2.0, 2.0);
    // Those in the queue came first, and have a lower priority.
    let high_priority = [send("/dear/1"), send("/dear/2")];
    for response in low_priority.map(|one| one.join().unwrap()) {
        assert_eq!((response.status(), problem_code(&response).as_str()), (503, "queue-full"));
        assert!(response.header("retry-after").is_some());
    }
    // Another one of low priority is the lowest itself.
    assert_eq!(problem_code(&send_request(address, &get("/5")).unwrap()), "queue-full");
    // A client that disconnects in the queue leaves no trace.
    let mut disconnected = connect(address).unwrap();
    disconnected.write_all(&get("/dear/3")).unwrap();
    drop(disconnected);
    wait_for_levels(2.0, 2.0);
    latch.open();
    for response in admitted.into_iter().chain(high_priority).map(|one| one.join().unwrap()) {
        assert_eq!(response.status(), 200);
    }
    wait_for_levels(0.0, 0.0);
    assert_eq!(send_request(address, &get("/6")).unwrap().status(), 200);
}

#[test]
fn a_client_that_disconnects_in_the_queue_frees_its_place() {
    let latch = Latch::default();
    let server = server(&latch);
    let (daemon, admin) = daemon(&[server.address], "", "concurrency = 1\nqueue = 1");
    latch.close();
    let address = daemon.address;
    let first = thread::spawn(move || send_request(address, &get("/1")).unwrap());
    wait_until("one is admitted", || metric(admin, "mintshelf_gate_requests") == 1.0);
    let mut disconnected = connect(address).unwrap();
    disconnected.write_all(&get("/2")).unwrap();
    wait_until("one waits", || metric(admin, "mintshelf_gate_waiting") == 1.0);
    // A reset, as of a client that has crashed.
    reset_connection(disconnected);
    wait_until("none waits", || metric(admin, "mintshelf_gate_waiting") == 0.0);
    latch.open();
    assert_eq!(first.join().unwrap().status(), 200);
    assert_eq!(server.requests().len(), 1, "the other was never forwarded");
}

#[test]
fn limits_that_change_under_load_lose_no_request_and_count_each_once() {
    let server = server(&Latch::default());
    let (daemon, admin) = daemon(&[server.address], TENANTS, "concurrency = 4\nqueue = 1000");
    let (rejected, completed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let address = daemon.address;
    let clients: Vec<_> = (0..16)
        .map(|n| {
            let (rejected, completed) = (rejected.clone(), completed.clone());
            thread::spawn(move || {
                let mut statuses = Vec::new();
                let mut stream = connect(address).unwrap();
                while !rejected.load(Ordering::SeqCst) {
                    stream.write_all(&request_of(["b", "c"][n % 2], "/")).unwrap();
                    statuses.push(Message::read(&mut stream).expect("a response").status());
                    completed.fetch_add(1, Ordering::SeqCst);
                }
                statuses
            })
        })
        .collect();
    for n in 0..20 {
        let before = completed.load(Ordering::SeqCst);
        wait_until("some are served", || completed.load(Ordering::SeqCst) >= before + 50);
        let cluster = ["concurrency = 2\nqueue = 1000", "", "concurrency = 9\nqueue = 1000"][n % 3];
        let tenants = [TENANTS, "[limits]\nsockets = 256"][n % 2];
        daemon.reload(&file(address, admin, &[server.address], tenants, cluster));
        assert!(metric(admin, "mintshelf_gate_requests") <= 16.0);
    }
    daemon.reload(&file(
        address,
        admin,
        &[server.address],
        TENANTS,
        "concurrency = 4\nqueue = 1000",
    ));
    rejected.store(true, Ordering::SeqCst);
    let statuses: Vec<u16> =
        clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(server.requests().len(), statuses.len(), "each was forwarded once");
    for name in ["mintshelf_gate_requests", "mintshelf_gate_waiting", "mintshelf_tenant_requests"] {
        wait_until("nothing is left", || metric(admin, name) == 0.0);
    }
}

#[test]
fn an_endpoint_gets_no_more_connections_than_its_limit() {
    let latch = Latch::default();
    let servers = [server(&latch), server(&latch)];
    let addresses = servers.each_ref().map(|server| server.address);
    let (daemon, _) = daemon(&addresses, "", "endpoint-connections = 3");
    latch.close();
    let address = daemon.address;
    let clients: Vec<_> =
        (0..20).map(|_| thread::spawn(move || send_request(address, &get("/")).unwrap())).collect();
    wait_until("all connections are in use", || {
        servers.iter().all(|server| server.requests().len() == 3)
    });
    // The rest is rejected meanwhile.
    wait_until("the rest is rejected", || {
        clients.iter().filter(|client| client.is_finished()).count() == 14
    });
    latch.open();
    let statuses: Vec<u16> =
        clients.into_iter().map(|client| client.join().unwrap().status()).collect();
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 6, "{statuses:?}");
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    assert!(servers.iter().all(|server| server.connection_count() == 3));
}

#[test]
fn the_log_has_fields_and_a_bounded_rate() {
    let server = server(&Latch::default());
    let (address, admin) = (free_address(), free_address());
    let text = file(address, admin, &[server.address], TENANTS, "");
    let daemon = Daemon::start(PROGRAM, address, &text, &["--log-format", "json"]);
    for _ in 0..300 {
        daemon.send_request(&request_of("a", "/")).unwrap();
    }
    daemon.reload(&text.replace("worth = 5", "worth = -5"));
    let log = daemon.log_output();
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}")))
        .collect();
    let fields = |what: &str| -> Vec<&serde_json::Value> {
        let fields = lines.iter().map(|line| &line["fields"]);
        fields.filter(|fields| fields["message"].as_str().unwrap_or("").contains(what)).collect()
    };
    let limits = fields("request rejected by limit");
    assert!(
        limits.iter().all(|fields| fields["tenant"] == "a" && fields["limit"] == "tenant-rate"),
        "{limits:?}"
    );
    // Ten at once and ten for each second that the requests took.
    assert!((10..200).contains(&limits.len()), "{}", limits.len());
    let rejected = fields(CONFIGURATION_REJECTED);
    assert!(rejected[0]["file"].is_string() && rejected[0]["errors"] == 1, "{rejected:?}");
    assert!(!fields("-5 is not between").is_empty());
}
