//! Limits of sockets, slow clients, and resources that are given back.

use crate::fixture::{open, open_with, reading, send_and_receive, setup, Setup, Socket, PROGRAM};
use crate::node::Node;
use crate::raw_client::{accept_of, close_of, handshake, masked, ACCEPTED};
use crate::steady_client::SteadyClient;
use mintshelf_test_support::{
    get, metric, ok_response, wait_until, Daemon, Message, Peer, Process as _, Server,
};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use tungstenite::Message as WsMessage;

#[test]
fn at_the_socket_limit_handshakes_get_retry_after_and_requests_are_served() {
    let node = Node::start("a");
    let plain = Server::start(|_, _| Some(ok_response("plain")));
    let more = format!(
        "[clusters.p]\nendpoints = [\"{}\"]\n[[routes]]\nprefix = \"/plain\"\ncluster = \"p\"\n",
        plain.at
    );
    let setup = Setup { limits: "sockets = 128\nwebsockets = 5", more, ..setup() };
    let daemon = setup.start(&[&node]);
    let mut sockets: Vec<Socket> = (0..5).map(|_| open(setup.at)).collect();
    let (refused, _) = handshake(setup.at, &[], b"");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").unwrap().parse::<u32>().unwrap() >= 1);
    assert!(String::from_utf8_lossy(&refused.body).contains("sockets-full"));
    assert_eq!(daemon.send_request(&get("/plain")).unwrap().status(), 200);
    sockets.pop().unwrap().close(None).unwrap();
    wait_until("its place to be free", || open_with(setup.at, &[]).is_ok());
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "on") == "a: on"));
}

#[test]
fn a_late_tenant_gets_its_share_of_the_sockets() {
    let node = Node::start("a");
    let more =
        "[tenants.early]\nheader-values = \"early\"\n[tenants.late]\nheader-values = \"late\"\n";
    let setup = Setup { limits: "websockets = 8", more: more.into(), ..setup() };
    let _daemon = setup.start(&[&node]);
    let of = |member| open_with(setup.at, &[("x-member", member)]);
    let early: Vec<Socket> = (0..8).map(|_| of("early").unwrap()).collect();
    let ends: Vec<_> = early.into_iter().map(reading).collect();
    let mut late = Vec::new();
    wait_until("the late one's half", || {
        late.extend(of("late").ok());
        late.len() == 4
    });
    // Both have their halves now, and nobody has to leave any more.
    assert_eq!(of("late").err(), Some(503));
    assert_eq!(of("early").err(), Some(503));
    wait_until("the figures", || {
        metric(setup.admin, "mintshelf_tenant_sockets{tenant=\"early\"}") == 4.0
            && metric(setup.admin, "mintshelf_tenant_sockets{tenant=\"late\"}") == 4.0
    });
    let left: Vec<_> = ends.into_iter().filter(|end| end.is_finished()).collect();
    assert_eq!(left.len(), 4);
    for end in left {
        let (code, reason) = end.join().unwrap();
        assert!(code == 1013 && reason.contains("come back in"), "{code} {reason}");
    }
}

#[test]
fn slow_or_vanished_clients_block_no_other_client() {
    let node = Node::start("a");
    let class = "ping-interval = \"200ms\"\nping-timeout = \"500ms\"\nstall-timeout = \"400ms\"\n\
                 message-timeout = \"600ms\"\nbuffer = \"16KiB\"";
    let setup = Setup { class, ..setup() };
    let daemon = setup.start(&[&node]);
    let sound = SteadyClient::start(setup.at);
    let before = daemon.memory("VmRSS:");
    let deaf: Vec<Socket> = (0..50)
        .map(|_| {
            let mut socket = open(setup.at);
            socket.send(WsMessage::text("flood")).unwrap();
            socket
        })
        .collect();
    wait_until("floods", || metric(setup.admin, "mintshelf_socket_queued_bytes") > 1e5);
    // 50 queues of 16 KiB and a reading each.
    assert!(metric(setup.admin, "mintshelf_socket_queued_bytes") <= 50.0 * 33_000.0);
    sound.wait_for_responses();
    wait_until("their servers' ends", || node.open.load(Ordering::SeqCst) == 1);
    sound.wait_for_responses();
    let more = daemon.memory("VmRSS:").saturating_sub(before);
    assert!(more < 16 << 20, "{more} bytes more");
    drop(deaf);
    // One byte after the other, and never a whole message.
    let (_, mut slow) = handshake(setup.at, &[], b"");
    slow.write_all(&masked(0x82, &[0; 100])[..6]).unwrap();
    let mut writing = slow.try_clone().unwrap();
    let dribble = thread::spawn(move || {
        while writing.write_all(&[0]).is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    // It is within a frame that its server is, so that one is cut off; the client is told.
    assert_eq!(close_of(&mut slow).map(|close| close.0), Some(1008));
    drop(slow);
    dribble.join().unwrap();
    // One that answers no ping is gone.
    let (_, vanished) = handshake(setup.at, &[], b"");
    wait_until("its server's end", || {
        node.opened.load(Ordering::SeqCst) == 53 && node.open.load(Ordering::SeqCst) == 1
    });
    drop(vanished);
    sound.wait_for_responses();
}

#[test]
fn ten_thousand_short_lived_sockets_leak_nothing() {
    let node = Peer::start(|mut stream| {
        let Some(request) = Message::read(&mut stream) else { return };
        let head = format!("{ACCEPTED}Sec-WebSocket-Accept: {}\r\n\r\n", accept_of(&request));
        let _ = stream.write_all(head.as_bytes());
        let mut close = [0; 8];
        let _ = std::io::Read::read_exact(&mut stream, &mut close);
        let _ = stream.write_all(&[0x88, 2, 3, 0xe8]);
    });
    let setup = Setup { limits: "sockets = 1024", ..setup() };
    let daemon = Daemon::start(PROGRAM, setup.at, &setup.text(&[node.at]), &[]);
    let run = |count: usize| {
        let threads = (0..8).map(|_| {
            let at = setup.at;
            thread::spawn(move || {
                for _ in 0..count / 8 {
                    let (answer, mut stream) = handshake(at, &[], b"");
                    assert_eq!(answer.status(), 101);
                    stream.write_all(&masked(0x88, &[3, 0xe8])).unwrap();
                    assert_eq!(close_of(&mut stream).map(|close| close.0), Some(1000));
                }
            })
        });
        threads.collect::<Vec<_>>().into_iter().for_each(|thread| thread.join().unwrap());
        wait_until("all to be over", || metric(setup.admin, "mintshelf_sockets{") == 0.0);
    };
    run(2_000);
    let first = [daemon.descriptors(), daemon.memory("VmRSS:")];
    run(8_000);
    // The connection of the figures may linger.
    wait_until("the descriptors", || daemon.descriptors() <= first[0] + 2);
    let more = daemon.memory("VmRSS:").saturating_sub(first[1]);
    assert!(more < 2 << 20, "{more} bytes more");
    assert_eq!(metric(setup.admin, "mintshelf_open_requests"), 0.0);
    assert_eq!(metric(setup.admin, "mintshelf_timers"), 0.0);
}
