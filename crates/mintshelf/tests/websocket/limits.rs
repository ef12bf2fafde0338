//! Limits of sockets, slow clients, and released resources.

use crate::echo_server::EchoServer;
use crate::fixture::{
    default_setup, open, open_with, send_and_receive, spawn_reader, Setup, Socket, PROGRAM,
};
use crate::peak_metric::PeakMetric;
use crate::raw_client::{accept_of, close_of, handshake, masked, ACCEPTED};
use crate::steady_client::SteadyClient;
use mintshelf_test_support::{
    get, metric, ok_response, wait_until, Daemon, Message, Peer, Process as _, Server,
};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tungstenite::Message as WsMessage;

#[test]
fn at_the_socket_limit_handshakes_get_retry_after_and_requests_are_served() {
    let server = EchoServer::start("a");
    let plain = Server::start(|_, _| Some(ok_response("plain")));
    let more = format!(
        "[clusters.p]\nendpoints = [\"{}\"]\n[[routes]]\nprefix = \"/plain\"\ncluster = \"p\"\n",
        plain.address
    );
    let setup = Setup { limits: "sockets = 128\nwebsockets = 5", more, ..default_setup() };
    let daemon = setup.start(&[&server]);
    let mut sockets: Vec<Socket> = (0..5).map(|_| open(setup.address)).collect();
    let (rejected, _) = handshake(setup.address, &[], b"");
    assert_eq!(rejected.status(), 503);
    assert!(rejected.header("retry-after").unwrap().parse::<u32>().unwrap() >= 1);
    assert!(String::from_utf8_lossy(&rejected.body).contains("sockets-full"));
    assert_eq!(daemon.send_request(&get("/plain")).unwrap().status(), 200);
    sockets.pop().unwrap().close(None).unwrap();
    wait_until("its slot is free", || open_with(setup.address, &[]).is_ok());
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "on") == "a: on"));
}

#[test]
fn a_late_tenant_gets_its_share_of_the_sockets() {
    let server = EchoServer::start("a");
    let more =
        "[tenants.early]\nheader-values = \"early\"\n[tenants.late]\nheader-values = \"late\"\n";
    let setup = Setup { limits: "websockets = 8", more: more.into(), ..default_setup() };
    let _daemon = setup.start(&[&server]);
    let open_as = |tenant| open_with(setup.address, &[("x-member", tenant)]);
    let early: Vec<Socket> = (0..8).map(|_| open_as("early").unwrap()).collect();
    let readers: Vec<_> = early.into_iter().map(spawn_reader).collect();
    let mut late = Vec::new();
    wait_until("the late tenant has its half", || {
        late.extend(open_as("late").ok());
        late.len() == 4
    });
    // Both have their half now, and no further socket is closed.
    assert_eq!(open_as("late").err(), Some(503));
    assert_eq!(open_as("early").err(), Some(503));
    wait_until("the metrics", || {
        metric(setup.admin, "mintshelf_tenant_sockets{tenant=\"early\"}") == 4.0
            && metric(setup.admin, "mintshelf_tenant_sockets{tenant=\"late\"}") == 4.0
    });
    let closed: Vec<_> = readers.into_iter().filter(JoinHandle::is_finished).collect();
    assert_eq!(closed.len(), 4);
    for reader in closed {
        let (code, reason) = reader.join().unwrap();
        assert!(code == 1013 && reason.contains("come back in"), "{code} {reason}");
    }
}

#[test]
fn slow_or_vanished_clients_block_no_other_client() {
    let server = EchoServer::start("a");
    let class = "ping-interval = \"200ms\"\nping-timeout = \"500ms\"\nstall-timeout = \"400ms\"\n\
                 message-timeout = \"600ms\"\nbuffer = \"16KiB\"";
    let setup = Setup { class, ..default_setup() };
    let daemon = setup.start(&[&server]);
    let steady_client = SteadyClient::start(setup.address);
    let before = daemon.memory("VmRSS:");
    // The first queues may be closed again before the last connection is open.
    let queued_bytes = PeakMetric::start(setup.admin, "mintshelf_socket_queued_bytes");
    let not_reading: Vec<Socket> = (0..50)
        .map(|_| {
            let mut socket = open(setup.address);
            socket.send(WsMessage::text("flood")).unwrap();
            socket
        })
        .collect();
    wait_until("queues are full", || queued_bytes.get() > 1e5);
    steady_client.wait_for_responses();
    wait_until("the servers' connections are closed", || server.open.load(Ordering::SeqCst) == 1);
    // 50 queues of 16 KiB and a read buffer each.
    assert!(queued_bytes.get() <= 50.0 * 33_000.0);
    drop(queued_bytes);
    steady_client.wait_for_responses();
    let more = daemon.memory("VmRSS:").saturating_sub(before);
    assert!(more < 16 << 20, "{more} bytes more");
    drop(not_reading);
    // A client that sends byte by byte, and never a complete message.
    let (_, mut slow) = handshake(setup.address, &[], b"");
    slow.write_all(&masked(0x82, &[0; 100])[..6]).unwrap();
    let mut writing = slow.try_clone().unwrap();
    let slow_writer = thread::spawn(move || {
        while writing.write_all(&[0]).is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    // The server is within a frame, so its connection is aborted; the client gets a close frame.
    assert_eq!(close_of(&mut slow).map(|close| close.0), Some(1008));
    drop(slow);
    slow_writer.join().unwrap();
    // A client that answers no ping counts as lost.
    let (_, vanished) = handshake(setup.address, &[], b"");
    wait_until("its server's connection is closed", || {
        server.opened.load(Ordering::SeqCst) == 53 && server.open.load(Ordering::SeqCst) == 1
    });
    drop(vanished);
    steady_client.wait_for_responses();
}

#[test]
fn ten_thousand_short_lived_sockets_leak_nothing() {
    let server = Peer::start(|mut stream| {
        let Some(request) = Message::read(&mut stream) else { return };
        let head = format!("{ACCEPTED}Sec-WebSocket-Accept: {}\r\n\r\n", accept_of(&request));
        let _ = stream.write_all(head.as_bytes());
        let mut close = [0; 8];
        let _ = std::io::Read::read_exact(&mut stream, &mut close);
        let _ = stream.write_all(&[0x88, 2, 3, 0xe8]);
    });
    let setup = Setup { limits: "sockets = 1024", ..default_setup() };
    let daemon = Daemon::start(PROGRAM, setup.address, &setup.text(&[server.address]), &[]);
    let run = |count: usize| {
        let threads = (0..8).map(|_| {
            let address = setup.address;
            thread::spawn(move || {
                for _ in 0..count / 8 {
                    let (response, mut stream) = handshake(address, &[], b"");
                    assert_eq!(response.status(), 101);
                    stream.write_all(&masked(0x88, &[3, 0xe8])).unwrap();
                    assert_eq!(close_of(&mut stream).map(|close| close.0), Some(1000));
                }
            })
        });
        threads.collect::<Vec<_>>().into_iter().for_each(|thread| thread.join().unwrap());
        wait_until("all are closed", || metric(setup.admin, "mintshelf_sockets{") == 0.0);
    };
    run(2_000);
    let baseline = [daemon.descriptors(), daemon.memory("VmRSS:")];
    run(8_000);
    // The connection for the metrics may linger.
    wait_until("descriptors are released", || daemon.descriptors() <= baseline[0] + 2);
    let more = daemon.memory("VmRSS:").saturating_sub(baseline[1]);
    assert!(more < 2 << 20, "{more} bytes more");
    assert_eq!(metric(setup.admin, "mintshelf_open_requests"), 0.0);
    assert_eq!(metric(setup.admin, "mintshelf_timers"), 0.0);
}
