//! Pages of the admin listener, and the errors that clients get.

use super::bindings::{answer, ask, connect, free_address, get, wait_until, Daemon, Peer, Server};
use super::fixtures::{assert_same, PROGRAM};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tungstenite::Message;

/// A cluster for plain requests, one for sockets, and one without a server that listens.
fn file(at: SocketAddr, admin: SocketAddr, servers: [SocketAddr; 3]) -> String {
    let [plain, live, other] = servers;
    format!(
        "listen = \"{at}\"\ntenant-header = \"x-member\"\n[admin]\naddress = \"{admin}\"\n\
         [tenants.t]\nheader-values = [\"t\"]\n\
         [clusters.plain]\nendpoints = [\"{plain}\"]\nconcurrency = 4\nqueue = 4\n\
         [clusters.live]\nendpoints = [\"{live}\", \"{other}\"]\n\
         [clusters.away]\nendpoints = [\"127.0.0.1:9\"]\n\
         [[routes]]\nname = \"plain\"\nprefix = \"/plain\"\ncluster = \"plain\"\n\
         [[routes]]\nname = \"away\"\nprefix = \"/away\"\ncluster = \"away\"\n\
         [[routes]]\nname = \"live\"\nprefix = \"/live\"\ncluster = \"live\"\n\
         websocket = {{ resume = \"handshake\" }}\n"
    )
}

/// A WebSocket server that echoes messages, and closes its connection at `break off`.
fn echo() -> Peer {
    Peer::start(|stream| {
        let Ok(mut socket) = tungstenite::accept(stream) else { return };
        while let Ok(message) = socket.read() {
            if message == Message::text("break off") || socket.send(message).is_err() {
                return;
            }
        }
    })
}

/// Opens a socket and receives the echo of one message.
fn socket(at: SocketAddr) -> tungstenite::WebSocket<std::net::TcpStream> {
    let address = format!("ws://{at}/live");
    let (mut socket, _) = tungstenite::client(address, connect(at).unwrap()).unwrap();
    socket.send(Message::text("hello")).unwrap();
    assert_eq!(socket.read().unwrap(), Message::text("hello"));
    socket
}

/// Runs the program with traffic of each kind, then checks it by its admin address.
fn with_traffic(check: impl FnOnce(&Daemon, SocketAddr)) {
    let plain = Server::start(|_, _| Some(answer("good")));
    let (live, other) = (echo(), echo());
    let (at, admin) = (free_address(), free_address());
    let text = file(at, admin, [plain.address, live.address, other.address]);
    let daemon = Daemon::start(PROGRAM, at, &text, &[]);
    assert_eq!(daemon.send_request(&get("/plain")).unwrap().status(), 200);
    assert_eq!(daemon.send_request(&get("/nowhere")).unwrap().status(), 404);
    let mut closed = socket(at);
    closed.close(None).unwrap();
    while closed.read().is_ok() {}
    let mut migrated = socket(at);
    migrated.send(Message::text("break off")).unwrap();
    daemon.reload(&text);
    for counter in ["closed", "moved"] {
        wait_until(counter, || {
            page(admin, "/-/metrics").contains(&format!("mintshelf_sockets_{counter}_total{{"))
        });
    }
    check(&daemon, admin);
}

fn page(admin: SocketAddr, path: &str) -> String {
    String::from_utf8(ask(admin, &get(path)).unwrap().body).unwrap()
}

/// Names and types of all metrics, and the label keys of each sample.
fn outline(metrics: &str) -> String {
    let lines = metrics.lines().filter(|line| !line.starts_with("# HELP "));
    let outline = lines.map(|line| match line.split_once('{') {
        Some((name, rest)) if !line.starts_with('#') => {
            let labels = rest.split('}').next().unwrap().split(',');
            let keys: Vec<&str> = labels.map(|label| label.split('=').next().unwrap()).collect();
            format!("{name}{{{}}}", keys.join(","))
        }
        _ if line.starts_with('#') => line.to_string(),
        _ => line.split(' ').next().unwrap().to_string(),
    });
    let sorted: BTreeSet<String> = outline.collect();
    sorted.into_iter().map(|line| line + "\n").collect()
}

/// The keys of all objects, with their paths.
fn keys(value: &Value, path: &str, into: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = format!("{path}.{name}");
                into.insert(path.clone());
                keys(field, &path, into);
            }
        }
        Value::Array(items) => items.iter().for_each(|item| keys(item, &format!("{path}[]"), into)),
        _ => {}
    }
}

#[test]
fn figures_have_the_same_names_and_labels() {
    with_traffic(|_, admin| assert_same("metrics.txt", &outline(&page(admin, "/-/metrics"))));
}

#[test]
fn what_is_in_force_has_the_same_keys() {
    with_traffic(|_, admin| {
        let value: Value = serde_json::from_str(&page(admin, "/-/config")).unwrap();
        let mut found = BTreeSet::new();
        keys(&value, "", &mut found);
        let lines: String = found.into_iter().map(|path| path + "\n").collect();
        assert_same("in-force.txt", &lines);
        assert_eq!(page(admin, "/-/ready"), "ready\n");
    });
}

#[test]
fn clients_are_told_the_same_errors() {
    with_traffic(|daemon, admin| {
        let mut errors = String::new();
        let requests = [
            ("no route", daemon.address, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n"),
            ("nobody serves", daemon.address, "GET /away HTTP/1.1\r\nHost: h\r\n\r\n"),
            ("no host", daemon.address, "GET /plain HTTP/1.1\r\n\r\n"),
            ("no tunnel", daemon.address, "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n"),
            (
                "another version of WebSocket",
                daemon.address,
                "GET /live HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\
                 Sec-WebSocket-Version: 12\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
            ),
            ("no page", admin, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"),
            ("only told", admin, "POST /-/ready HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"),
        ];
        for (label, at, request) in requests {
            let response = ask(at, request.as_bytes()).unwrap();
            let kind = response.header("content-type").unwrap_or("");
            let body = String::from_utf8(response.body.clone()).unwrap();
            errors.push_str(&format!("{label}: {} {kind}\n  {body}", response.status()));
        }
        assert_same("client-errors.txt", &errors);
    });
}
