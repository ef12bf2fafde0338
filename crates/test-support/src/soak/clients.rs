//! Clients of a soak: they send at random times on connections that they reuse, some disconnect before
//! their response, and they go on with open connections until the process is killed.

use super::records::{Records, RequestEnd, RequestRecord};
use super::scenario::{Class, RandomStream, Scenario, SeededRandom};
use super::stream::{MessageStream, Received};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A response that comes later than this after its client's time is lost.
pub(super) const LATE_MAX: Duration = Duration::from_millis(500);
/// Share of the clients that disconnect before their response.
const DISCONNECTING: f64 = 0.03;
/// Share of the requests that are written in two parts, where there are slow clients.
const SLOW: f64 = 0.1;
/// The delay between these, in milliseconds.
const SLOW_DELAY_MS: (usize, usize) = (5, 200);
/// Clients that stop within a request, for each one that sends it completely.
const STOPPING: f64 = 0.03;
/// An incomplete request has a response or a closed connection within this time: 3 s, and 0.5 s for a
/// slow process.
const INCOMPLETE_MAX: Duration = Duration::from_millis(3_500);
/// Shortest client timeout, as a share of the deadline.
const MIN_TIMEOUT_SHARE: f64 = 0.4;

/// An idle connection, and whether it has carried a request.
struct PooledConnection {
    stream: MessageStream,
    is_reused: bool,
}

/// All clients of a run.
pub(super) struct Clients {
    address: SocketAddr,
    deadline: Duration,
    records: Rc<RefCell<Records>>,
    random: RefCell<SeededRandom>,
    has_slow: bool,
    /// For slow clients alone, so that the others behave the same with and without them.
    slow_random: RefCell<SeededRandom>,
    pooled: RefCell<Vec<PooledConnection>>,
    idle_clients: RefCell<Vec<TcpStream>>,
    may_connect: Cell<bool>,
    last_transaction: Cell<u64>,
    open: Cell<usize>,
}

impl Clients {
    pub(super) fn new(
        address: SocketAddr,
        scenario: &Scenario,
        records: Rc<RefCell<Records>>,
    ) -> Rc<Self> {
        Rc::new(Clients {
            address,
            deadline: scenario.deadline,
            has_slow: scenario.has_slow_clients,
            records,
            random: RefCell::new(scenario.random(RandomStream::Clients)),
            slow_random: RefCell::new(scenario.random(RandomStream::SlowClients)),
            pooled: RefCell::default(),
            idle_clients: RefCell::default(),
            may_connect: Cell::new(true),
            last_transaction: Cell::new(0),
            open: Cell::new(0),
        })
    }

    /// Sends requests at random times, without end.
    pub(super) async fn send_requests(self: Rc<Self>, rate: f64) {
        loop {
            let wait = -(1.0 - self.random.borrow_mut().uniform()).ln() / rate;
            sleep(Duration::from_secs_f64(wait)).await;
            spawn_local(self.clone().send_request());
            if self.has_slow && self.slow_random.borrow_mut().is_chosen(STOPPING) {
                spawn_local(self.clone().send_part());
            }
        }
    }

    /// Connects idle clients that send nothing.
    pub(super) async fn open_idle_connections(&self, count: usize) {
        for _ in 0..count {
            if let Ok(stream) = TcpStream::connect(self.address).await {
                self.idle_clients.borrow_mut().push(stream);
            }
        }
    }

    /// Whether clients open connections; those that are open are used in any case.
    pub(super) fn set_may_connect(&self, may_connect: bool) {
        self.may_connect.set(may_connect);
    }

    /// Drops all idle connections, as after the end of the process.
    pub(super) fn forget_connections(&self) {
        self.pooled.borrow_mut().clear();
        self.idle_clients.borrow_mut().clear();
    }

    /// Waits until no request is open.
    pub(super) async fn all_ended(&self) {
        while self.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn connection(&self) -> Option<PooledConnection> {
        if let Some(pooled) = self.pooled.borrow_mut().pop() {
            return Some(pooled);
        }
        self.new_connection().await
    }

    async fn new_connection(&self) -> Option<PooledConnection> {
        if !self.may_connect.get() {
            return None;
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        Some(PooledConnection { stream: MessageStream::new(stream), is_reused: false })
    }

    async fn send_request(self: Rc<Self>) {
        self.open.set(self.open.get() + 1);
        if let Some(record) = self.request().await {
            self.records.borrow_mut().requests.push(record);
        }
        self.open.set(self.open.get() - 1);
    }

    /// Sends one request; none where there is no connection.
    async fn request(&self) -> Option<RequestRecord> {
        let (class, timeout, disconnects_after) = self.random_request();
        let transaction = self.next_transaction();
        let mut pooled = self.connection().await?;
        let mut sent_at = self.write(&mut pooled, class, &transaction, timeout).await?;
        let mut end = self.end(&mut pooled, timeout, disconnects_after).await;
        if end == (RequestEnd::Closed { is_reused: true }) {
            // The close of the idle connection may have crossed the request: it is sent once more.
            pooled = self.new_connection().await?;
            sent_at = self.write(&mut pooled, class, &transaction, timeout).await?;
            end = self.end(&mut pooled, timeout, disconnects_after).await;
        }
        let ended_at = Instant::now();
        self.keep(pooled, &end);
        Some(RequestRecord { transaction, class, sent_at, timeout, end, ended_at })
    }

    fn random_request(&self) -> (Class, Duration, Option<Duration>) {
        let mut random = self.random.borrow_mut();
        let class = Class::ALL[random.between(0, Class::ALL.len() - 1)];
        let part = MIN_TIMEOUT_SHARE + (1.0 - MIN_TIMEOUT_SHARE) * random.uniform();
        let timeout = self.deadline.mul_f64(part);
        let disconnects = random.is_chosen(DISCONNECTING);
        let disconnects_after = disconnects.then(|| timeout.mul_f64(random.uniform()));
        (class, timeout, disconnects_after)
    }

    fn next_transaction(&self) -> String {
        let number = self.last_transaction.get() + 1;
        self.last_transaction.set(number);
        format!("t{number:06}")
    }

    /// Writes a request; when its last byte was written.
    async fn write(
        &self,
        pooled: &mut PooledConnection,
        class: Class,
        transaction: &str,
        timeout: Duration,
    ) -> Option<Instant> {
        let (method, key, body) = match class {
            Class::Safe => ("GET", String::new(), ""),
            Class::Keyed => ("POST", format!("Idempotency-Key: k{transaction}\r\n"), "work"),
            Class::Unsafe => ("POST", String::new(), "work"),
        };
        let request = format!(
            "{method} /api HTTP/1.1\r\nHost: a\r\nX-Txn: {transaction}\r\nX-Lane: {}\r\n\
             X-Org: acme\r\nX-Remaining-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n{body}",
            class.name(),
            timeout.as_millis(),
            body.len()
        );
        self.write_parts(&mut pooled.stream, request.as_bytes()).await;
        Some(Instant::now())
    }

    /// Writes a request, in two parts where its client is slow.
    async fn write_parts(&self, stream: &mut MessageStream, request: &[u8]) {
        let is_slow = self.has_slow && self.slow_random.borrow_mut().is_chosen(SLOW);
        let first_length = match is_slow {
            true => self.slow_random.borrow_mut().between(1, request.len() - 1),
            false => request.len(),
        };
        let (first, rest) = request.split_at(first_length);
        // A connection that accepts no more bytes has ended; reading it shows how.
        let _ = stream.write(first).await;
        if is_slow {
            let delay = self.slow_random.borrow_mut().millis(SLOW_DELAY_MS.0, SLOW_DELAY_MS.1);
            sleep(delay).await;
            let _ = stream.write(rest).await;
        }
    }

    /// Begins a request, stops within it and stays: the process has to respond or to close.
    async fn send_part(self: Rc<Self>) {
        let Some(mut connection) = self.new_connection().await else { return };
        let _ = connection.stream.write(b"GET /api HTTP/1.1\r\nHost: a\r\nX-Tx").await;
        let began_at = Instant::now();
        let ended = timeout(INCOMPLETE_MAX, connection.stream.read()).await;
        if ended.is_err() {
            let text = format!("an incomplete request was kept for {:?}", began_at.elapsed());
            self.records.borrow_mut().process_faults.push(text);
        }
    }

    async fn end(
        &self,
        pooled: &mut PooledConnection,
        client_timeout: Duration,
        disconnects_after: Option<Duration>,
    ) -> RequestEnd {
        let wait = disconnects_after.unwrap_or(client_timeout + LATE_MAX);
        match timeout(wait, pooled.stream.read()).await {
            Err(_) if disconnects_after.is_some() => RequestEnd::Disconnected,
            Err(_) => RequestEnd::Silence,
            Ok(Received::Nothing) => RequestEnd::Closed { is_reused: pooled.is_reused },
            Ok(Received::Part) => RequestEnd::Broken,
            Ok(Received::Message(response, _)) => {
                let body = String::from_utf8_lossy(&response.body).into_owned();
                let closes = response.header("connection").is_some_and(|value| value == "close");
                pooled.is_reused = !closes;
                RequestEnd::Response(response.status(), body)
            }
        }
    }

    /// Pools a connection for the next request, unless it ends.
    fn keep(&self, pooled: PooledConnection, end: &RequestEnd) {
        if matches!(end, RequestEnd::Response(..)) && pooled.is_reused {
            self.pooled.borrow_mut().push(pooled);
        }
    }
}
