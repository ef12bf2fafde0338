//! Stand-ins for tests: the whole program between a client, servers and discovery on loopback
//! sockets. Each test has an address of its own; waits are for conditions.

pub mod relay;

use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No condition takes so long, even on a busy machine.
pub const LONG: Duration = Duration::from_secs(60);

/// An address that no other test has. Its port lies under those that the kernel
/// gives out. Trying it first would not help: a child that another test starts
/// just then holds a copy of the socket until it runs its program.
pub fn free_address() -> SocketAddr {
    const PORT: u16 = 19_007;
    const BY_PORT: u16 = 250;
    static LAST: AtomicU16 = AtomicU16::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let host = (number % BY_PORT) as u8 + 1;
    let ip = Ipv4Addr::new(127, 10 + (process >> 8) as u8 % 200, process as u8, host);
    (ip, PORT + number / BY_PORT).into()
}

/// Waits until something holds; fails the test if it never does.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < end, "never came about: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Accepts connections until the test ends, each in a thread of its own.
fn serve(at: SocketAddr, serve_one: impl Fn(TcpStream) + Send + Sync + 'static) -> Closing {
    let listener = TcpListener::bind(at).unwrap();
    let over = Arc::new(AtomicBool::new(false));
    let (seen, serve_one) = (over.clone(), Arc::new(serve_one));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if seen.load(Ordering::Relaxed) {
                return;
            }
            let serve_one = serve_one.clone();
            thread::spawn(move || serve_one(stream));
        }
    });
    Closing { at, over }
}

/// What stand-ins wait at while it is shut.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    /// One that is shut.
    pub fn shut() -> Self {
        let gate = Gate::default();
        gate.set(true);
        gate
    }

    /// Shuts it, or opens it for all that wait.
    pub fn set(&self, shut: bool) {
        *self.0 .0.lock().unwrap() = shut;
        self.0 .1.notify_all();
    }

    /// Waits until it is open.
    pub fn pass(&self) {
        let shut = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_timeout_while(shut, LONG, |shut| *shut).unwrap());
    }
}

/// A listener whose queue is full: the kernel drops the first packet of a connection to it,
/// which is sent again a second later. Back comes what fills it, too.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let at = free_address();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&at.into()).unwrap();
    socket.listen(0).unwrap();
    let mut crowd = Vec::new();
    let quick = Duration::from_millis(300);
    while let Ok(stream) = TcpStream::connect_timeout(&at, quick) {
        crowd.push(stream);
        assert!(crowd.len() < 100, "its queue has no end");
    }
    (socket.into(), crowd)
}

/// How discovery lists a server that is up.
pub fn entry(uid: &str, at: SocketAddr) -> Value {
    json!({"uid": uid, "endpoint": at.to_string(), "state": "SERVING"})
}

/// Stops a listener when dropped.
struct Closing {
    at: SocketAddr,
    over: Arc<AtomicBool>,
}

impl Drop for Closing {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.at);
    }
}

/// One HTTP message: its head, up to the blank line, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Up to and with the blank line.
    pub head: String,
    /// What its length announced.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value, the first of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = |line: &&str| line.split(':').next().unwrap().eq_ignore_ascii_case(name);
        let line = self.head.lines().skip(1).find(named)?;
        Some(line.split_once(':').unwrap().1.trim())
    }

    /// Of an answer.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Of a request, with its query.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    /// Of a call to discovery: the revision that what it asks for is newer than.
    pub fn after(&self) -> Option<u64> {
        let (_, rest) = self.path().split_once("after=")?;
        Some(rest.split('&').next().unwrap().parse().unwrap())
    }

    /// Reads the next message that has a length; none at the connection's end.
    pub fn read(stream: &mut TcpStream) -> Option<Message> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).ok()? == 0 {
                return None;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut message = Message { head, body: Vec::new() };
        let length = message.header("content-length").map_or(0, |l| l.parse().unwrap());
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// A GET of a path.
pub fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").into_bytes()
}

/// An answer with a length.
pub fn answer(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A peer whose connections a test handles byte by byte.
pub struct Peer {
    /// Its address.
    pub at: SocketAddr,
    _closing: Closing,
}

impl Peer {
    /// Each connection goes to `serve_one`, in a thread of its own.
    pub fn start(serve_one: impl Fn(TcpStream) + Send + Sync + 'static) -> Self {
        let at = free_address();
        Peer { at, _closing: serve(at, serve_one) }
    }
}

/// A server: it notes each request and writes what it is told for it.
pub struct Server {
    /// Its address.
    pub at: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
    /// Connections accepted.
    pub connections: Arc<Mutex<usize>>,
    _closing: Closing,
}

impl Server {
    /// `respond` gives an answer's bytes; `None` leaves the request unanswered.
    pub fn start(
        respond: impl Fn(&Message, usize) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> Self {
        let at = free_address();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(Mutex::new(0));
        let (noted, opened) = (seen.clone(), connections.clone());
        let closing = serve(at, move |mut stream| {
            *opened.lock().unwrap() += 1;
            while let Some(request) = Message::read(&mut stream) {
                let number = {
                    let mut noted = noted.lock().unwrap();
                    noted.push(request.clone());
                    noted.len()
                };
                let bytes = respond(&request, number);
                if bytes.is_some_and(|bytes| stream.write_all(&bytes).is_err()) {
                    return;
                }
            }
        });
        Server { at, seen, connections, _closing: closing }
    }

    /// The requests that came, in order.
    pub fn seen(&self) -> Vec<Message> {
        self.seen.lock().unwrap().clone()
    }

    /// How discovery lists it.
    pub fn entry(&self, uid: &str) -> Value {
        entry(uid, self.at)
    }
}

/// A list's version and entries.
type Versioned = (u64, Vec<Value>);

/// Discovery: one list, and watches that wait until it changes.
pub struct Discovery {
    /// Its address.
    pub at: SocketAddr,
    list: Arc<(Mutex<Versioned>, Condvar)>,
    /// Calls answered.
    pub calls: Arc<Mutex<usize>>,
    _closing: Closing,
}

impl Discovery {
    /// Starts it with a list.
    pub fn start(rev: u64, entries: Vec<Value>) -> Self {
        Self::start_at(free_address(), rev, entries)
    }

    /// The same at an address that was free so far.
    pub fn start_at(at: SocketAddr, rev: u64, entries: Vec<Value>) -> Self {
        let list = Arc::new((Mutex::new((rev, entries)), Condvar::new()));
        let calls = Arc::new(Mutex::new(0));
        let (shared, counted) = (list.clone(), calls.clone());
        let closing = serve(at, move |mut stream| {
            while let Some(call) = Message::read(&mut stream) {
                let after = call.after();
                let (lock, changed) = &*shared;
                let held = lock.lock().unwrap();
                // A watch waits for news, or a while.
                let wait = Duration::from_secs(u64::from(after == Some(held.0)) * 5);
                let rev = held.0;
                let (held, _) = changed.wait_timeout_while(held, wait, |l| l.0 == rev).unwrap();
                let list = json!({"rev": held.0, "all": true, "targets": held.1});
                drop(held);
                *counted.lock().unwrap() += 1;
                if stream.write_all(&answer(&list.to_string())).is_err() {
                    return;
                }
            }
        });
        Discovery { at, list, calls, _closing: closing }
    }

    /// Changes the list, and tells those that wait.
    pub fn set(&self, entries: Vec<Value>) {
        let mut held = self.list.0.lock().unwrap();
        *held = (held.0 + 1, entries);
        self.list.1.notify_all();
    }
}

/// Numbers of a process, from /proc.
pub trait Process {
    /// Its id.
    fn pid(&self) -> u32;

    /// Sends a signal by name.
    fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Descriptors open now.
    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap().count()
    }

    /// The number in a line of its status.
    fn status(&self, line: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find(|l| l.starts_with(line)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// A line of its status that holds a size, in bytes.
    fn memory(&self, line: &str) -> usize {
        self.status(line) << 10
    }

    /// The most memory it ever held, in bytes.
    fn peak_memory(&self) -> usize {
        self.memory("VmHWM:")
    }
}

/// The program with an operator's file, ended when the test is.
pub struct Daemon {
    /// Its first listener.
    pub at: SocketAddr,
    /// The process.
    pub child: Child,
    /// Its file.
    pub file: PathBuf,
    errors: Arc<Mutex<String>>,
}

impl Process for Daemon {
    fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Daemon {
    /// Starts the program (its path) with a file of this text and waits until it listens
    /// at `at`, which the text names.
    pub fn start(program: &str, at: SocketAddr, text: &str, more: &[&str]) -> Self {
        let name = at.to_string().replace(':', "-");
        let file = std::env::temp_dir().join(format!("mintshelf-{name}.toml"));
        std::fs::write(&file, text).unwrap();
        let mut child = Command::new(program)
            .arg("run")
            .arg("--config")
            .arg(&file)
            .args(more)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let errors = Arc::new(Mutex::new(String::new()));
        let (mut stderr, said) = (child.stderr.take().unwrap(), errors.clone());
        thread::spawn(move || {
            let mut buffer = [0; 4096];
            while let Ok(count @ 1..) = stderr.read(&mut buffer) {
                said.lock().unwrap().push_str(&String::from_utf8_lossy(&buffer[..count]));
            }
        });
        let daemon = Daemon { at, child, file, errors };
        wait_until("the daemon listens", || daemon.said().contains("listening"));
        daemon
    }

    /// What it wrote to standard error so far.
    pub fn said(&self) -> String {
        self.errors.lock().unwrap().clone()
    }

    /// Replaces the file, sends SIGHUP and waits until it says what came of it.
    pub fn reload(&self, text: &str) {
        let told = |said: &str| {
            said.matches("configuration applied").count()
                + said.matches("configuration rejected").count()
        };
        let before = told(&self.said());
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
        wait_until("the file is read again", || told(&self.said()) > before);
    }

    /// One request on a new connection, and its answer.
    pub fn ask(&self, request: &[u8]) -> Option<Message> {
        ask(self.at, request)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The program, ended when the test is.
pub struct Sidecar {
    /// Its address.
    pub at: SocketAddr,
    /// The process.
    pub child: Child,
    /// Its configuration file.
    pub file: PathBuf,
    /// What that file held at the start.
    pub config: Value,
}

/// A configuration with three classes: `safe`, `keyed` and `unsafe`.
pub fn config(discovery: SocketAddr, known: Vec<Value>) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "goal-time": 4_000_000_000u64,
            "deadline": 8_000_000_000u64, "worth": 1, "memory-span": 20_000_000_000u64})
    };
    json!({
        "name": "n0", "listen": free_address().to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"memory_mb": 32, "sockets": 128},
        "known": {"rev": 1, "all": true, "targets": known},
        "settings": {
            "self-index": 0, "balancers": 1, "tick": 5_000_000, "registry-mode": "subscribe",
            "classes": [class("safe", "pure"), class("keyed", "token"),
                class("unsafe", "side_effect")],
            "tenants": [{"name": "acme", "quota-rps": 1000.0, "share": 1.0}],
            "invariants": {"grace-to-answer": 15_000_000, "stop-sending-within": 250_000_000,
                "ask-within": 1_000_000_000, "cold-from": 0.3, "cold": 0, "fall-multiple": 3,
                "tip-after": 2_000_000_000u64},
            "limits": {"cancel": true, "probes": false, "peers": false, "retry-after": true,
                "parallel-tries": false, "max-attempts": 6, "connect-timeout": 200_000_000,
                "conn-idle": 15_000_000_000u64}
        }
    })
}

/// Gives all classes of a configuration this deadline.
pub fn set_deadlines(config: &mut Value, deadline: Duration) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadline"] = json!(deadline.as_nanos() as u64);
    }
}

impl Process for Sidecar {
    fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Sidecar {
    /// Starts the program (its path) and waits until it says that it is ready.
    pub fn start(program: &str, config: Value) -> Self {
        let at: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
        let file = std::env::temp_dir()
            .join(format!("mintshelf-{}.json", at.to_string().replace(':', "-")));
        std::fs::write(&file, config.to_string()).unwrap();
        let child =
            Command::new(program).env("RELAY_CONFIG", &file).stderr(Stdio::null()).spawn().unwrap();
        let sidecar = Sidecar { at, child, file, config };
        let ready = || ask(at, b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        wait_until("the sidecar is ready", || ready().is_some_and(|a| a.status() == 200));
        sidecar
    }

    /// Replaces the file and sends SIGHUP.
    pub fn reload(&mut self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
    }

    /// Whether the process still runs.
    pub fn running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// One request on a new connection, and its answer.
    pub fn ask(&self, request: &[u8]) -> Option<Message> {
        ask(self.at, request)
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Writes bytes on a new connection and reads one answer; none if it is closed.
pub fn ask(at: SocketAddr, request: &[u8]) -> Option<Message> {
    let mut stream = connect(at)?;
    // A close may cross what is written.
    let _ = stream.write_all(request);
    Message::read(&mut stream)
}

/// Figures of a daemon whose names begin so, added up; `admin` is where it gives them out.
pub fn figure(admin: SocketAddr, name: &str) -> f64 {
    let got = ask(admin, &get("/-/metrics")).unwrap();
    let text = String::from_utf8_lossy(&got.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap()).sum()
}

/// A new connection, whose reads give up at last.
pub fn connect(at: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(LONG)).unwrap();
    Some(stream)
}

/// Ends a connection by a reset, as of a program that has died with bytes unread.
pub fn socket_reset(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Waits until the other side closes or resets; what came before that.
pub fn read_to_close(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return bytes,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return bytes,
            Err(e) => panic!("neither closed nor reset: {e}"),
        }
    }
}

/// A request of a class, with an id of its own.
pub fn request(class: &str, id: &str) -> Vec<u8> {
    patient(class, id, 8_000)
}

/// The same of a client that waits for so many milliseconds.
pub fn patient(class: &str, id: &str, ms: u64) -> Vec<u8> {
    format!(
        "GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {ms}\r\n\r\n"
    )
    .into_bytes()
}
