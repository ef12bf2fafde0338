//! The real sidecar with a list of 200 and of 3,200 servers: what a request and a change of the
//! list cost it in CPU time. Times are compared within one run, so that they hold on any machine.

use mintshelf_test_support::{
    config, connect, entry, ok_response, request, wait_until, Discovery, Message, Process as _,
    Server, Sidecar,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
/// Servers of a small fleet, and of the largest one.
const SMALL: usize = 200;
const LARGE: usize = 3_200;
/// Listeners that all servers of a fleet share.
const LISTENERS: usize = 16;
/// Measurements of each fleet, in turns; the lowest counts, since timers and busy processors only
/// add to one.
const ROUNDS: usize = 5;
/// Requests in one measurement.
const REQUESTS: usize = 20;
/// Changes of the list in one measurement, and entries in each.
const CHANGES: usize = 10;
const CHANGED: usize = 10;
/// Highest cost at the large fleet, in multiples of that at the small one.
const MAX_RATIO: f64 = 2.0;

/// A sidecar between a client and a fleet of `count` listed servers.
struct FleetFixture {
    sidecar: Sidecar,
    discovery: Discovery,
    addresses: Vec<SocketAddr>,
    _servers: Vec<Server>,
}

impl FleetFixture {
    fn start(count: usize, boot_ms: u64, response: &'static [u8]) -> Self {
        let respond = move |_: &Message, _| Some(response.to_vec());
        let servers: Vec<Server> = (0..LISTENERS).map(|_| Server::start(respond)).collect();
        let addresses: Vec<SocketAddr> =
            (0..count).map(|number| servers[number % LISTENERS].address).collect();
        let entries: Vec<Value> = addresses
            .iter()
            .enumerate()
            .map(|(number, address)| listed(number, *address, "SERVING", boot_ms))
            .collect();
        let discovery = Discovery::start(7, entries);
        let mut config = config(discovery.address, Vec::new());
        config["known"] = json!({"rev": 0, "all": true, "targets": []});
        config["settings"]["invariants"]["cold"] = json!(60_000_000_000u64);
        config["limits"]["memory_mb"] = json!(48);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["goal-time"] = json!(200_000_000u64);
        }
        let sidecar = Sidecar::start(PROGRAM, config);
        let fixture = FleetFixture { sidecar, discovery, addresses, _servers: servers };
        fixture.wait_for_calls(2);
        fixture
    }

    /// Waits until the sidecar has polled so often, and so has applied the lists before.
    fn wait_for_calls(&self, calls: usize) {
        wait_until("the list is read", || self.discovery.call_count() >= calls);
    }

    /// CPU time that the sidecar uses for an action.
    fn cost_of(&self, action: impl Fn(&FleetFixture)) -> Duration {
        let before = self.sidecar.cpu_time();
        action(self);
        self.sidecar.cpu_time() - before
    }

    /// Requests, one after the other.
    fn send_requests(&self) {
        self.send(REQUESTS);
    }

    fn send(&self, count: usize) {
        let mut client = connect(self.sidecar.address).unwrap();
        for number in 0..count {
            client.write_all(&request("safe", &format!("r{number}"))).unwrap();
            assert!(Message::read(&mut client).is_some(), "request {number} has no response");
        }
    }

    /// Changes of the list that name a few servers each.
    fn make_changes(&self) {
        for step in 0..CHANGES {
            let state = if step % 2 == 0 { "DRAINING" } else { "SERVING" };
            let changed = (0..CHANGED)
                .map(|number| listed(number, self.addresses[number], state, 0))
                .collect();
            let calls = self.discovery.call_count();
            self.discovery.change(changed);
            self.wait_for_calls(calls + 1);
        }
    }
}

fn listed(number: usize, address: SocketAddr, state: &str, boot_ms: u64) -> Value {
    let mut listed = entry(&format!("s-{number:08x}"), address);
    listed["state"] = json!(state);
    listed["boot_ms"] = json!(boot_ms);
    listed
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn assert_costs_the_same(
    what: &str,
    start: impl Fn(usize) -> FleetFixture,
    action: impl Fn(&FleetFixture),
) {
    let fixtures = [start(SMALL), start(LARGE)];
    fixtures.iter().for_each(&action);
    let mut min = [Duration::MAX; 2];
    for _ in 0..ROUNDS {
        for (min, fixture) in min.iter_mut().zip(&fixtures) {
            *min = fixture.cost_of(&action).min(*min);
        }
    }
    let [small, large] = min;
    let ratio = large.as_secs_f64() / small.as_secs_f64();
    println!("{what}: {small:?} with {SMALL} servers, {large:?} with {LARGE}, {ratio:.2}");
    assert!(ratio < MAX_RATIO, "{what}: {small:?} and {large:?}, {ratio:.1} times");
}

fn served() -> &'static [u8] {
    ok_response("served").leak()
}

#[test]
fn requests_cost_the_same_in_a_large_fleet() {
    let served = served();
    let full = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".as_slice();
    let states =
        [("all sound", 0, served), ("all warming up", unix_ms(), served), ("all full", 0, full)];
    for (what, boot_ms, response) in states {
        let start = |count| FleetFixture::start(count, boot_ms, response);
        assert_costs_the_same(what, start, FleetFixture::send_requests);
    }
}

#[test]
fn changes_of_ten_servers_cost_the_same_in_a_large_fleet() {
    let served = served();
    let start = |count| FleetFixture::start(count, 0, served);
    assert_costs_the_same("changes", start, FleetFixture::make_changes);
}
