//! WebSocket through the real program, with an independent implementation at both ends.

// The errors of the implementation at the ends are large, and not of our making.
#![allow(clippy::result_large_err)]

use mintshelf_test_support::{
    connect, free_address, get, metric, ok_response, read_to_close, wait_until, Daemon, Message,
    Peer, Process as _, Server,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tungstenite::handshake::client::{generate_key, Request};
use tungstenite::handshake::server;
use tungstenite::{Message as Said, WebSocket};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
/// Longest wait of anything; each test waits for what happens, not for this.
const LONG: Duration = Duration::from_secs(30);

/// A server that says back what it hears, with its name; it can be frozen or made to break off.
struct Node {
    peer: Peer,
    opened: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    frozen: Arc<AtomicBool>,
    dead: Arc<AtomicBool>,
}

impl Node {
    fn start(name: &'static str) -> Self {
        let counts = [(); 2].map(|()| Arc::new(AtomicUsize::new(0)));
        let flags = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let [opened, open] = counts.clone();
        let [frozen, dead] = flags.clone();
        let peer = Peer::start(move |stream| {
            if dead.load(Ordering::SeqCst) {
                return;
            }
            stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
            let choose = |request: &server::Request, mut response: server::Response| {
                if let Some(asked) = request.headers().get("sec-websocket-protocol") {
                    let first = asked.to_str().unwrap().split(',').next().unwrap().trim();
                    let chosen = first.parse().unwrap();
                    response.headers_mut().insert("sec-websocket-protocol", chosen);
                }
                Ok(response)
            };
            let mut read = tungstenite::accept_hdr(stream, choose);
            let mut socket = loop {
                match read {
                    Ok(socket) => break socket,
                    Err(tungstenite::HandshakeError::Interrupted(more)) => read = more.handshake(),
                    Err(_) => return,
                }
            };
            opened.fetch_add(1, Ordering::SeqCst);
            open.fetch_add(1, Ordering::SeqCst);
            loop {
                if dead.load(Ordering::SeqCst) {
                    break;
                }
                if frozen.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                match socket.read() {
                    Ok(Said::Text(text)) if text.as_str() == "flood" => {
                        while socket.send(Said::binary(vec![7; 16 << 10])).is_ok() {}
                        break;
                    }
                    Ok(Said::Text(text)) => {
                        let answer = format!("{name}: {text}");
                        if socket.send(Said::text(answer)).is_err() {
                            break;
                        }
                    }
                    Ok(said @ Said::Binary(_)) => {
                        if socket.send(said).is_err() {
                            break;
                        }
                    }
                    Ok(_) => {}
                    Err(tungstenite::Error::Io(e)) if is_wait(&e) => {}
                    Err(_) => break,
                }
            }
            open.fetch_sub(1, Ordering::SeqCst);
        });
        let [opened, open] = counts;
        let [frozen, dead] = flags;
        Node { peer, opened, open, frozen, dead }
    }
}

fn is_wait(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

/// A file with one cluster of these nodes and a route for sockets.
struct Setup {
    at: SocketAddr,
    admin: SocketAddr,
    limits: &'static str,
    class: &'static str,
    cluster: &'static str,
    websocket: &'static str,
    more: String,
}

fn setup() -> Setup {
    Setup {
        at: free_address(),
        admin: free_address(),
        limits: "",
        class: "",
        cluster: "",
        websocket: "true",
        more: String::new(),
    }
}

impl Setup {
    fn text(&self, nodes: &[SocketAddr]) -> String {
        let Setup { at, admin, limits, class, cluster, websocket, more } = self;
        let nodes: Vec<String> = nodes.iter().map(|at| format!("\"{at}\"")).collect();
        let nodes = nodes.join(", ");
        format!(
            "listen = \"{at}\"\ntenant-header = \"x-member\"\n[limits]\n{limits}\n\
             [admin]\naddress = \"{admin}\"\n[classes.live]\naim = \"1s\"\ndeadline = \"5s\"\n\
             [classes.live.sockets]\n{class}\n[clusters.c]\nendpoints = [{nodes}]\n\
             connect-timeout = \"2s\"\n{cluster}\n\
             [[routes]]\nname = \"live\"\nclass = \"live\"\ncluster = \"c\"\nwebsocket = {websocket}\n{more}"
        )
    }

    fn start(&self, nodes: &[&Node]) -> Daemon {
        let nodes: Vec<_> = nodes.iter().map(|node| node.peer.at).collect();
        Daemon::start(PROGRAM, self.at, &self.text(&nodes), &[])
    }
}

type Socket = WebSocket<TcpStream>;

fn request(at: SocketAddr, headers: &[(&str, &str)]) -> Request {
    let mut request = Request::builder()
        .uri(format!("ws://{at}/live?device=7"))
        .header("host", at.to_string())
        .header("connection", "Upgrade")
        .header("upgrade", "websocket")
        .header("sec-websocket-version", "13")
        .header("sec-websocket-key", generate_key());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap()
}

/// Opens a socket, or tells the status that it got instead.
fn open_with(at: SocketAddr, headers: &[(&str, &str)]) -> Result<Socket, u16> {
    let stream = connect(at).expect("a connection");
    stream.set_read_timeout(Some(LONG)).unwrap();
    match tungstenite::client(request(at, headers), stream) {
        Ok((socket, _)) => Ok(socket),
        Err(tungstenite::HandshakeError::Failure(tungstenite::Error::Http(response))) => {
            Err(response.status().as_u16())
        }
        Err(error) => panic!("{error}"),
    }
}

fn open(at: SocketAddr) -> Socket {
    open_with(at, &[]).expect("a socket")
}

fn send_and_receive(socket: &mut Socket, text: &str) -> String {
    socket.send(Said::text(text)).unwrap();
    loop {
        match socket.read().unwrap() {
            Said::Text(text) => return text.to_string(),
            Said::Ping(_) => socket.flush().unwrap(),
            other => panic!("{other:?}"),
        }
    }
}

/// Reads to the close frame; its code and reason.
fn closed(socket: &mut Socket) -> (u16, String) {
    loop {
        match socket.read() {
            Ok(Said::Close(Some(close))) => return (close.code.into(), close.reason.to_string()),
            Ok(Said::Close(None)) => return (1005, String::new()),
            Ok(_) => {}
            Err(error) => return (1006, error.to_string()),
        }
    }
}

/// Reads on in a thread of its own, to the end.
fn reading(mut socket: Socket) -> thread::JoinHandle<(u16, String)> {
    thread::spawn(move || closed(&mut socket))
}

#[test]
fn messages_pass_both_ways_and_a_close_ends_both() {
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
fn a_dead_servers_sockets_go_on_at_another_and_their_clients_see_nothing() {
    let (a, b) = (Node::start("a"), Node::start("b"));
    let setup = Setup { websocket: "{ resume = \"first-message\" }", ..setup() };
    let _daemon = setup.start(&[&a, &b]);
    let mut sockets: Vec<Socket> = (0..12).map(|_| open(setup.at)).collect();
    let at: Vec<String> = sockets.iter_mut().map(|s| send_and_receive(s, "first")).collect();
    let at_a = at.iter().filter(|text| *text == "a: first").count();
    assert!(at_a > 0 && at_a < 12, "{at:?}");
    a.dead.store(true, Ordering::SeqCst);
    wait_until("its sockets to be opened again", || b.opened.load(Ordering::SeqCst) == 12);
    for (socket, first) in sockets.iter_mut().zip(&at) {
        if first.starts_with('a') {
            // What was said first is said again to the one that took over.
            let Ok(Said::Text(text)) = socket.read() else { panic!("no text") };
            assert_eq!(text.as_str(), "b: first");
        }
        assert_eq!(send_and_receive(socket, "second"), "b: second");
    }
    wait_until("the figures", || {
        metric(setup.admin, "mintshelf_sockets_moved_total{cluster=\"c\"}") == at_a as f64
    });
}

#[test]
fn a_silent_servers_sockets_are_closed_with_advice_and_requests_go_on() {
    let (a, b) = (Node::start("a"), Node::start("b"));
    let class = "ping-interval = \"100ms\"\nping-timeout = \"300ms\"";
    let setup = Setup { class, cluster: "socket-spread = \"500ms\"", ..setup() };
    let _daemon = setup.start(&[&a, &b]);
    let mut sockets: Vec<Socket> = (0..12).map(|_| open(setup.at)).collect();
    let at: Vec<String> = sockets.iter_mut().map(|s| send_and_receive(s, "x")).collect();
    a.frozen.store(true, Ordering::SeqCst);
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
    assert_eq!(b.open.load(Ordering::SeqCst), b_has);
    a.frozen.store(false, Ordering::SeqCst);
}

/// The status and headers that a raw handshake gets, and the connection.
fn shake(at: SocketAddr, headers: &[(&str, &str)], behind: &[u8]) -> (Message, TcpStream) {
    let mut text = format!("GET /live HTTP/1.1\r\nHost: {at}\r\n");
    let usual = [
        ("Connection", "Upgrade"),
        ("Upgrade", "websocket"),
        ("Sec-WebSocket-Version", "13"),
        ("Sec-WebSocket-Key", "dGhlIHNhbXBsZSBub25jZQ=="),
    ];
    let stated = |name: &str| headers.iter().any(|(other, _)| other.eq_ignore_ascii_case(name));
    let all = usual.iter().filter(|(name, _)| !stated(name)).chain(headers);
    all.for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    let mut stream = connect(at).unwrap();
    stream.write_all(&[text.as_bytes(), b"\r\n", behind].concat()).unwrap();
    (Message::read(&mut stream).expect("an answer"), stream)
}

/// The answer to the last handshake of a raw server, and what it reads before.
fn accept_of(request: &Message) -> String {
    let key = request.header("sec-websocket-key").unwrap();
    tungstenite::handshake::derive_accept_key(key.as_bytes())
}

const ACCEPTED: &str = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n\
                        Upgrade: websocket\r\n";

#[test]
fn handshakes_are_held_to_their_routes_terms_and_refused_in_plain_http() {
    let node = Node::start("a");
    let websocket = "{ origins = [\"https://lab.example\"], subprotocols = [\"v2\"] }";
    let setup = Setup { websocket, ..setup() };
    let _daemon = setup.start(&[&node]);
    let status = |headers: &[(&str, &str)]| shake(setup.at, headers, b"").0.status();
    assert_eq!(status(&[("Origin", "https://evil.example")]), 403);
    assert_eq!(status(&[("Sec-WebSocket-Key", "short")]), 400);
    let (old, _) = shake(setup.at, &[("Sec-WebSocket-Version", "8")], b"");
    assert_eq!(old.status(), 426);
    assert_eq!(old.header("sec-websocket-version"), Some("13"));
    assert_eq!(node.opened.load(Ordering::SeqCst), 0, "no server was asked");
    let offer = [
        ("Origin", "https://lab.example"),
        ("Sec-WebSocket-Protocol", "v1, v2"),
        ("Sec-WebSocket-Extensions", "permessage-deflate"),
    ];
    let (good, _stream) = shake(setup.at, &offer, b"");
    assert_eq!(good.status(), 101);
    assert_eq!(good.header("sec-websocket-accept"), Some("s3pPLMBiTxaQ9kYGzzhZRbK+xOo="));
    assert_eq!(good.header("sec-websocket-protocol"), Some("v2"), "the one that is let through");
    assert_eq!(good.header("sec-websocket-extensions"), None);
    // A request that asks for no upgrade is one like any other.
    let plain = shake(setup.at, &[("Connection", "close")], b"");
    assert_ne!(plain.0.status(), 101);
}

#[test]
fn what_comes_behind_a_handshake_before_its_101_is_not_lost() {
    let node = Node::start("a");
    let first = setup();
    let _daemon = first.start(&[&node]);
    // "hi", masked with zeros.
    let early = [0x81, 0x82, 0, 0, 0, 0, b'h', b'i'];
    let (answer, mut stream) = shake(first.at, &[], &early);
    assert_eq!(answer.status(), 101);
    let mut said = [0; 7];
    std::io::Read::read_exact(&mut stream, &mut said).unwrap();
    assert_eq!(&said, &[0x81, 5, b'a', b':', b' ', b'h', b'i']);
    // And what a server says in one go with its 101.
    let node = Peer::start(|mut stream| {
        let request = Message::read(&mut stream).unwrap();
        let head = format!("{ACCEPTED}Sec-WebSocket-Accept: {}\r\n\r\n", accept_of(&request));
        stream.write_all(&[head.as_bytes(), &[0x81, 2, b'y', b'o']].concat()).unwrap();
        while Message::read(&mut stream).is_some() {}
    });
    let setup = setup();
    let _daemon = Daemon::start(PROGRAM, setup.at, &setup.text(&[node.at]), &[]);
    let mut socket = open(setup.at);
    assert_eq!(socket.read().unwrap(), Said::text("yo"));
}

#[test]
fn servers_that_answer_handshakes_wrongly_get_no_socket_through() {
    let asked = Arc::new(AtomicUsize::new(0));
    let bad = |head: fn(&Message) -> String| {
        let asked = asked.clone();
        Peer::start(move |mut stream| {
            let Some(request) = Message::read(&mut stream) else { return };
            asked.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(head(&request).as_bytes());
            while Message::read(&mut stream).is_some() {}
        })
    };
    let wrong_accept = bad(|_| format!("{ACCEPTED}Sec-WebSocket-Accept: wrong\r\n\r\n"));
    let uninvited = bad(|request| {
        let accept = accept_of(request);
        format!("{ACCEPTED}Sec-WebSocket-Protocol: chat\r\nSec-WebSocket-Accept: {accept}\r\n\r\n")
    });
    let declines = bad(|_| "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".into());
    let again = bad(|_| format!("{ACCEPTED}Sec-WebSocket-Accept: wrong\r\n\r\n"));
    let no = bad(|_| "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".into());
    for (node, other, status) in
        [(&wrong_accept, &again, 502), (&uninvited, &again, 502), (&declines, &no, 200)]
    {
        let one = setup();
        // There is somebody else to ask, who would answer as wrongly.
        let _daemon = Daemon::start(PROGRAM, one.at, &one.text(&[node.at, other.at]), &[]);
        let before = asked.load(Ordering::SeqCst);
        assert_eq!(open_with(one.at, &[]).err(), Some(status));
        assert_eq!(asked.load(Ordering::SeqCst), before + 1, "once a 101 has come, nobody else");
    }
    // 101 to a plain request: nothing of it may reach the client.
    let eager = bad(|_| format!("{ACCEPTED}\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let setup = setup();
    let daemon = Daemon::start(PROGRAM, setup.at, &setup.text(&[eager.at]), &[]);
    assert!((500..=504).contains(&daemon.send_request(&get("/plain")).unwrap().status()));
}

#[test]
fn a_handshake_is_tried_elsewhere_while_no_101_has_come() {
    let (dead, good) = (Node::start("dead"), Node::start("good"));
    dead.dead.store(true, Ordering::SeqCst);
    let setup = setup();
    let _daemon = setup.start(&[&dead, &good]);
    let mut all: Vec<Socket> = (0..8).map(|_| open(setup.at)).collect();
    assert!(all.iter_mut().all(|socket| send_and_receive(socket, "x") == "good: x"));
}

#[test]
fn with_all_sockets_taken_requests_go_on_and_handshakes_hear_when_to_come_back() {
    let node = Node::start("a");
    let plain = Server::start(|_, _| Some(ok_response("plain")));
    let more = format!(
        "[clusters.p]\nendpoints = [\"{}\"]\n[[routes]]\nprefix = \"/plain\"\ncluster = \"p\"\n",
        plain.at
    );
    let setup = Setup { limits: "sockets = 128\nwebsockets = 5", more, ..setup() };
    let daemon = setup.start(&[&node]);
    let mut sockets: Vec<Socket> = (0..5).map(|_| open(setup.at)).collect();
    let (refused, _) = shake(setup.at, &[], b"");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").unwrap().parse::<u32>().unwrap() >= 1);
    assert!(String::from_utf8_lossy(&refused.body).contains("sockets-full"));
    assert_eq!(daemon.send_request(&get("/plain")).unwrap().status(), 200);
    sockets.pop().unwrap().close(None).unwrap();
    wait_until("its place to be free", || open_with(setup.at, &[]).is_ok());
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "on") == "a: on"));
}

#[test]
fn a_member_that_comes_late_gets_its_share_of_the_sockets() {
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
fn a_removed_endpoints_sockets_move_and_the_rest_stays() {
    let (a, b) = (Node::start("a"), Node::start("b"));
    let cluster = "socket-spread = \"200ms\"";
    let setup = Setup { websocket: "{ resume = \"handshake\" }", cluster, ..setup() };
    let daemon = setup.start(&[&a, &b]);
    let mut sockets: Vec<Socket> = (0..10).map(|_| open(setup.at)).collect();
    sockets.iter_mut().for_each(|socket| drop(send_and_receive(socket, "x")));
    daemon.reload(&setup.text(&[b.peer.at]));
    wait_until("a to be left", || a.open.load(Ordering::SeqCst) == 0);
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "y") == "b: y"));
    // A cluster that is set up anew is another to the module; its sockets go on there.
    let again = Setup {
        cluster: "socket-spread = \"200ms\"\nmax-attempts = 2",
        more: String::new(),
        ..setup
    };
    let before = b.opened.load(Ordering::SeqCst);
    daemon.reload(&again.text(&[b.peer.at]));
    wait_until("all to be opened again", || b.opened.load(Ordering::SeqCst) == before + 10);
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "z") == "b: z"));
    wait_until("the old ones to be left", || b.open.load(Ordering::SeqCst) == 10);
}

#[test]
fn the_planned_end_closes_every_socket_between_messages() {
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

/// A client that asks and is answered over and over, to the end.
struct Steady {
    over: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Steady {
    fn start(at: SocketAddr) -> Self {
        let (over, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (until, count) = (over.clone(), answers.clone());
        let mut socket = open(at);
        let thread = thread::spawn(move || {
            while !until.load(Ordering::SeqCst) {
                assert!(send_and_receive(&mut socket, "on").ends_with(": on"));
                count.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(10));
            }
        });
        Steady { over, answers, thread: Some(thread) }
    }

    fn goes_on(&self) {
        let before = self.answers.load(Ordering::SeqCst);
        wait_until("answers", || self.answers.load(Ordering::SeqCst) > before + 2);
    }
}

impl Drop for Steady {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        let ended = self.thread.take().map(|thread| thread.join().is_ok());
        assert!(thread::panicking() || ended == Some(true));
    }
}

/// A frame with a mask of zeros.
fn masked(first: u8, payload: &[u8]) -> Vec<u8> {
    assert!(payload.len() < 126);
    [&[first, 0x80 | payload.len() as u8, 0, 0, 0, 0], payload].concat()
}

/// The close frame that a raw connection reads, if any, and whether nothing comes behind it.
fn close_of(stream: &mut TcpStream) -> Option<(u16, String)> {
    let bytes = read_to_close(stream);
    // Pings of the sidecar's may come before.
    let mut rest = &bytes[..];
    while let [first, length, tail @ ..] = rest {
        let (payload, behind) = tail.split_at_checked(usize::from(*length))?;
        if *first == 0x88 {
            assert!(behind.is_empty(), "bytes behind a close frame: {behind:?}");
            let code = u16::from_be_bytes([payload[0], payload[1]]);
            return Some((code, String::from_utf8_lossy(&payload[2..]).into_owned()));
        }
        rest = behind;
    }
    None
}

#[test]
fn a_client_that_breaks_the_protocol_is_told_how_and_its_server_that_it_is_over() {
    let node = Node::start("a");
    let setup = Setup { class: "longest-message = \"64KiB\"", ..setup() };
    let _daemon = setup.start(&[&node]);
    let huge = [&[0x82, 0xff][..], &60_000_000u64.to_be_bytes(), &[0; 4]].concat();
    let endless = [masked(0x01, b"a"), masked(0x00, b"").repeat(1100)].concat();
    for (bytes, code) in [
        (vec![0x81, 1, b'x'], 1002),
        (masked(0xf1, b"x"), 1002),
        (masked(0x83, b"x"), 1002),
        (masked(0x80, b"x"), 1002),
        (masked(0x88, &[3]), 1002),
        (masked(0x88, &[0x03, 0xee]), 1002),
        (masked(0x88, &[0x03, 0xe8, 0xff]), 1007),
        (huge, 1009),
        (endless, 1008),
    ] {
        let (answer, mut stream) = shake(setup.at, &[], b"");
        assert_eq!(answer.status(), 101);
        stream.write_all(&bytes).unwrap();
        assert_eq!(close_of(&mut stream).map(|close| close.0), Some(code), "{:x?}", &bytes[..7]);
    }
    wait_until("the server's ends", || node.open.load(Ordering::SeqCst) == 0);
    assert_eq!(node.opened.load(Ordering::SeqCst), 9);
}

#[test]
fn a_server_that_breaks_the_protocol_is_told_and_its_client_hears_1011() {
    let told = Arc::new(std::sync::Mutex::new(Vec::new()));
    let hears = told.clone();
    let node = Peer::start(move |mut stream| {
        let request = Message::read(&mut stream).unwrap();
        let head = format!("{ACCEPTED}Sec-WebSocket-Accept: {}\r\n\r\n", accept_of(&request));
        stream.write_all(&[head.as_bytes(), &[0x81, 2, b'o', b'k', 0x83, 0]].concat()).unwrap();
        *hears.lock().unwrap() = read_to_close(&mut stream);
    });
    let setup = setup();
    let _daemon = Daemon::start(PROGRAM, setup.at, &setup.text(&[node.at]), &[]);
    let mut socket = open(setup.at);
    assert_eq!(socket.read().unwrap(), Said::text("ok"), "what came before is not lost");
    assert_eq!(closed(&mut socket).0, 1011);
    wait_until("the server is told", || {
        let told = told.lock().unwrap();
        let Some(frame) = told.get(..8) else { return false };
        let code = u16::from_be_bytes([frame[6] ^ frame[2], frame[7] ^ frame[3]]);
        frame[0] == 0x88 && code == 1002
    });
}

#[test]
fn clients_that_read_nothing_dribble_or_vanish_hold_nobody_up() {
    let node = Node::start("a");
    let class = "ping-interval = \"200ms\"\nping-timeout = \"500ms\"\nstall-timeout = \"400ms\"\n\
                 message-timeout = \"600ms\"\nbuffer = \"16KiB\"";
    let setup = Setup { class, ..setup() };
    let daemon = setup.start(&[&node]);
    let sound = Steady::start(setup.at);
    let before = daemon.memory("VmRSS:");
    let deaf: Vec<Socket> = (0..50)
        .map(|_| {
            let mut socket = open(setup.at);
            socket.send(Said::text("flood")).unwrap();
            socket
        })
        .collect();
    wait_until("floods", || metric(setup.admin, "mintshelf_socket_queued_bytes") > 1e5);
    // 50 queues of 16 KiB and a reading each.
    assert!(metric(setup.admin, "mintshelf_socket_queued_bytes") <= 50.0 * 33_000.0);
    sound.goes_on();
    wait_until("their servers' ends", || node.open.load(Ordering::SeqCst) == 1);
    sound.goes_on();
    let more = daemon.memory("VmRSS:").saturating_sub(before);
    assert!(more < 16 << 20, "{more} bytes more");
    drop(deaf);
    // One byte after the other, and never a whole message.
    let (_, mut slow) = shake(setup.at, &[], b"");
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
    let (_, vanished) = shake(setup.at, &[], b"");
    wait_until("its server's end", || {
        node.opened.load(Ordering::SeqCst) == 53 && node.open.load(Ordering::SeqCst) == 1
    });
    drop(vanished);
    sound.goes_on();
}

#[test]
fn ten_thousand_sockets_come_and_go_and_leave_nothing() {
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
                    let (answer, mut stream) = shake(at, &[], b"");
                    assert_eq!(answer.status(), 101);
                    stream.write_all(&masked(0x88, &[3, 0xe8])).unwrap();
                    assert_eq!(close_of(&mut stream).map(|close| close.0), Some(1000));
                }
            })
        });
        threads.collect::<Vec<_>>().into_iter().for_each(|t| t.join().unwrap());
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
