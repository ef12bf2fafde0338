//! Responses to requests whose attempts all failed: none promises that the request never ran, unless
//! that is true of every attempt.

use crate::fixture::daemon;
use mintshelf_test_support::{connect, read_to_close, Daemon, Message, Peer};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Settings of the cluster: the header with which servers state that a request never ran.
const CLUSTER: &str = "never-ran-header = \"x-turned-away\"\nreturn-ramp = \"0s\"";
/// Name of that header, as in [`CLUSTER`].
const NEVER_RAN: &str = "x-turned-away";
/// Body length at which a response is streamed to the client, in bytes.
const STREAMED_BYTES: usize = 200 << 10;

const UNSAFE: &str = "effect = \"unsafe\"\naim = \"800ms\"\ndeadline = \"1s\"";
const SAFE: &str = "effect = \"safe\"\naim = \"800ms\"\ndeadline = \"2s\"";
const IDEMPOTENT: &str = "effect = \"keyed\"\nwindow = \"30s\"\naim = \"800ms\"\ndeadline = \"2s\"";
/// No time is left for a client's retry within the window once an attempt may have run.
const SHORT_WINDOW: &str =
    "effect = \"keyed\"\nwindow = \"2s\"\naim = \"400ms\"\ndeadline = \"500ms\"";

/// What a server does with one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Reads the request and closes the connection: it may have run.
    Close,
    /// Reads the request and never responds: it may have run.
    Hang,
    /// Responds 500: it ran.
    Fail,
    /// Responds 200 after 1 s.
    ServeLate,
    /// Responds 503 and states that the request never ran.
    TurnAway,
    /// As `TurnAway`, with a body too long to be buffered.
    TurnAwayAtLength,
}

impl Step {
    fn perform(self, stream: &mut TcpStream) -> std::io::Result<()> {
        match self {
            Step::Close => Err(std::io::ErrorKind::ConnectionAborted.into()),
            Step::Hang => {
                let _ = read_to_close(stream);
                Err(std::io::ErrorKind::UnexpectedEof.into())
            }
            Step::Fail => stream.write_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 6\r\n\r\nfailed"),
            Step::ServeLate => {
                thread::sleep(Duration::from_secs(1));
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved")
            }
            Step::TurnAway => turn_away(stream, 4),
            Step::TurnAwayAtLength => turn_away(stream, STREAMED_BYTES),
        }
    }
}

fn turn_away(stream: &mut TcpStream, body_bytes: usize) -> std::io::Result<()> {
    let head =
        format!("HTTP/1.1 503 Full\r\n{NEVER_RAN}: 1\r\nContent-Length: {body_bytes}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; body_bytes])
}

/// Servers that follow one script: the first attempt to arrive meets its first step, whichever server
/// was chosen. Attempts after the last step repeat that step.
struct ScriptedServers {
    peers: Vec<Peer>,
    attempts: Arc<AtomicUsize>,
}

impl ScriptedServers {
    fn start(script: &'static [Step]) -> Self {
        let attempts = Arc::new(AtomicUsize::new(0));
        let serve = |attempts: Arc<AtomicUsize>| {
            move |mut stream: TcpStream| {
                while Message::read(&mut stream).is_some() {
                    let number = attempts.fetch_add(1, Ordering::SeqCst);
                    let step = script[number.min(script.len() - 1)];
                    if step.perform(&mut stream).is_err() {
                        return;
                    }
                }
            }
        };
        let peers = (0..3).map(|_| Peer::start(serve(attempts.clone()))).collect();
        ScriptedServers { peers, attempts }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|peer| peer.address).collect()
    }

    /// Number of attempts that have arrived.
    fn attempts(&self) -> usize {
        self.attempts.load(Ordering::SeqCst)
    }
}

/// Sends a request with the method of the class, and returns its response.
fn send(daemon: &Daemon, class: &str) -> Message {
    let request: &[u8] = if class == SAFE {
        b"GET /devices/7 HTTP/1.1\r\nHost: h\r\n\r\n"
    } else {
        b"POST /devices/7 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody"
    };
    let mut stream = connect(daemon.address).unwrap();
    stream.write_all(request).unwrap();
    Message::read(&mut stream).expect("a response")
}

/// One row: the class, the script of its attempts, and the status that the client gets, from a
/// server or from the proxy.
struct Row(&'static str, &'static [Step], u16, Origin);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Server,
    Proxy,
}

/// Plays a row; returns what is wrong with it, or `None`.
fn fault(row: &Row) -> Option<String> {
    let Row(class, script, status, origin) = row;
    let servers = ScriptedServers::start(script);
    let (daemon, _) = daemon(&servers.addresses(), class, CLUSTER);
    let response = send(&daemon, class);
    let attempts = servers.attempts();
    let is_problem = response.header("content-type") == Some("application/problem+json");
    let never_ran = |step: &Step| matches!(step, Step::TurnAway | Step::TurnAwayAtLength);
    let body = String::from_utf8_lossy(&response.body);
    let promises_no_effect =
        response.header(NEVER_RAN).is_some() || body.contains("it has not run");
    let is_expected = response.status() == *status
        && attempts == script.len()
        && is_problem == (*origin == Origin::Proxy)
        && (!promises_no_effect || script.iter().all(never_ran));
    (!is_expected).then(|| {
        let expected = format!("{class:?} {script:?}: expected {status} of {origin:?}");
        format!("{expected}, got after {attempts} attempts\n{}{body}", response.head)
    })
}

fn assert_rows(rows: &[Row]) {
    let faults: Vec<String> = rows.iter().filter_map(fault).collect();
    assert!(faults.is_empty(), "{} of {} rows\n{}", faults.len(), rows.len(), faults.join("\n"));
}

// Guards against a client that is told "never ran" by the server of an earlier attempt (review/2).
#[test]
fn an_unsafe_request_that_may_have_run_is_not_answered_as_turned_away() {
    use Origin::{Proxy, Server};
    use Step::{Close, Fail, Hang, TurnAway};
    assert_rows(&[
        Row(UNSAFE, &[TurnAway, Close], 502, Proxy),
        Row(UNSAFE, &[TurnAway, TurnAway, Close], 502, Proxy),
        Row(UNSAFE, &[TurnAway, Hang], 504, Proxy),
        Row(UNSAFE, &[TurnAway, Fail], 500, Server),
        // The promise is true, and the server's own words reach the client.
        Row(UNSAFE, &[TurnAway, TurnAway, TurnAway], 503, Server),
    ]);
}

// Guards against a retry that is turned away and vouches for the attempt before it, which may have run.
#[test]
fn a_retry_that_is_turned_away_does_not_speak_for_the_attempt_before_it() {
    use Origin::{Proxy, Server};
    use Step::{Close, Fail, TurnAway};
    assert_rows(&[
        Row(IDEMPOTENT, &[Close, TurnAway, TurnAway], 503, Proxy),
        Row(IDEMPOTENT, &[Fail, TurnAway, TurnAway], 500, Server),
        Row(SHORT_WINDOW, &[Close, TurnAway, TurnAway], 502, Proxy),
        Row(SAFE, &[Close, TurnAway, TurnAway], 503, Proxy),
        Row(SAFE, &[Fail, TurnAway, TurnAway], 500, Server),
        Row(IDEMPOTENT, &[TurnAway, TurnAway, TurnAway], 503, Server),
    ]);
}

// Guards against the same when the body is too long to be stored, and goes to the client as it arrives.
#[test]
fn a_long_response_that_turns_a_request_away_speaks_for_its_own_attempt_alone() {
    use Origin::{Proxy, Server};
    use Step::{Close, TurnAwayAtLength};
    assert_rows(&[
        Row(IDEMPOTENT, &[Close, TurnAwayAtLength, TurnAwayAtLength], 503, Proxy),
        Row(SHORT_WINDOW, &[Close, TurnAwayAtLength, TurnAwayAtLength], 502, Proxy),
        Row(SAFE, &[Close, TurnAwayAtLength, TurnAwayAtLength], 503, Proxy),
        Row(UNSAFE, &[TurnAwayAtLength], 503, Server),
    ]);
}

// Guards against a turned-away hedge whose long body is streamed to the client while the first attempt
// may still be served.
#[test]
fn a_long_response_of_a_hedge_that_is_turned_away_does_not_end_the_request() {
    let class = "effect = \"safe\"\naim = \"800ms\"\ndeadline = \"5s\"\n\
                 per-try-timeout = \"none\"\nhedge = { after = \"50ms\", share = 0.5 }";
    let servers = ScriptedServers::start(&[Step::ServeLate, Step::TurnAwayAtLength]);
    let cluster = format!("{CLUSTER}\nsecond-copies = true");
    let (daemon, _) = daemon(&servers.addresses(), class, &cluster);
    let response = send(&daemon, SAFE);
    assert_eq!(response.status(), 200, "{}", response.head);
    assert_eq!(servers.attempts(), 2, "the hedge was sent");
}
