//! Open sockets: relayed messages, migration to other servers and closes.

use crate::echo_server::EchoServer;
use crate::fixture::{
    default_setup, open, read_close, send_and_receive, spawn_reader, Setup, Socket,
};
use mintshelf_test_support::{metric, wait_until, Process as _};
use std::sync::atomic::Ordering;
use tungstenite::Message as WsMessage;

#[test]
fn messages_are_relayed_both_ways_and_a_close_ends_both() {
    let server = EchoServer::start("a");
    let setup = default_setup();
    let _daemon = setup.start(&[&server]);
    let mut socket = open(setup.address);
    assert_eq!(send_and_receive(&mut socket, "hello"), "a: hello");
    let long = "x".repeat(300_000);
    assert_eq!(send_and_receive(&mut socket, &long), format!("a: {long}"));
    assert_eq!(metric(setup.admin, "mintshelf_sockets{cluster=\"c\"}"), 1.0);
    socket.close(None).unwrap();
    assert_eq!(read_close(&mut socket), (1005, String::new()));
    wait_until("the server's connection is closed", || server.open.load(Ordering::SeqCst) == 0);
    wait_until("the metrics", || metric(setup.admin, "mintshelf_sockets{cluster=\"c\"}") == 0.0);
    let ended = "mintshelf_sockets_closed_total{by=\"client\",code=\"1005\"}";
    wait_until("the close is counted", || metric(setup.admin, ended) == 1.0);
}

#[test]
fn sockets_of_a_dead_server_migrate_unnoticed_by_their_clients() {
    let (server_a, server_b) = (EchoServer::start("a"), EchoServer::start("b"));
    let setup = Setup { websocket: "{ resume = \"first-message\" }", ..default_setup() };
    let _daemon = setup.start(&[&server_a, &server_b]);
    let mut sockets: Vec<Socket> = (0..12).map(|_| open(setup.address)).collect();
    let first_responses: Vec<String> =
        sockets.iter_mut().map(|socket| send_and_receive(socket, "first")).collect();
    let at_a = first_responses.iter().filter(|text| *text == "a: first").count();
    assert!(at_a > 0 && at_a < 12, "{first_responses:?}");
    server_a.dead.store(true, Ordering::SeqCst);
    wait_until("its sockets are opened again", || server_b.opened.load(Ordering::SeqCst) == 12);
    for (socket, first) in sockets.iter_mut().zip(&first_responses) {
        if first.starts_with('a') {
            // The first message is sent again to the new server.
            let Ok(WsMessage::Text(text)) = socket.read() else { panic!("no text") };
            assert_eq!(text.as_str(), "b: first");
        }
        assert_eq!(send_and_receive(socket, "second"), "b: second");
    }
    wait_until("the metrics", || {
        metric(setup.admin, "mintshelf_sockets_moved_total{cluster=\"c\"}") == at_a as f64
    });
}

#[test]
fn sockets_of_a_silent_server_are_closed_with_advice_and_the_others_stay_open() {
    let (server_a, server_b) = (EchoServer::start("a"), EchoServer::start("b"));
    let class = "ping-interval = \"100ms\"\nping-timeout = \"300ms\"";
    let setup = Setup { class, cluster: "socket-spread = \"500ms\"", ..default_setup() };
    let _daemon = setup.start(&[&server_a, &server_b]);
    let mut sockets: Vec<Socket> = (0..12).map(|_| open(setup.address)).collect();
    let first_responses: Vec<String> =
        sockets.iter_mut().map(|socket| send_and_receive(socket, "x")).collect();
    server_a.frozen.store(true, Ordering::SeqCst);
    // Each client goes on reading, so that it answers pings.
    let readers: Vec<_> = sockets.into_iter().map(spawn_reader).collect();
    let count_at_b = first_responses.iter().filter(|first| first.starts_with('b')).count();
    for (reader, first) in
        readers.into_iter().zip(&first_responses).filter(|(_, first)| first.starts_with('a'))
    {
        let (code, reason) = reader.join().unwrap();
        assert_eq!(code, 1012, "{first}: {reason}");
        assert!(reason.contains("come back in"), "{reason}");
    }
    wait_until("the metrics", || {
        metric(setup.admin, "mintshelf_sockets{cluster=\"c\"}") == count_at_b as f64
    });
    assert_eq!(server_b.open.load(Ordering::SeqCst), count_at_b);
    server_a.frozen.store(false, Ordering::SeqCst);
}

#[test]
fn sockets_of_a_removed_endpoint_migrate_and_the_others_stay() {
    let (server_a, server_b) = (EchoServer::start("a"), EchoServer::start("b"));
    let cluster = "socket-spread = \"200ms\"";
    let setup = Setup { websocket: "{ resume = \"handshake\" }", cluster, ..default_setup() };
    let daemon = setup.start(&[&server_a, &server_b]);
    let mut sockets: Vec<Socket> = (0..10).map(|_| open(setup.address)).collect();
    sockets.iter_mut().for_each(|socket| drop(send_and_receive(socket, "x")));
    daemon.reload(&setup.text(&[server_b.peer.address]));
    wait_until("a has no sockets", || server_a.open.load(Ordering::SeqCst) == 0);
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "y") == "b: y"));
    // A cluster with changed settings is another one to the balancer; the sockets migrate to it.
    let changed = Setup {
        cluster: "socket-spread = \"200ms\"\nmax-attempts = 2",
        more: String::new(),
        ..setup
    };
    let before = server_b.opened.load(Ordering::SeqCst);
    daemon.reload(&changed.text(&[server_b.peer.address]));
    wait_until("all are opened again", || server_b.opened.load(Ordering::SeqCst) == before + 10);
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "z") == "b: z"));
    wait_until("the old ones are closed", || server_b.open.load(Ordering::SeqCst) == 10);
}

#[test]
fn graceful_shutdown_closes_every_socket_between_messages() {
    let server = EchoServer::start("a");
    let setup = Setup { limits: "websocket-drain = \"300ms\"", ..default_setup() };
    let mut daemon = setup.start(&[&server]);
    let sockets: Vec<Socket> = (0..20).map(|_| open(setup.address)).collect();
    let readers: Vec<_> = sockets.into_iter().map(spawn_reader).collect();
    daemon.signal("TERM");
    for reader in readers {
        let (code, reason) = reader.join().unwrap();
        assert!(code == 1001 && reason.contains("come back in"), "{code} {reason}");
    }
    wait_until("the process ends", || daemon.child.try_wait().unwrap().is_some());
    assert!(daemon.child.wait().unwrap().success());
    wait_until("the server's connections are closed", || server.open.load(Ordering::SeqCst) == 0);
}
