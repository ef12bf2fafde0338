//! Discovery: calls, their answers, and what the servers in them are called.

use crate::clock::nanos;
use crate::endpoints::{number, Endpoints, ListSink};
use crate::socket::{Socket, Watcher};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{handshake, Connection, SendRequest};
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_balancer::api::{Condition, ListKind, ListedServer};
use mintshelf_config::platform::Names;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How long a watch's call waits for news. A watch that falls silent is noticed
/// only after it; calls cost the service work for every sidecar.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// An answer is overdue so long after it was due. The service works through
/// calls in turn and fails those that waited too long, a second or two.
const ANSWER_GRACE: Duration = Duration::from_millis(2_500);
/// The same for a call that may wait: it is answered out of turn when it ends,
/// and news withheld counts as told two seconds later.
const WATCH_GRACE: Duration = Duration::from_millis(400);
/// An answer that pauses for so long will not be completed.
const STALL: Duration = Duration::from_millis(600);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest answer: some twenty thousand servers. More would not fit in little memory.
const ANSWER_MAX: usize = 4 << 20;
/// Shortest time between two calls of a watch, well within what keeps it going.
const WATCH_PACE: Duration = Duration::from_millis(20);
/// Pace of calls to an agent that pushes: it answers at once even with no news.
const AGENT_PACE: Duration = Duration::from_millis(50);

// ------------------------------------------------------------------- fleet

/// One entry of a list, in discovery's form.
#[derive(Debug, Clone, PartialEq, Deserialize)]
struct Entry {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u32,
    state: State,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum State {
    Serving,
    Draining,
    Deleted,
}

/// A list as far as it came.
#[derive(Debug, Default, PartialEq)]
struct List {
    rev: Option<u64>,
    all: bool,
    targets: Option<Vec<Entry>>,
}

/// Reads a list into place, so that what was read before an error stays.
struct ReadList<'a>(&'a mut List);

impl<'de> DeserializeSeed<'de> for ReadList<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ReadList<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of targets")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "rev" => self.0.rev = Some(map.next_value()?),
                "all" => self.0.all = map.next_value()?,
                "targets" => map.next_value_seed(ReadTargets(self.0.targets.insert(Vec::new())))?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}

struct ReadTargets<'a>(&'a mut Vec<Entry>);

impl<'de> DeserializeSeed<'de> for ReadTargets<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for ReadTargets<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("targets")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        // An entry that cannot be read is left out; the others still hold.
        while let Some(value) = seq.next_element::<serde_json::Value>()? {
            self.0.extend(Entry::deserialize(value).ok());
        }
        Ok(())
    }
}

/// Reads an answer; true if it is whole and well formed.
fn read_list(text: &[u8]) -> (List, bool) {
    let mut list = List::default();
    let mut json = serde_json::Deserializer::from_slice(text);
    let whole = ReadList(&mut list).deserialize(&mut json).and_then(|()| json.end()).is_ok();
    let whole = whole && list.rev.is_some() && list.targets.is_some();
    (list, whole)
}

/// The place of a name in the settings; for an unknown one, a number past them all.
fn place(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|n| n == name);
    known.map_or_else(|| number(name) | 1 << 31, |at| at as u32)
}

/// Reads lists into the module's numbers and the servers' addresses.
#[derive(Debug)]
pub struct Fleet {
    names: Names,
    addresses: Endpoints,
    version: u64,
}

impl Fleet {
    /// Knows no server; the addresses of those it will know go to `addresses`.
    pub fn new(names: Names, addresses: Endpoints) -> Self {
        Fleet { names, addresses, version: 0 }
    }

    fn listed(&self, entry: &Entry) -> ListedServer {
        ListedServer {
            id: number(&entry.uid),
            zone: place(&self.names.zones, &entry.az),
            kind: place(&self.names.kinds, &entry.model),
            cell: entry.pod_group,
            condition: match entry.state {
                State::Serving => Condition::Live,
                State::Draining => Condition::Draining,
                State::Deleted => Condition::Gone,
            },
            size: entry.capacity_hint,
            started_at: nanos(Duration::from_millis(entry.boot_ms)),
        }
    }

    /// Takes an answer over; what it says, and whether it was whole.
    fn take(&mut self, answer: &Received) -> (ListKind, Vec<ListedServer>, bool) {
        let (list, well_formed) = read_list(&answer.bytes);
        let whole = well_formed && answer.whole;
        let full = whole && list.all;
        // Danger: of a malformed answer nothing is believed, but one cut short is
        // true as far as it came.
        let targets = if whole || !answer.whole { list.targets } else { None };
        let targets = targets.unwrap_or_default();
        if full {
            self.addresses.clear();
        }
        for entry in &targets {
            match entry.state {
                State::Deleted => self.addresses.remove(number(&entry.uid)),
                _ => self.addresses.insert(number(&entry.uid), entry.endpoint),
            };
        }
        if whole {
            self.version = list.rev.unwrap_or(self.version);
        }
        let kind = if full { ListKind::Full } else { ListKind::Changes };
        (kind, targets.iter().map(|entry| self.listed(entry)).collect(), whole)
    }

    /// Takes over the list in the configuration; false if it is malformed.
    pub fn take_known(&mut self, text: &str) -> Option<Vec<ListedServer>> {
        let answer = Received { bytes: text.as_bytes().to_vec(), whole: true };
        let (_, servers, whole) = self.take(&answer);
        whole.then_some(servers)
    }

    /// Version of the list held.
    pub fn version(&self) -> u64 {
        self.version
    }
}

// ------------------------------------------------------------------- calls

/// The body of an answer, maybe cut short.
#[derive(Debug, Default)]
struct Received {
    bytes: Vec<u8>,
    whole: bool,
}

struct Nothing;
impl Watcher for Nothing {}

type Driven = Connection<TokioIo<Socket<Nothing>>, Empty<Bytes>>;

/// A connection to discovery, kept between calls.
struct Line {
    send: SendRequest<Empty<Bytes>>,
    driven: Pin<Box<Driven>>,
    up: bool,
}

impl Line {
    async fn open(to: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let socket = Socket::new(Rc::new(stream.into()), Rc::new(Nothing), Bytes::new());
        let (send, driven) = handshake(TokioIo::new(socket)).await.ok()?;
        Some(Line { send, driven: Box::pin(driven), up: true })
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        self.up = self.up && self.driven.as_mut().poll(cx).is_pending();
    }

    /// Whether another call can go out on it.
    fn usable(&mut self) -> bool {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        self.drive(&mut cx);
        self.up && self.send.is_ready()
    }

    async fn ask(&mut self, request: Request<Empty<Bytes>>) -> Option<Response<Incoming>> {
        let mut response = pin!(self.send.send_request(request));
        let (up, driven) = (&mut self.up, &mut self.driven);
        poll_fn(|cx| {
            *up = *up && driven.as_mut().poll(cx).is_pending();
            response.as_mut().poll(cx)
        })
        .await
        .ok()
    }

    /// Reads an answer's body, as far as it comes.
    async fn read(&mut self, mut body: Incoming) -> Received {
        let mut received = Received::default();
        while received.bytes.len() <= ANSWER_MAX {
            let next = poll_fn(|cx| {
                self.drive(cx);
                Pin::new(&mut body).poll_frame(cx)
            });
            match timeout(STALL, next).await {
                Ok(Some(Ok(frame))) => received.bytes.extend(frame.into_data().unwrap_or_default()),
                Ok(None) => {
                    received.whole = true;
                    return received;
                }
                Ok(Some(Err(_))) | Err(_) => break,
            }
        }
        self.up = false;
        received
    }
}

/// Makes calls to discovery, one after the other on one connection.
struct Caller {
    to: SocketAddr,
    line: Option<Line>,
}

impl Caller {
    /// One call; what came of the answer.
    async fn call(&mut self, query: &str, grace: Duration) -> Received {
        let kept = self.line.take().and_then(|mut line| line.usable().then_some(line));
        let line = match kept {
            Some(line) => Some(line),
            None => Line::open(self.to).await,
        };
        let Some(mut line) = line else { return Received::default() };
        let uri = format!("/api/targets{query}");
        let request = Request::get(uri).header(header::HOST, self.to.to_string());
        let Ok(request) = request.body(Empty::new()) else { return Received::default() };
        let response = timeout(grace, line.ask(request)).await.ok().flatten();
        let Some(response) = response else { return Received::default() };
        if response.status() != StatusCode::OK {
            return Received::default();
        }
        let received = line.read(response.into_body()).await;
        self.line = Some(line).filter(|line| line.up);
        received
    }

    /// A call that waits for what is newer than the list held.
    async fn news(&mut self, after: u64) -> Received {
        let query = format!("?after={after}&wait_ms={}", WATCH_WAIT.as_millis());
        self.call(&query, WATCH_WAIT + WATCH_GRACE).await
    }
}

/// The service that lists the servers, at an address that may change.
#[derive(Debug)]
pub struct Discovery {
    fleet: RefCell<Fleet>,
    at: Cell<SocketAddr>,
}

impl Discovery {
    /// A service that has not been asked yet.
    pub fn new(fleet: Fleet, at: SocketAddr) -> Self {
        Discovery { fleet: RefCell::new(fleet), at: Cell::new(at) }
    }

    /// Turns to another address; whether it is another. Calls under way go on.
    pub fn move_to(&self, at: SocketAddr) -> bool {
        self.at.replace(at) != at
    }

    /// Passes on the list that the configuration brought.
    pub fn cached(&self, text: Option<&str>, sink: &impl ListSink) {
        let servers = text.and_then(|text| self.fleet.borrow_mut().take_known(text));
        sink.listed(ListKind::Cached, self.version(), servers.unwrap_or_default());
    }

    fn version(&self) -> u64 {
        self.fleet.borrow().version()
    }

    /// Watches until a call fails.
    pub async fn watch(self: Rc<Self>, sink: impl ListSink) {
        let mut caller = Caller { to: self.at.get(), line: None };
        loop {
            let asked = Instant::now();
            let held = self.version();
            let mut answer = caller.news(held).await;
            if read_list(&answer.bytes).0.rev.is_some_and(|rev| rev < held) {
                // Danger: a service that counts anew would never have news for what
                // is held; its whole list starts the count over.
                answer = caller.call("", ANSWER_GRACE).await;
            }
            if !self.take(&sink, &answer) {
                return self.failed(&sink);
            }
            // A watch that is answered at once, over and over, must not spin.
            sleep(WATCH_PACE.saturating_sub(asked.elapsed())).await;
        }
    }

    /// Asks for the whole list once.
    pub async fn fetch(self: Rc<Self>, sink: impl ListSink) {
        let answer = Caller { to: self.at.get(), line: None }.call("", ANSWER_GRACE).await;
        if !self.take(&sink, &answer) {
            self.failed(&sink);
        }
    }

    /// Follows an agent that lists are pushed to. Its silence is no failed call.
    pub async fn follow(self: Rc<Self>, sink: impl ListSink) {
        let mut caller = Caller { to: self.at.get(), line: None };
        loop {
            if caller.to != self.at.get() {
                caller = Caller { to: self.at.get(), line: None };
            }
            let asked = Instant::now();
            let answer = caller.news(self.version()).await;
            self.take(&sink, &answer);
            sleep(AGENT_PACE.saturating_sub(asked.elapsed())).await;
        }
    }

    fn failed(&self, sink: &impl ListSink) {
        sink.listed(ListKind::Failed, self.version(), Vec::new());
    }

    /// Passes an answer on; false if it was not whole.
    fn take(&self, sink: &impl ListSink, answer: &Received) -> bool {
        let (kind, servers, whole) = self.fleet.borrow_mut().take(answer);
        if whole || !servers.is_empty() {
            sink.listed(kind, self.version(), servers);
        }
        whole
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ENTRY: &str = r#"{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","model":"m","pod_group":3,"state":"SERVING","capacity_hint":1.5,"boot_ms":7}"#;

    fn fleet() -> Fleet {
        let zones = vec!["a".to_string()];
        let names = Names { zones, kinds: vec!["m".to_string()], ..Names::default() };
        Fleet::new(names, Endpoints::default())
    }

    fn received(text: &str, whole: bool) -> Received {
        Received { bytes: text.as_bytes().to_vec(), whole }
    }

    #[test]
    fn a_whole_list_is_taken_over() {
        let mut fleet = fleet();
        let text = format!(r#"{{"rev":41,"all":true,"extra":{{}},"targets":[{ENTRY}]}}"#);
        let (kind, servers, whole) = fleet.take(&received(&text, true));
        assert!(whole);
        assert_eq!((kind, servers.len(), fleet.version()), (ListKind::Full, 1, 41));
        assert_eq!((servers[0].zone, servers[0].kind, servers[0].cell), (0, 0, 3));
        assert_eq!(servers[0].started_at, 7_000_000);
        assert!(fleet.addresses.address(servers[0].id).is_some());
    }

    #[test]
    fn of_an_answer_cut_anywhere_whole_entries_are_true() {
        let text = format!(r#"{{"rev":41,"all":true,"targets":[{ENTRY},{ENTRY}]}}"#);
        let first = text.find("},").unwrap() + 1;
        for cut in 0..text.len() {
            let mut fleet = fleet();
            let (kind, servers, whole) = fleet.take(&received(&text[..cut], false));
            assert!(!whole);
            assert_eq!((kind, fleet.version()), (ListKind::Changes, 0));
            assert_eq!(!servers.is_empty(), cut >= first, "{cut}");
        }
    }

    #[test]
    fn a_malformed_answer_changes_nothing() {
        for text in ["", "[]", "{}", r#"{"rev":1,"all":true}"#, r#"{"rev":"x","targets":[]}"#, "<"]
        {
            let (_, servers, whole) = fleet().take(&received(text, true));
            assert!(!whole && servers.is_empty(), "{text}");
        }
        let text = format!(r#"{{"rev":41,"all":true,"targets":[{ENTRY}],,}}"#);
        let mut fleet = fleet();
        let (_, servers, whole) = fleet.take(&received(&text, true));
        assert!(!whole && servers.is_empty() && fleet.addresses.is_empty());
    }

    #[test]
    fn an_odd_entry_does_not_lose_the_others() {
        let odd = ENTRY.replace("\"a\"", "\"moon\"").replace("s-1", "s-2");
        let bad = ENTRY.replace("127.0.0.1:9", "nowhere").replace("s-1", "s-3");
        let text = format!(r#"{{"rev":2,"all":true,"targets":[{bad},{odd},{ENTRY}]}}"#);
        let (_, servers, whole) = fleet().take(&received(&text, true));
        assert!(whole);
        assert_eq!(servers.len(), 2);
        assert!(servers[0].zone > 1 && servers[1].zone == 0);
    }

    #[test]
    fn a_server_that_is_deleted_has_no_address() {
        let mut fleet = fleet();
        let text = format!(r#"{{"rev":1,"all":true,"targets":[{ENTRY}]}}"#);
        let id = fleet.take(&received(&text, true)).1[0].id;
        let gone = ENTRY.replace("SERVING", "DELETED");
        let text = format!(r#"{{"rev":2,"all":false,"targets":[{gone}]}}"#);
        let (kind, servers, _) = fleet.take(&received(&text, true));
        assert_eq!((kind, servers[0].condition), (ListKind::Changes, Condition::Gone));
        assert_eq!(fleet.addresses.address(id), None);
    }
}
