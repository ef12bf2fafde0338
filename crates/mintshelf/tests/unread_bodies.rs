//! Requests that get their responses before their bodies are read: no part of such a body may be
//! taken for a request, and each further request on the connection gets its own response.

use mintshelf_test_support::{
    connect, free_address, get, ok_response, read_some, read_to_close, request, start_with_server,
    Daemon, Message, Peer, Process as _, Server,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
/// Maximum number of bytes that are discarded to keep a connection, by `docs/limits.md`.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Value of `X-Request` in requests that no client sends: they stand in bodies.
const RECORDED: &str = "recorded";
/// Value of `X-Request` in the request that follows on the connection.
const NEXT: &str = "next";
const CHUNK_BYTES: usize = 4096;
/// Time in which a request that was found in a body would reach its server.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// When a client sends the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sending {
    WithHead,
    /// Behind the head of the response.
    Late,
    /// Half with the head, the other half behind the head of the response.
    Split,
}

#[derive(Debug, Clone, Copy)]
struct Upload {
    body_bytes: usize,
    is_chunked: bool,
    expects_continue: bool,
    sending: Sending,
}

/// All forms of an upload: around the sizes at which the program treats connections differently.
fn uploads() -> Vec<Upload> {
    let mut uploads = Vec::new();
    for body_bytes in [200, 5_000, 9_000, 16_000, 40_000, 200_000, 400_000] {
        for is_chunked in [false, true] {
            for sending in [Sending::WithHead, Sending::Late, Sending::Split] {
                uploads.push(Upload { body_bytes, is_chunked, expects_continue: false, sending });
            }
            let sending = Sending::Late;
            uploads.push(Upload { body_bytes, is_chunked, expects_continue: true, sending });
        }
    }
    uploads
}

impl Upload {
    /// An upload with a length, without `Expect`.
    fn plain(body_bytes: usize, sending: Sending) -> Self {
        Upload { body_bytes, is_chunked: false, expects_continue: false, sending }
    }

    fn head(&self, start: &str, path: &str) -> Vec<u8> {
        let framing = match self.is_chunked {
            true => "Transfer-Encoding: chunked".to_string(),
            false => format!("Content-Length: {}", self.body_bytes),
        };
        let expect = if self.expects_continue { "Expect: 100-continue\r\n" } else { "" };
        format!(
            "{start} {path} HTTP/1.1\r\nHost: h\r\nX-Request: upload\r\n{expect}{framing}\r\n\r\n"
        )
        .into_bytes()
    }

    /// Blank lines, and at the end a request that nobody sends.
    fn body(&self, recorded: &[u8]) -> Vec<u8> {
        let mut data = b"\r\n".repeat(self.body_bytes / 2);
        data.truncate(self.body_bytes - recorded.len());
        data.extend_from_slice(recorded);
        data.resize(self.body_bytes, b'\n');
        if !self.is_chunked {
            return data;
        }
        let chunks = data.chunks(CHUNK_BYTES).flat_map(|chunk| {
            [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat()
        });
        chunks.chain(*b"0\r\n\r\n").collect()
    }

    /// Whether the connection is kept, by `docs/limits.md`; `None` if it depends on how much has
    /// arrived when the response begins.
    fn keeps_connection(&self) -> Option<bool> {
        match self.sending {
            _ if self.body_bytes > MAX_DISCARDED_BYTES && !self.is_chunked => Some(false),
            _ if self.expects_continue => Some(false),
            Sending::Late => Some(!self.is_chunked),
            Sending::WithHead | Sending::Split if self.is_chunked => None,
            Sending::WithHead | Sending::Split => Some(true),
        }
    }
}

/// An upload that is followed by another request on its connection.
struct Play<'a> {
    upload: Upload,
    head: Vec<u8>,
    recorded: &'a [u8],
    next: &'a [u8],
}

impl Play<'_> {
    /// Sends the upload and the next request; returns the response to the upload, and the response
    /// to the next request if the connection is kept.
    fn run(&self, stream: &mut TcpStream) -> (Message, Option<Message>) {
        let body = self.upload.body(self.recorded);
        let early = match self.upload.sending {
            Sending::WithHead => body.len(),
            Sending::Late => 0,
            Sending::Split => body.len() / 2,
        };
        // The other side may respond and close before it has read everything.
        let _ = stream.write_all(&[&self.head, &body[..early]].concat());
        let response = Message::read(stream).expect("a response to the upload");
        let _ = stream.write_all(&body[early..]);
        let _ = stream.write_all(self.next);
        if response.header("connection") == Some("close") {
            let rest = read_to_close(stream);
            assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
            return (response, None);
        }
        let next = Message::read(stream).expect("a response to the next request");
        (response, Some(next))
    }
}

/// A request of the daemon's clients with an id, which its server sends back.
fn gateway_request(method: &str, path: &str, id: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request: {id}\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

fn echo(request: &Message, _number: usize) -> Option<Vec<u8>> {
    Some(ok_response(request.header("x-request").unwrap_or("none")))
}

/// The ids of the requests that a server has got, after a pause for late ones.
fn ids_of(server: &Server) -> Vec<String> {
    thread::sleep(SETTLING_TIME);
    let requests = server.requests();
    requests.iter().map(|request| request.header("x-request").unwrap_or("").to_string()).collect()
}

/// A server that responds with 413 to the head of the one request of each connection, and then reads
/// to the end.
fn early_server(records: Arc<Mutex<String>>) -> Peer {
    Peer::start(move |mut stream| {
        let Some(request) = Message::read_head(&mut stream) else { return };
        records.lock().unwrap().push_str(&request.head);
        let response = b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\
                         Connection: close\r\n\r\n";
        let _ = stream.write_all(response);
        while matches!(read_some(&mut stream, &mut [0; 4096]), Ok(1..)) {}
    })
}

/// A daemon with a route for each way in which a request is answered before its body is read.
struct Fixture {
    /// The server of most routes.
    server: Server,
    /// The heads that the server of `/early` has got.
    early_heads: Arc<Mutex<String>>,
    _early: Peer,
    daemon: Daemon,
    admin: SocketAddr,
}

impl Fixture {
    fn start() -> Self {
        let server = Server::start(echo);
        let early_heads = Arc::default();
        let early = early_server(Arc::clone(&early_heads));
        let admin = free_address();
        let daemon = start_daemon(&server, &early, admin);
        Fixture { server, early_heads, _early: early, daemon, admin }
    }

    /// Begins the shutdown behind a first request on a connection, and returns the connection.
    fn shut_down_with_open_connection(&self) -> TcpStream {
        let mut stream = connect(self.daemon.address).unwrap();
        stream.write_all(&get("/gone")).unwrap();
        assert_eq!(Message::read(&mut stream).unwrap().status(), 410);
        self.daemon.signal("TERM");
        thread::sleep(SETTLING_TIME);
        stream
    }

    /// Checks that the server has run what was served of [`NEXT`], and nothing of a body.
    fn assert_only_next_was_run(&self, served: usize) {
        let ids = ids_of(&self.server);
        assert!(!ids.contains(&RECORDED.to_string()), "{ids:?}");
        assert_eq!(ids.iter().filter(|id| *id == NEXT).count(), served);
    }
}

fn start_daemon(server: &Server, early: &Peer, admin: SocketAddr) -> Daemon {
    let address = free_address();
    let text = format!(
        "listen = \"{address}\"\n[admin]\naddress = \"{admin}\"\n\
         [classes.unsafe]\neffect = \"unsafe\"\n\
         [clusters.all]\nendpoints = [\"{}\"]\n[clusters.early]\nendpoints = [\"{}\"]\n\
         [[routes]]\nname = \"limited\"\nprefix = \"/limited\"\nclass = \"unsafe\"\n\
         cluster = \"all\"\nlimits = {{ rate = \"1/m\", burst = 1 }}\n\
         [[routes]]\nname = \"gone\"\nprefix = \"/gone\"\nrespond = {{ status = 410 }}\n\
         [[routes]]\nname = \"moved\"\nprefix = \"/moved\"\nredirect = {{ path = \"/new\" }}\n\
         [[routes]]\nname = \"early\"\nprefix = \"/early\"\nclass = \"unsafe\"\ncluster = \"early\"\n\
         [[routes]]\nname = \"all\"\nprefix = \"/devices\"\nclass = \"unsafe\"\ncluster = \"all\"\n",
        server.address, early.address,
    );
    let daemon = Daemon::start(PROGRAM, address, &text, &[]);
    let first = gateway_request("POST", "/limited", "first");
    assert_eq!(daemon.send_request(&first).unwrap().status(), 200);
    daemon
}

// Guards against `review/6`: the rest of an unread body was run as a request, and later requests on
// the connection got the responses to others.
#[test]
fn no_part_of_an_unread_body_is_run_by_the_daemon() {
    let fixture = Fixture::start();
    let recorded = gateway_request("POST", "/devices/7/flash", RECORDED);
    let next = gateway_request("GET", "/devices/7", NEXT);
    let mut served = 0;
    for (path, status) in
        [("/limited", 429), ("/gone", 410), ("/moved", 302), ("/none", 404), ("/a/../b", 400)]
    {
        for upload in uploads() {
            let head = upload.head("POST", path);
            let play = Play { upload, head, recorded: &recorded, next: &next };
            let (response, following) = play.run(&mut connect(fixture.daemon.address).unwrap());
            assert_eq!(response.status(), status, "{path} {upload:?}");
            let is_kept = following.is_some();
            assert_eq!(is_kept, upload.keeps_connection().unwrap_or(is_kept), "{path} {upload:?}");
            if let Some(following) = following {
                let body = String::from_utf8_lossy(&following.body).into_owned();
                assert_eq!((following.status(), &*body), (200, NEXT), "{path} {upload:?}");
                served += 1;
            }
        }
    }
    fixture.assert_only_next_was_run(served);
}

/// Maximum time that a client which stops within a body may keep its connection.
const STOPPED_BODY_MAX: Duration = Duration::from_secs(3);

// Guards against a client that stops within a body that is discarded, and stays.
#[test]
fn a_client_that_stops_within_a_discarded_body_is_closed_in_time() {
    let fixture = Fixture::start();
    let upload = Upload::plain(9_000, Sending::Late);
    let mut stream = connect(fixture.daemon.address).unwrap();
    stream.write_all(&gateway_request("GET", "/devices/7", "first")).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    stream.write_all(&[upload.head("POST", "/gone"), b"x".repeat(100)].concat()).unwrap();
    let response = Message::read(&mut stream).unwrap();
    assert_eq!((response.status(), response.header("connection")), (410, None));
    let stopped_at = Instant::now();
    assert!(read_to_close(&mut stream).is_empty());
    let waited = stopped_at.elapsed();
    assert!(waited < STOPPED_BODY_MAX, "{waited:?}");
}

// Guards against clients that stop within such bodies using up all connections: they have their
// responses, and give way to others.
#[test]
fn clients_that_stop_within_discarded_bodies_give_way_to_others() {
    const SOCKETS: usize = 128;
    let address = free_address();
    let text = format!(
        "listen = \"{address}\"\n[limits]\nsockets = {SOCKETS}\nhead-timeout = \"20s\"\n\
         [[routes]]\nname = \"gone\"\nrespond = {{ status = 410 }}\n"
    );
    let daemon = Daemon::start(PROGRAM, address, &text, &[]);
    let upload = Upload::plain(9_000, Sending::Late);
    let request = [upload.head("POST", "/"), b"x".repeat(100)].concat();
    let started_at = Instant::now();
    let mut stopped = Vec::new();
    for _ in 0..2 * SOCKETS {
        let mut stream = connect(daemon.address).unwrap();
        stream.write_all(&request).unwrap();
        assert_eq!(Message::read(&mut stream).expect("a response").status(), 410);
        stopped.push(stream);
    }
    assert!(started_at.elapsed() < Duration::from_secs(10), "{:?}", started_at.elapsed());
}

// The same where a server responds while the upload still goes on.
#[test]
fn no_part_of_an_upload_that_its_server_answers_early_is_run() {
    let fixture = Fixture::start();
    let recorded = gateway_request("POST", "/devices/7/flash", RECORDED);
    let next = gateway_request("GET", "/devices/7", NEXT);
    let mut served = 0;
    for upload in uploads() {
        if upload.sending == Sending::Late || upload.body_bytes < 70_000 {
            // Its body is read before a server gets the request.
            continue;
        }
        let head = upload.head("POST", "/early");
        let play = Play { upload, head, recorded: &recorded, next: &next };
        let (response, following) = play.run(&mut connect(fixture.daemon.address).unwrap());
        assert!([413, 502].contains(&response.status()), "{upload:?}: {}", response.head);
        if let Some(following) = following {
            assert_eq!(
                (following.status(), &*following.body),
                (200, NEXT.as_bytes()),
                "{upload:?}"
            );
            served += 1;
        }
    }
    fixture.assert_only_next_was_run(served);
    let heads = fixture.early_heads.lock().unwrap().clone();
    assert!(heads.contains("upload") && !heads.contains(RECORDED), "{heads}");
}

// The same on a connection that was opened before the graceful shutdown, where a further request
// that has arrived is served although the response says `Connection: close`.
#[test]
fn no_part_of_an_unread_body_is_run_during_the_shutdown() {
    let recorded = gateway_request("POST", "/devices/7/flash", RECORDED);
    for upload in uploads() {
        let fixture = Fixture::start();
        let mut stream = fixture.shut_down_with_open_connection();
        let head = upload.head("POST", "/gone");
        let play = Play { upload, head, recorded: &recorded, next: b"" };
        let (response, following) = play.run(&mut stream);
        assert_eq!(response.status(), 410, "{upload:?}");
        assert!(following.is_none(), "{upload:?}");
        assert!(!ids_of(&fixture.server).contains(&RECORDED.to_string()), "{upload:?}");
    }
}

// A request behind a body that is discarded is served in the shutdown: it was read.
#[test]
fn a_request_behind_a_discarded_body_is_served_during_the_shutdown() {
    let fixture = Fixture::start();
    let mut stream = fixture.shut_down_with_open_connection();
    let upload = Upload::plain(9_000, Sending::WithHead);
    let recorded = gateway_request("POST", "/devices/7/flash", RECORDED);
    let next = gateway_request("GET", "/devices/7", NEXT);
    let bytes = [upload.head("POST", "/gone"), upload.body(&recorded), next].concat();
    stream.write_all(&bytes).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 410);
    let following = Message::read(&mut stream).expect("a response to the request that was read");
    assert_eq!((following.status(), &*following.body), (200, NEXT.as_bytes()));
    assert!(read_to_close(&mut stream).is_empty());
    assert!(!ids_of(&fixture.server).contains(&RECORDED.to_string()));
}

#[test]
fn no_part_of_an_unread_body_is_answered_by_the_admin_listener() {
    let fixture = Fixture::start();
    for (method, path, status) in [("POST", "/-/ready", 405), ("GET", "/-/ready", 200)] {
        for upload in uploads() {
            let head = upload.head(method, path);
            let (recorded, next) = (get("/-/ready"), get("/-/none"));
            let play = Play { upload, head, recorded: &recorded, next: &next };
            let (response, following) = play.run(&mut connect(fixture.admin).unwrap());
            assert_eq!(response.status(), status, "{method} {upload:?}");
            let status = following.map_or(404, |following| following.status());
            assert_eq!(status, 404, "the response to another request: {method} {upload:?}");
        }
    }
}

/// The head of a request to the sidecar that it rejects, or that has no use for its body.
fn sidecar_heads(upload: Upload) -> Vec<Vec<u8>> {
    let fields = |lane: &str, id: &str, remaining: &str| {
        format!("X-Lane: {lane}\r\n{id}X-Org: acme\r\nX-Remaining-Ms: {remaining}\r\n")
    };
    let rejected = [
        fields("none", "X-Txn: bad\r\n", "6000"),
        fields("unsafe", "X-Txn: bad\r\n", "soon"),
        fields("unsafe", "", "6000"),
    ];
    let head = String::from_utf8(upload.head("POST", "/api")).unwrap();
    let rejected = rejected.iter().map(|fields| head.replacen("X-Request: upload\r\n", fields, 1));
    let ready = upload.head("GET", "/-/ready");
    rejected.map(String::into_bytes).chain([ready]).collect()
}

#[test]
fn no_part_of_an_unread_body_is_run_by_the_sidecar() {
    for is_draining in [false, true] {
        for upload in uploads() {
            if is_draining && upload.expects_continue {
                continue;
            }
            let (server, _discovery, sidecar) =
                start_with_server(PROGRAM, |_, _| Some(ok_response("a")));
            let heads = sidecar_heads(upload);
            let mut streams: Vec<_> =
                heads.iter().map(|_| connect(sidecar.address).unwrap()).collect();
            for (number, stream) in streams.iter_mut().enumerate() {
                stream.write_all(&request("safe", &format!("first-{number}"))).unwrap();
                assert_eq!(Message::read(stream).unwrap().status(), 200);
            }
            if is_draining {
                sidecar.signal("TERM");
                thread::sleep(SETTLING_TIME);
            }
            let (recorded, next) = (request("unsafe", RECORDED), request("safe", NEXT));
            let next = if is_draining { &[] } else { next.as_slice() };
            for (head, stream) in heads.into_iter().zip(&mut streams) {
                let play = Play { upload, head, recorded: &recorded, next };
                let (_, following) = play.run(stream);
                assert!(following.is_none_or(|next| next.status() == 200), "{upload:?}");
            }
            thread::sleep(SETTLING_TIME);
            let requests = server.requests();
            let ids: Vec<_> =
                requests.iter().filter_map(|request| request.header("x-txn")).collect();
            assert!(!ids.contains(&RECORDED), "draining {is_draining}, {upload:?}: {ids:?}");
        }
    }
}
