//! Drains that cross an older list, a connection attempt, other requests or a move of discovery.

use crate::fixture::{ids, slow_connect_config, while_stopped, LateServer, PROGRAM};
use crate::scripted_discovery::{slow_poll_config, ResponseKind, ScriptedDiscovery};
use mintshelf_test_support::{
    config, connect, ok_response, request, wait_until, Discovery, Message, Server, Sidecar,
    TEST_TIMEOUT,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// What was sent after a drain had been notified.
struct RequestsAfterDrain {
    /// Whether the drained server got any of them.
    is_drain_undone: bool,
    /// How many there were.
    count: usize,
}

/// Sends requests while discovery, which has listed a server as draining in revision 5, responds
/// with `older` lists, and then with `last`.
fn send_after_drain(older: &[ResponseKind], last: ResponseKind) -> RequestsAfterDrain {
    let drained = Server::start(|_, _| Some(ok_response("a")));
    let other = Server::start(|_, _| Some(ok_response("b")));
    let entries = [drained.entry("a"), other.entry("b")];
    let listed = entries.clone();
    let script = [&[ResponseKind::List(5)][..], older, &[last]].concat();
    let discovery = ScriptedDiscovery::start(&script, move |rev| {
        let mut entries = listed.clone();
        if rev >= 5 {
            entries[0]["state"] = json!("DRAINING");
        }
        entries.to_vec()
    });
    let mut config = slow_poll_config(discovery.peer.address, entries.to_vec());
    config["known"]["rev"] = json!(4);
    let sidecar = Sidecar::start(PROGRAM, config);
    wait_until("the drain is notified", || discovery.calls().len() >= 2);
    thread::sleep(Duration::from_millis(300));
    let before = drained.requests().len();
    let mut number = 0;
    let mut send_one = || {
        number += 1;
        let response = sidecar.send_request(&request("safe", &number.to_string())).unwrap();
        assert_eq!(response.status(), 200);
    };
    // While the script goes on, and for a while after it.
    let end = Instant::now() + TEST_TIMEOUT;
    while !discovery.is_at_last_response() && Instant::now() < end {
        send_one();
    }
    let calls = discovery.calls().len();
    wait_until("polling goes on", || {
        send_one();
        discovery.calls().len() > calls + 1
    });
    RequestsAfterDrain { is_drain_undone: drained.requests().len() > before, count: number }
}

#[test]
fn an_older_list_does_not_undo_a_drain() {
    let older = [ResponseKind::List(4), ResponseKind::List(4), ResponseKind::List(4)];
    let sent = send_after_drain(&older, ResponseKind::List(5));
    assert!(!sent.is_drain_undone, "a drained server was sent some of {} requests", sent.count);
}

#[test]
fn a_discovery_service_that_reset_its_revisions_is_accepted() {
    // Its revisions stay low: its list is the current one.
    let sent = send_after_drain(&[ResponseKind::List(1); 6], ResponseKind::List(1));
    assert!(sent.is_drain_undone, "a service that reset its revisions was never accepted");
}

/// An attempt whose connection was established late was sent to a server that had been drained
/// meanwhile.
#[test]
fn a_connection_established_after_its_server_drains_carries_no_request() {
    for state in ["DRAINING", "DELETED"] {
        let late = LateServer::start();
        let healthy = Server::start(|_, _| Some(ok_response("served")));
        let discovery = Discovery::start(1, vec![late.entry("a")]);
        let sidecar =
            Sidecar::start(PROGRAM, slow_connect_config(discovery.address, vec![late.entry("a")]));
        discovery.wait_for_first_call();
        let mut client = connect(sidecar.address).unwrap();
        client.write_all(&request("unsafe", "u")).unwrap();
        // Its connection is being established; the list is read before it is.
        thread::sleep(Duration::from_millis(200));
        let mut out_of_service = late.entry("a");
        out_of_service["state"] = json!(state);
        let calls = discovery.call_count();
        discovery.change(vec![out_of_service, healthy.entry("b")]);
        wait_until("the change is read", || discovery.call_count() > calls);
        let received = late.accept_requests(|_| ok_response("served"));
        let response = Message::read(&mut client).unwrap();
        thread::sleep(Duration::from_millis(1_500));
        assert_eq!(received.ids(), Vec::<String>::new(), "{state}: sent to it; {}", response.head);
        assert_eq!(response.status(), 200, "{state}: {}", response.head);
        assert_eq!(ids(&healthy), ["u"], "{state}");
    }
}

/// Two servers that discovery lists, one of which will drain.
struct DrainFixture {
    drained: Server,
    healthy: Server,
    discovery: Discovery,
}

impl DrainFixture {
    fn start() -> Self {
        let drained = Server::start(|_, _| Some(ok_response("served")));
        let healthy = Server::start(|_, _| Some(ok_response("served")));
        let discovery = Discovery::start(1, vec![drained.entry("a"), healthy.entry("b")]);
        DrainFixture { drained, healthy, discovery }
    }

    fn entries(&self) -> Vec<Value> {
        vec![self.drained.entry("a"), self.healthy.entry("b")]
    }

    /// Drains the one server, and waits until the change is written to the watch.
    fn drain(&self) {
        let calls = self.discovery.call_count();
        let mut draining = self.drained.entry("a");
        draining["state"] = json!("DRAINING");
        self.discovery.change(vec![draining]);
        wait_until("the change is written", || self.discovery.call_count() > calls);
    }
}

/// Requests that had arrived before a drain was read were sent to the drained server first.
#[test]
fn a_drain_is_applied_before_requests_that_arrive_with_it() {
    const CLIENTS: usize = 60;
    let fixture = DrainFixture::start();
    let mut config = config(fixture.discovery.address, fixture.entries());
    config["limits"]["sockets"] = json!(512);
    let sidecar = Sidecar::start(PROGRAM, config);
    fixture.discovery.wait_for_first_call();
    let mut clients: Vec<TcpStream> =
        (0..CLIENTS).map(|_| connect(sidecar.address).unwrap()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write_all(&request("safe", &format!("before{number}"))).unwrap();
        assert_eq!(Message::read(client).unwrap().status(), 200);
    }
    assert!(ids(&fixture.drained).len() > CLIENTS / 5, "both servers take requests");
    while_stopped(&sidecar, || {
        for (number, client) in clients.iter_mut().enumerate() {
            client.write_all(&request("safe", &format!("beside{number}"))).unwrap();
        }
        fixture.drain();
        thread::sleep(Duration::from_millis(50));
    });
    for client in &mut clients {
        assert_eq!(Message::read(client).unwrap().status(), 200);
    }
    let beside = ids(&fixture.drained).iter().filter(|id| id.starts_with("beside")).count();
    assert_eq!(beside, 0, "requests sent to a drained server");
}

/// A drain that was written to the watch at the old address just before the new one was applied
/// was dropped with the watch, and received only once the new discovery service responded.
#[test]
fn a_drain_written_while_discovery_moves_is_applied() {
    const SIGNAL_DELIVERY: Duration = Duration::from_millis(10);
    let fixture = DrainFixture::start();
    let new_discovery = ScriptedDiscovery::start(&[ResponseKind::Silence], |_| Vec::new());
    let mut sidecar = Sidecar::start(PROGRAM, config(fixture.discovery.address, fixture.entries()));
    fixture.discovery.wait_for_first_call();
    let mut file = sidecar.config.clone();
    file["discovery"] = json!(new_discovery.peer.address.to_string());
    sidecar.reload(&file.to_string());
    // The signal is handled, and the poll of the new address due while the process is stopped.
    thread::sleep(SIGNAL_DELIVERY);
    while_stopped(&sidecar, || {
        fixture.drain();
        thread::sleep(Duration::from_millis(600));
    });
    wait_until("the new address is polled", || !new_discovery.calls().is_empty());
    // Longer than a drain's grace, and shorter than a poll waits for its response.
    thread::sleep(Duration::from_millis(300));
    for number in 0..20 {
        let response = sidecar.send_request(&request("safe", &format!("r{number}"))).unwrap();
        assert_eq!(response.status(), 200);
    }
    assert_eq!(ids(&fixture.drained), Vec::<String>::new(), "requests sent to a drained server");
}
