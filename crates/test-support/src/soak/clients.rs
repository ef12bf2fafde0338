//! Clients of a soak: they send at random times on connections that they keep, some leave before
//! their response, and they go on with open connections until the process is killed.

use super::records::{Ending, Records, RequestRecord};
use super::scenario::{Class, Draw, DrawPart, Scenario};
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
/// Part of the clients that leave before their response.
const DISCONNECTING: f64 = 0.03;
/// Part of the requests that are written in two parts, where there are slow clients.
const SLOW: f64 = 0.1;
/// The delay between these, in milliseconds.
const SLOW_DELAY_MS: (u64, u64) = (5, 200);
/// Clients that begin a request and stop, for each that sends one completely.
const STOPPING: f64 = 0.03;
/// An incomplete request has its response or its connection's end by then: 3 s, and half a second
/// in which a slow process may be late.
const INCOMPLETE_MAX: Duration = Duration::from_millis(3_500);
/// Shortest wait of a client, as a part of its class's deadline.
const LEAST_WAIT: f64 = 0.4;

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
    draw: RefCell<Draw>,
    has_slow: bool,
    /// For slow clients alone: the others do the same with and without them.
    slow_draw: RefCell<Draw>,
    pooled: RefCell<Vec<PooledConnection>>,
    crowd: RefCell<Vec<TcpStream>>,
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
            draw: RefCell::new(scenario.draw(DrawPart::Clients)),
            slow_draw: RefCell::new(scenario.draw(DrawPart::SlowClients)),
            pooled: RefCell::default(),
            crowd: RefCell::default(),
            may_connect: Cell::new(true),
            last_transaction: Cell::new(0),
            open: Cell::new(0),
        })
    }

    /// Sends requests at random times, never ending.
    pub(super) async fn send_requests(self: Rc<Self>, rate: f64) {
        loop {
            let wait = -(1.0 - self.draw.borrow_mut().uniform()).ln() / rate;
            sleep(Duration::from_secs_f64(wait)).await;
            spawn_local(self.clone().send_request());
            if self.has_slow && self.slow_draw.borrow_mut().is_chosen(STOPPING) {
                spawn_local(self.clone().send_part());
            }
        }
    }

    /// Connects idle clients that send nothing.
    pub(super) async fn gather_crowd(&self, count: usize) {
        for _ in 0..count {
            if let Ok(stream) = TcpStream::connect(self.address).await {
                self.crowd.borrow_mut().push(stream);
            }
        }
    }

    /// Whether clients open connections; those that are open are used in any case.
    pub(super) fn set_may_connect(&self, may_connect: bool) {
        self.may_connect.set(may_connect);
    }

    /// Drops all idle connections, as when the process is gone.
    pub(super) fn forget_connections(&self) {
        self.pooled.borrow_mut().clear();
        self.crowd.borrow_mut().clear();
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

    /// Makes one request; none where no connection was to be had.
    async fn request(&self) -> Option<RequestRecord> {
        let (class, timeout, leaves_after) = self.draw_request();
        let transaction = self.next_transaction();
        let mut pooled = self.connection().await?;
        let mut sent_at = self.write(&mut pooled, class, &transaction, timeout).await?;
        let mut ending = self.ending(&mut pooled, timeout, leaves_after).await;
        if ending == (Ending::Closed { is_reused: true }) {
            // The end of the idle connection may have crossed the request: it is sent once more.
            pooled = self.new_connection().await?;
            sent_at = self.write(&mut pooled, class, &transaction, timeout).await?;
            ending = self.ending(&mut pooled, timeout, leaves_after).await;
        }
        let ended_at = Instant::now();
        self.keep(pooled, &ending);
        Some(RequestRecord { transaction, class, sent_at, timeout, ending, ended_at })
    }

    fn draw_request(&self) -> (Class, Duration, Option<Duration>) {
        let mut draw = self.draw.borrow_mut();
        let class = Class::ALL[draw.between(0, Class::ALL.len() - 1)];
        let part = LEAST_WAIT + (1.0 - LEAST_WAIT) * draw.uniform();
        let timeout = self.deadline.mul_f64(part);
        let leaves = draw.is_chosen(DISCONNECTING);
        let leaves_after = leaves.then(|| timeout.mul_f64(draw.uniform()));
        (class, timeout, leaves_after)
    }

    fn next_transaction(&self) -> String {
        let number = self.last_transaction.get() + 1;
        self.last_transaction.set(number);
        format!("t{number:06}")
    }

    /// Writes a request; when its last byte was written, or none if the connection took none.
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
        let is_slow = self.has_slow && self.slow_draw.borrow_mut().is_chosen(SLOW);
        let first_length = match is_slow {
            true => self.slow_draw.borrow_mut().between(1, request.len() - 1),
            false => request.len(),
        };
        let (first, rest) = request.split_at(first_length);
        // A connection that takes no more has ended; its reading shows how.
        let _ = stream.write(first).await;
        if is_slow {
            let delay = self.slow_draw.borrow_mut().millis(SLOW_DELAY_MS.0, SLOW_DELAY_MS.1);
            sleep(delay).await;
            let _ = stream.write(rest).await;
        }
    }

    /// Begins a request, stops in its midst and stays: the process has to respond or to close.
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

    async fn ending(
        &self,
        pooled: &mut PooledConnection,
        client_timeout: Duration,
        leaves_after: Option<Duration>,
    ) -> Ending {
        let wait = leaves_after.unwrap_or(client_timeout + LATE_MAX);
        match timeout(wait, pooled.stream.read()).await {
            Err(_) if leaves_after.is_some() => Ending::Left,
            Err(_) => Ending::Silence,
            Ok(Received::Nothing) => Ending::Closed { is_reused: pooled.is_reused },
            Ok(Received::Part) => Ending::Broken,
            Ok(Received::Message(response, _)) => {
                let body = String::from_utf8_lossy(&response.body).into_owned();
                let closes = response.header("connection").is_some_and(|value| value == "close");
                pooled.is_reused = !closes;
                Ending::Response(response.status(), body)
            }
        }
    }

    /// Keeps a connection for the next request, unless it ends.
    fn keep(&self, pooled: PooledConnection, ending: &Ending) {
        if matches!(ending, Ending::Response(..)) && pooled.is_reused {
            self.pooled.borrow_mut().push(pooled);
        }
    }
}
