//! WebSocket through the real program, with an independent implementation at both ends.

// The errors of the implementation at the ends are large, and not of our making.
#![allow(clippy::result_large_err)]

use mintshelf_testkit::*;
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

fn ask(socket: &mut Socket, text: &str) -> String {
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
    assert_eq!(ask(&mut socket, "hello"), "a: hello");
    let long = "x".repeat(300_000);
    assert_eq!(ask(&mut socket, &long), format!("a: {long}"));
    assert_eq!(figure(setup.admin, "mintshelf_sockets{cluster=\"c\"}"), 1.0);
    socket.close(None).unwrap();
    assert_eq!(closed(&mut socket), (1005, String::new()));
    wait_until("the server's end", || node.open.load(Ordering::SeqCst) == 0);
    wait_until("the figures", || figure(setup.admin, "mintshelf_sockets{cluster=\"c\"}") == 0.0);
    let ended = "mintshelf_sockets_closed_total{by=\"client\",code=\"1005\"}";
    wait_until("who ended it", || figure(setup.admin, ended) == 1.0);
}

#[test]
fn a_dead_servers_sockets_go_on_at_another_and_their_clients_see_nothing() {
    let (a, b) = (Node::start("a"), Node::start("b"));
    let setup = Setup { websocket: "{ resume = \"first-message\" }", ..setup() };
    let _daemon = setup.start(&[&a, &b]);
    let mut sockets: Vec<Socket> = (0..12).map(|_| open(setup.at)).collect();
    let at: Vec<String> = sockets.iter_mut().map(|s| ask(s, "first")).collect();
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
        assert_eq!(ask(socket, "second"), "b: second");
    }
    wait_until("the figures", || {
        figure(setup.admin, "mintshelf_sockets_moved_total{cluster=\"c\"}") == at_a as f64
    });
}

#[test]
fn a_silent_servers_sockets_are_closed_with_advice_and_requests_go_on() {
    let (a, b) = (Node::start("a"), Node::start("b"));
    let class = "ping-interval = \"100ms\"\nping-timeout = \"300ms\"";
    let setup = Setup { class, cluster: "socket-spread = \"500ms\"", ..setup() };
    let _daemon = setup.start(&[&a, &b]);
    let mut sockets: Vec<Socket> = (0..12).map(|_| open(setup.at)).collect();
    let at: Vec<String> = sockets.iter_mut().map(|s| ask(s, "x")).collect();
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
        figure(setup.admin, "mintshelf_sockets{cluster=\"c\"}") == b_has as f64
    });
    assert_eq!(b.open.load(Ordering::SeqCst), b_has);
    a.frozen.store(false, Ordering::SeqCst);
}
