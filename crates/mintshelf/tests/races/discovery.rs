//! Lists that go quiet, come late, or are older than the one held.

use crate::fixture::{ids, slow_connects, while_stopped, Unreached, PROGRAM};
use mintshelf_test_support::{
    config, connect, ok_response, request, wait_until, Discovery, Message, Peer, Server, Sidecar,
    TEST_TIMEOUT,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What discovery has counts as told so long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// What a call is met with.
#[derive(Clone, Copy, PartialEq)]
enum Reaction {
    /// An answer with this list; a call that asks for what is newer waits.
    List(u64),
    /// A wait for news that never ends.
    Silence,
    Error,
    Reset,
    Half,
}

/// Discovery by a script: what its calls are met with, one after the other, then the last.
struct Scripted {
    peer: Peer,
    calls: Arc<Mutex<Vec<Instant>>>,
    script: Arc<Mutex<Vec<Reaction>>>,
}

/// How long a call for news waits here where there is none; shorter if it asks for less.
const NO_NEWS: Duration = Duration::from_millis(300);

impl Scripted {
    fn start(
        script: &[Reaction],
        list: impl Fn(u64) -> Vec<Value> + Send + Sync + 'static,
    ) -> Self {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let script = Arc::new(Mutex::new(script.to_vec()));
        let (recorded, remaining) = (calls.clone(), script.clone());
        let peer = Peer::start(move |mut stream| {
            while let Some(call) = Message::read(&mut stream) {
                recorded.lock().unwrap().push(Instant::now());
                let reaction = {
                    let mut remaining = remaining.lock().unwrap();
                    if remaining.len() > 1 {
                        remaining.remove(0)
                    } else {
                        remaining[0]
                    }
                };
                if !respond(reaction, &call, &list, &mut stream) {
                    return;
                }
            }
        });
        Scripted { peer, calls, script }
    }

    fn calls(&self) -> Vec<Instant> {
        self.calls.lock().unwrap().clone()
    }
}

fn respond(
    reaction: Reaction,
    call: &Message,
    list: &dyn Fn(u64) -> Vec<Value>,
    to: &mut TcpStream,
) -> bool {
    match reaction {
        Reaction::List(rev) => {
            if call.after() == Some(rev) {
                thread::sleep(NO_NEWS.min(call.wait()));
            }
            let text = json!({"rev": rev, "all": true, "targets": list(rev)}).to_string();
            to.write_all(&ok_response(&text)).is_ok()
        }
        Reaction::Silence => {
            // Until the other side gives up.
            let _ = std::io::Read::read(to, &mut [0]);
            false
        }
        Reaction::Error => to.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").is_ok(),
        Reaction::Reset => {
            let _ = socket2::SockRef::from(&*to).set_linger(Some(Duration::ZERO));
            false
        }
        Reaction::Half => {
            let _ = to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":");
            false
        }
    }
}

/// Asked lists, with the longest time that the settings may give for asking.
fn slow_poll_config(discovery: std::net::SocketAddr, known: Vec<Value>) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["invariants"]["ask-within"] = json!(60_000_000_000u64);
    config
}

/// A sidecar whose discovery answers, meets `faults`, and has a new list by then; how long it
/// takes from the first fault's call to the list's.
fn time_to_new_list(faults: &[Reaction]) -> Duration {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let entry = server.entry("a");
    let script =
        [&[Reaction::List(1), Reaction::List(1)][..], faults, &[Reaction::List(2)]].concat();
    let listed = entry.clone();
    let discovery = Scripted::start(&script, move |rev| {
        let mut entry = listed.clone();
        entry["state"] = json!(if rev == 2 { "DRAINING" } else { "SERVING" });
        vec![entry]
    });
    let sidecar = Sidecar::start(PROGRAM, slow_poll_config(discovery.peer.at, vec![entry]));
    // The list's first call is the one behind the faults.
    let first = 2;
    wait_until("the new list is asked for", || discovery.calls().len() > first + faults.len());
    drop(sidecar);
    let calls = discovery.calls();
    calls[first + faults.len()] - calls[first]
}

#[test]
fn a_watch_that_falls_silent_is_begun_anew_in_time() {
    let took = time_to_new_list(&[Reaction::Silence]);
    assert!(took < TOLD - Duration::from_secs(1), "{took:?}");
}

#[test]
fn calls_that_fail_do_not_keep_news_away() {
    for faults in [
        &[Reaction::Silence, Reaction::Error][..],
        &[Reaction::Reset, Reaction::Half],
        &[Reaction::Half, Reaction::Error],
        &[Reaction::Error, Reaction::Reset],
    ] {
        let took = time_to_new_list(faults);
        assert!(took < TOLD, "{took:?}");
    }
}

#[test]
fn after_many_failures_calls_are_no_further_apart_than_news_may_be_late() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let entry = server.entry("a");
    let discovery = Scripted::start(&[Reaction::Error], |_| vec![]);
    let _sidecar = Sidecar::start(PROGRAM, slow_poll_config(discovery.peer.at, vec![entry]));
    wait_until("it has failed for long", || discovery.calls().len() >= 8);
    let gaps: Vec<_> = discovery.calls().windows(2).map(|two| two[1] - two[0]).collect();
    assert!(gaps.iter().all(|gap| *gap < Duration::from_secs(3)), "{gaps:?}");
}

#[test]
fn a_new_process_asks_in_time_however_long_the_settings_allow() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = Scripted::start(&[Reaction::List(1)], |_| vec![]);
    let begun = Instant::now();
    let sidecars: Vec<_> = (1..9u64)
        .map(|seed| {
            let mut config = slow_poll_config(discovery.peer.at, vec![server.entry("a")]);
            config["seed"] = json!(format!("{seed:016x}"));
            Sidecar::start(PROGRAM, config)
        })
        .collect();
    wait_until("all have asked", || discovery.calls().len() >= 8);
    assert!(begun.elapsed() < TOLD, "{:?}", begun.elapsed());
    drop(sidecars);
}

/// Whether a server is sent anything while the newest list held says that it drains, and the
/// service says for `lag` that an older one is in force.
fn drain_is_undone(older: &[Reaction], last: Reaction) -> (bool, usize) {
    let (drained, other) = (
        Server::start(|_, _| Some(ok_response("a"))),
        Server::start(|_, _| Some(ok_response("b"))),
    );
    let entries = [drained.entry("a"), other.entry("b")];
    let listed = entries.clone();
    let script = [&[Reaction::List(5)][..], older, &[last]].concat();
    let discovery = Scripted::start(&script, move |rev| {
        let mut entries = listed.clone();
        if rev >= 5 {
            entries[0]["state"] = json!("DRAINING");
        }
        entries.to_vec()
    });
    let mut config = slow_poll_config(discovery.peer.at, entries.to_vec());
    config["known"]["rev"] = json!(4);
    let sidecar = Sidecar::start(PROGRAM, config);
    wait_until("the drain is told", || discovery.calls().len() >= 2);
    thread::sleep(Duration::from_millis(300));
    let before = drained.requests().len();
    let mut number = 0;
    let mut send_one = || {
        number += 1;
        assert_eq!(
            sidecar.send_request(&request("safe", &number.to_string())).unwrap().status(),
            200
        );
    };
    // While the script goes on, and for a while after it.
    let end = Instant::now() + TEST_TIMEOUT;
    while discovery.script.lock().unwrap().len() > 1 && Instant::now() < end {
        send_one();
    }
    let calls = discovery.calls().len();
    wait_until("it goes on", || {
        send_one();
        discovery.calls().len() > calls + 1
    });
    (drained.requests().len() > before, number)
}

#[test]
fn an_older_list_does_not_undo_a_drain() {
    let older = [Reaction::List(4), Reaction::List(4), Reaction::List(4)];
    let (is_undone, asked) = drain_is_undone(&older, Reaction::List(5));
    assert!(!is_undone, "a drained server was sent some of {asked} requests");
}

#[test]
fn a_service_that_counts_anew_is_believed() {
    // Its numbers stay low: its list is the one in force.
    let (is_undone, _) = drain_is_undone(&[Reaction::List(1); 6], Reaction::List(1));
    assert!(is_undone, "a service that began anew was never believed");
}

#[test]
fn an_agent_that_was_silent_is_heard_soon_after_its_return() {
    let (old, new) = (
        Server::start(|_, _| Some(ok_response("old"))),
        Server::start(|_, _| Some(ok_response("new"))),
    );
    let entries = [old.entry("a"), new.entry("b")];
    let listed = entries.clone();
    let script = [Reaction::List(1), Reaction::Silence];
    let agent = Scripted::start(&script, move |rev| vec![listed[rev as usize - 1].clone()]);
    let mut config = config(agent.peer.at, vec![entries[0].clone()]);
    config["settings"]["registry-mode"] = json!("automatic");
    let sidecar = Sidecar::start(PROGRAM, config);
    wait_until("it is silent", || agent.calls().len() >= 2);
    thread::sleep(Duration::from_millis(300));
    *agent.script.lock().unwrap() = vec![Reaction::List(2)];
    let back = Instant::now();
    let mut number = 0;
    wait_until("its list is in force", || {
        number += 1;
        let got = sidecar.send_request(&request("safe", &number.to_string())).unwrap();
        got.body == b"new"
    });
    assert!(back.elapsed() < Duration::from_secs(3), "{:?}", back.elapsed());
}

#[test]
fn a_silent_agent_is_left_for_a_new_address_in_time() {
    let (old, new) = (
        Server::start(|_, _| Some(ok_response("old"))),
        Server::start(|_, _| Some(ok_response("new"))),
    );
    let entries = [old.entry("a"), new.entry("b")];
    let (first, second) = (entries[0].clone(), entries[1].clone());
    let silent =
        Scripted::start(&[Reaction::List(1), Reaction::Silence], move |_| vec![first.clone()]);
    let moved = Scripted::start(&[Reaction::List(2)], move |_| vec![second.clone()]);
    let mut config = config(silent.peer.at, vec![entries[0].clone()]);
    config["settings"]["registry-mode"] = json!("automatic");
    let mut sidecar = Sidecar::start(PROGRAM, config);
    wait_until("it is silent", || silent.calls().len() >= 2);
    let mut file = sidecar.config.clone();
    file["discovery"] = json!(moved.peer.at.to_string());
    sidecar.reload(&file.to_string());
    let reloaded_at = Instant::now();
    wait_until("the new address is asked", || !moved.calls().is_empty());
    assert!(reloaded_at.elapsed() < Duration::from_secs(4), "{:?}", reloaded_at.elapsed());
}

/// An attempt whose connection came up late was sent to a server that had been drained meanwhile.
#[test]
fn a_connection_that_comes_up_after_its_server_drains_carries_nothing() {
    for state in ["DRAINING", "DELETED"] {
        let late = Unreached::start();
        let sound = Server::start(|_, _| Some(ok_response("served")));
        let discovery = Discovery::start(1, vec![late.entry("a")]);
        let sidecar = Sidecar::start(PROGRAM, slow_connects(discovery.at, vec![late.entry("a")]));
        wait_until("the first watch", || *discovery.calls.lock().unwrap() > 0);
        let mut client = connect(sidecar.at).unwrap();
        client.write_all(&request("unsafe", "u")).unwrap();
        // Its connection is on the way; the list is read before it comes up.
        thread::sleep(Duration::from_millis(200));
        let mut out_of_service = late.entry("a");
        out_of_service["state"] = json!(state);
        let calls = *discovery.calls.lock().unwrap();
        discovery.change(vec![out_of_service, sound.entry("b")]);
        wait_until("the change is read", || *discovery.calls.lock().unwrap() > calls);
        let seen = late.accept(|_| ok_response("served"));
        let got = Message::read(&mut client).unwrap();
        thread::sleep(Duration::from_millis(1_500));
        assert_eq!(seen.ids(), Vec::<String>::new(), "{state}: sent to it; {}", got.head);
        assert_eq!(got.status(), 200, "{state}: {}", got.head);
        assert_eq!(ids(&sound), ["u"], "{state}");
    }
}

/// Requests that had come before a drain were sent to the drained server first, each in its turn.
#[test]
fn a_drain_is_read_before_the_requests_that_wait_beside_it() {
    const CLIENTS: usize = 60;
    let drained = Server::start(|_, _| Some(ok_response("served")));
    let sound = Server::start(|_, _| Some(ok_response("served")));
    let entries = || vec![drained.entry("a"), sound.entry("b")];
    let discovery = Discovery::start(1, entries());
    let mut config = config(discovery.at, entries());
    config["limits"]["sockets"] = json!(512);
    let sidecar = Sidecar::start(PROGRAM, config);
    wait_until("the first watch", || *discovery.calls.lock().unwrap() > 0);
    let mut clients: Vec<TcpStream> = (0..CLIENTS).map(|_| connect(sidecar.at).unwrap()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write_all(&request("safe", &format!("before{number}"))).unwrap();
        assert_eq!(Message::read(client).unwrap().status(), 200);
    }
    assert!(ids(&drained).len() > CLIENTS / 5, "both servers take requests");
    while_stopped(&sidecar, || {
        for (number, client) in clients.iter_mut().enumerate() {
            client.write_all(&request("safe", &format!("beside{number}"))).unwrap();
        }
        let calls = *discovery.calls.lock().unwrap();
        let mut draining = drained.entry("a");
        draining["state"] = json!("DRAINING");
        discovery.change(vec![draining]);
        wait_until("the change is written", || *discovery.calls.lock().unwrap() > calls);
        thread::sleep(Duration::from_millis(50));
    });
    for client in &mut clients {
        assert_eq!(Message::read(client).unwrap().status(), 200);
    }
    let beside = ids(&drained).iter().filter(|id| id.starts_with("beside")).count();
    assert_eq!(beside, 0, "requests sent to a drained server");
}

/// A drain that was written to the watch at the old address when the new one came into force was
/// dropped with the watch, and heard only once the new discovery answered.
#[test]
fn a_drain_that_is_written_as_discovery_moves_is_read() {
    const SIGNAL_TAKEN: Duration = Duration::from_millis(10);
    let drained = Server::start(|_, _| Some(ok_response("served")));
    let sound = Server::start(|_, _| Some(ok_response("served")));
    let entries = || vec![drained.entry("a"), sound.entry("b")];
    let discovery = Discovery::start(1, entries());
    let moved = Scripted::start(&[Reaction::Silence], |_| Vec::new());
    let mut sidecar = Sidecar::start(PROGRAM, config(discovery.at, entries()));
    wait_until("the first watch", || *discovery.calls.lock().unwrap() > 0);
    let mut file = sidecar.config.clone();
    file["discovery"] = json!(moved.peer.at.to_string());
    sidecar.reload(&file.to_string());
    // The signal is taken, and the call to the new address due while the process is stopped.
    thread::sleep(SIGNAL_TAKEN);
    while_stopped(&sidecar, || {
        let calls = *discovery.calls.lock().unwrap();
        let mut draining = drained.entry("a");
        draining["state"] = json!("DRAINING");
        discovery.change(vec![draining]);
        wait_until("the change is written", || *discovery.calls.lock().unwrap() > calls);
        thread::sleep(Duration::from_millis(600));
    });
    wait_until("the new address is asked", || !moved.calls().is_empty());
    // Longer than a drain's grace, and shorter than a call waits for its response.
    thread::sleep(Duration::from_millis(300));
    for number in 0..20 {
        let got = sidecar.send_request(&request("safe", &format!("r{number}"))).unwrap();
        assert_eq!(got.status(), 200);
    }
    assert_eq!(ids(&drained), Vec::<String>::new(), "requests sent to a drained server");
}
