//! WebSocket clients, and a daemon with a route for them.

use crate::echo_server::EchoServer;
use mintshelf_test_support::{connect, free_address, Daemon};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use tungstenite::handshake::client::{generate_key, Request};
use tungstenite::Message as WsMessage;
use tungstenite::WebSocket;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// Longest wait of a read; tests wait for events, not for this.
pub const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// What differs between the files of tests: one cluster, and a route for web sockets.
pub struct Setup {
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub limits: &'static str,
    pub class: &'static str,
    pub cluster: &'static str,
    pub websocket: &'static str,
    pub more: String,
}

pub fn default_setup() -> Setup {
    Setup {
        address: free_address(),
        admin: free_address(),
        limits: "",
        class: "",
        cluster: "",
        websocket: "true",
        more: String::new(),
    }
}

impl Setup {
    pub fn text(&self, servers: &[SocketAddr]) -> String {
        let Setup { address, admin, limits, class, cluster, websocket, more } = self;
        let servers: Vec<String> = servers.iter().map(|address| format!("\"{address}\"")).collect();
        let servers = servers.join(", ");
        format!(
            "listen = \"{address}\"\ntenant-header = \"x-member\"\n[limits]\n{limits}\n\
             [admin]\naddress = \"{admin}\"\n[classes.live]\naim = \"1s\"\ndeadline = \"5s\"\n\
             [classes.live.sockets]\n{class}\n[clusters.c]\nendpoints = [{servers}]\n\
             connect-timeout = \"2s\"\n{cluster}\n\
             [[routes]]\nname = \"live\"\nclass = \"live\"\ncluster = \"c\"\nwebsocket = {websocket}\n{more}"
        )
    }

    pub fn start(&self, servers: &[&EchoServer]) -> Daemon {
        let servers: Vec<_> = servers.iter().map(|server| server.peer.address).collect();
        Daemon::start(PROGRAM, self.address, &self.text(&servers), &[])
    }
}

pub type Socket = WebSocket<TcpStream>;

pub fn request(address: SocketAddr, headers: &[(&str, &str)]) -> Request {
    let mut request = Request::builder()
        .uri(format!("ws://{address}/live?device=7"))
        .header("host", address.to_string())
        .header("connection", "Upgrade")
        .header("upgrade", "websocket")
        .header("sec-websocket-version", "13")
        .header("sec-websocket-key", generate_key());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap()
}

/// Opens a socket; the status of the response if it is another than 101.
pub fn open_with(address: SocketAddr, headers: &[(&str, &str)]) -> Result<Socket, u16> {
    let stream = connect(address).expect("a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    match tungstenite::client(request(address, headers), stream) {
        Ok((socket, _)) => Ok(socket),
        Err(tungstenite::HandshakeError::Failure(tungstenite::Error::Http(response))) => {
            Err(response.status().as_u16())
        }
        Err(error) => panic!("{error}"),
    }
}

pub fn open(address: SocketAddr) -> Socket {
    open_with(address, &[]).expect("a socket")
}

/// Sends a text and receives the next one; answers pings.
pub fn send_and_receive(socket: &mut Socket, text: &str) -> String {
    socket.send(WsMessage::text(text)).unwrap();
    loop {
        match socket.read().unwrap() {
            WsMessage::Text(text) => return text.to_string(),
            WsMessage::Ping(_) => socket.flush().unwrap(),
            other => panic!("{other:?}"),
        }
    }
}

/// Reads to the close frame; its code and reason.
pub fn read_close(socket: &mut Socket) -> (u16, String) {
    loop {
        match socket.read() {
            Ok(WsMessage::Close(Some(close))) => {
                return (close.code.into(), close.reason.to_string())
            }
            Ok(WsMessage::Close(None)) => return (1005, String::new()),
            Ok(_) => {}
            Err(error) => return (1006, error.to_string()),
        }
    }
}

/// Reads to the close frame on a thread of its own.
pub fn spawn_reader(mut socket: Socket) -> thread::JoinHandle<(u16, String)> {
    thread::spawn(move || read_close(&mut socket))
}
