//! Open sockets: relayed messages, migration to other servers and closes.

use crate::fixture::{closed, open, reading, send_and_receive, setup, Setup, Socket};
use crate::node::Node;
use mintshelf_test_support::{metric, wait_until, Process as _};
use std::sync::atomic::Ordering;
use tungstenite::Message as WsMessage;

#[test]
fn messages_are_relayed_both_ways_and_a_close_ends_both() {
    let node = Node::start("a");
    let setup = setup();
    let _daemon = setup.start(&[&node]);
    let mut socket = open(setup.at);
    assert_eq!(send_and_receive(&mut socket, "hello"), "a: hello");
    let long = "x".repeat(300_000);
    assert_eq!(send_and_receive(&mut socket, &long), format!("a: {long}"));
    assert_eq!(metric(setup.admin, "mintshelf_sockets{cluster=\"c\"}"), 1.0);
    socket.close(None).unwrap();
    assert_eq!(closed(&mut socket), (1005, String::new()));
    wait_until("the server's end", || node.open.load(Ordering::SeqCst) == 0);
    wait_until("the figures", || metric(setup.admin, "mintshelf_sockets{cluster=\"c\"}") == 0.0);
    let ended = "mintshelf_sockets_closed_total{by=\"client\",code=\"1005\"}";
    wait_until("who ended it", || metric(setup.admin, ended) == 1.0);
}

#[test]
fn sockets_of_a_dead_server_migrate_unnoticed_by_their_clients() {
    let (node_a, node_b) = (Node::start("a"), Node::start("b"));
    let setup = Setup { websocket: "{ resume = \"first-message\" }", ..setup() };
    let _daemon = setup.start(&[&node_a, &node_b]);
    let mut sockets: Vec<Socket> = (0..12).map(|_| open(setup.at)).collect();
    let at: Vec<String> =
        sockets.iter_mut().map(|socket| send_and_receive(socket, "first")).collect();
    let at_a = at.iter().filter(|text| *text == "a: first").count();
    assert!(at_a > 0 && at_a < 12, "{at:?}");
    node_a.dead.store(true, Ordering::SeqCst);
    wait_until("its sockets to be opened again", || node_b.opened.load(Ordering::SeqCst) == 12);
    for (socket, first) in sockets.iter_mut().zip(&at) {
        if first.starts_with('a') {
            // What was said first is said again to the one that took over.
            let Ok(WsMessage::Text(text)) = socket.read() else { panic!("no text") };
            assert_eq!(text.as_str(), "b: first");
        }
        assert_eq!(send_and_receive(socket, "second"), "b: second");
    }
    wait_until("the figures", || {
        metric(setup.admin, "mintshelf_sockets_moved_total{cluster=\"c\"}") == at_a as f64
    });
}

#[test]
fn sockets_of_a_silent_server_are_closed_with_advice_and_the_others_stay_open() {
    let (node_a, node_b) = (Node::start("a"), Node::start("b"));
    let class = "ping-interval = \"100ms\"\nping-timeout = \"300ms\"";
    let setup = Setup { class, cluster: "socket-spread = \"500ms\"", ..setup() };
    let _daemon = setup.start(&[&node_a, &node_b]);
    let mut sockets: Vec<Socket> = (0..12).map(|_| open(setup.at)).collect();
    let at: Vec<String> = sockets.iter_mut().map(|socket| send_and_receive(socket, "x")).collect();
    node_a.frozen.store(true, Ordering::SeqCst);
    // Each client goes on reading, so that it answers pings.
    let ends: Vec<_> = sockets.into_iter().map(reading).collect();
    let b_has = at.iter().filter(|first| first.starts_with('b')).count();
    for (end, first) in ends.into_iter().zip(&at).filter(|(_, first)| first.starts_with('a')) {
        let (code, reason) = end.join().unwrap();
        assert_eq!(code, 1012, "{first}: {reason}");
        assert!(reason.contains("come back in"), "{reason}");
    }
    wait_until("the figures", || {
        metric(setup.admin, "mintshelf_sockets{cluster=\"c\"}") == b_has as f64
    });
    assert_eq!(node_b.open.load(Ordering::SeqCst), b_has);
    node_a.frozen.store(false, Ordering::SeqCst);
}

#[test]
fn sockets_of_a_removed_endpoint_migrate_and_the_others_stay() {
    let (node_a, node_b) = (Node::start("a"), Node::start("b"));
    let cluster = "socket-spread = \"200ms\"";
    let setup = Setup { websocket: "{ resume = \"handshake\" }", cluster, ..setup() };
    let daemon = setup.start(&[&node_a, &node_b]);
    let mut sockets: Vec<Socket> = (0..10).map(|_| open(setup.at)).collect();
    sockets.iter_mut().for_each(|socket| drop(send_and_receive(socket, "x")));
    daemon.reload(&setup.text(&[node_b.peer.at]));
    wait_until("a to be left", || node_a.open.load(Ordering::SeqCst) == 0);
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "y") == "b: y"));
    // A cluster that is set up anew is another to the module; its sockets go on there.
    let again = Setup {
        cluster: "socket-spread = \"200ms\"\nmax-attempts = 2",
        more: String::new(),
        ..setup
    };
    let before = node_b.opened.load(Ordering::SeqCst);
    daemon.reload(&again.text(&[node_b.peer.at]));
    wait_until("all to be opened again", || node_b.opened.load(Ordering::SeqCst) == before + 10);
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "z") == "b: z"));
    wait_until("the old ones to be left", || node_b.open.load(Ordering::SeqCst) == 10);
}

#[test]
fn graceful_shutdown_closes_every_socket_between_messages() {
    let node = Node::start("a");
    let setup = Setup { limits: "websocket-drain = \"300ms\"", ..setup() };
    let mut daemon = setup.start(&[&node]);
    let sockets: Vec<Socket> = (0..20).map(|_| open(setup.at)).collect();
    let ends: Vec<_> = sockets.into_iter().map(reading).collect();
    daemon.signal("TERM");
    for end in ends {
        let (code, reason) = end.join().unwrap();
        assert!(code == 1001 && reason.contains("come back in"), "{code} {reason}");
    }
    wait_until("its end", || daemon.child.try_wait().unwrap().is_some());
    assert!(daemon.child.wait().unwrap().success());
    wait_until("the server's ends", || node.open.load(Ordering::SeqCst) == 0);
}
