//! The decision module's surroundings: events go in here and actions come out,
//! in order. Everything runs on one thread, so a turn is never interrupted.

use crate::clock::Clock;
use crate::discovery::{Discovery, Fleet};
use crate::endpoints::{Endpoints, ListSink};
use crate::limits::Limits;
use crate::message::{parse_report, Held};
use crate::peers::Peers;
use crate::probe::Probing;
use crate::upstream::{Answer, Ended, To, Upstream};
use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use mintshelf_balancer::api::*;
use mintshelf_balancer::decide::Balancer;
use mintshelf_config::platform::Config;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::future::poll_fn;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::time::{delay_queue, DelayQueue};

/// Tells a server how long this sidecar will wait.
const REMAINING: HeaderName = HeaderName::from_static("x-remaining-ms");

/// What a client is told in the end.
pub enum Reply {
    /// The server's answer.
    Served(Box<Answer>),
    /// Trying again is harmless, after a while.
    Refused(Nanos),
    /// Nothing is promised.
    Failed,
}

/// What the decision module is told of a request.
pub struct Arrival {
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// What it concerns.
    pub key: Option<u64>,
    /// Expected work, if known.
    pub cost_hint: Option<Nanos>,
    /// Marked by the client as a repeat.
    pub repeat: bool,
    /// How long the client waits.
    pub patience: Nanos,
}

/// A request as it goes to servers, with what its body takes of the budget.
pub struct Message {
    /// Its head and body.
    pub request: Request<Held>,
    /// The id that its client gave it.
    pub txn: HeaderValue,
    /// Given back with the last attempt.
    pub _room: Option<OwnedSemaphorePermit>,
}

/// A request from its last byte to its final answer and its last attempt.
struct Taken {
    message: Message,
    deadline: Nanos,
    /// Absent once the client has its answer, or has left.
    reply: Option<oneshot::Sender<Reply>>,
    attempts: Vec<Attempt>,
    out: usize,
}

struct Attempt {
    server: ServerId,
    sent: Nanos,
    cancel: CancellationToken,
}

struct Core {
    balancer: Balancer,
    taken: HashMap<RequestId, Taken>,
    /// Clients' ids of the requests above.
    open: HashSet<HeaderValue>,
    events: VecDeque<Event>,
    timers: DelayQueue<u64>,
    /// Where in the queue each timer is, by its token.
    timer_keys: HashMap<u64, delay_queue::Key>,
    last_id: u64,
    watch: Option<AbortHandle>,
}

/// Feeds the decision module and carries out what it decides.
pub struct Driver {
    core: RefCell<Core>,
    endpoints: Endpoints,
    /// Absent where the servers come from elsewhere.
    discovery: Option<Rc<Discovery>>,
    clock: Clock,
    upstream: Upstream,
    probing: Probing,
    peers: Option<Peers>,
    max_attempts: usize,
    /// Fields of the load reports in answers.
    report_fields: Option<Vec<String>>,
}

impl Driver {
    /// Starts an instance of the decision module.
    pub fn start(config: &Config, limits: &Limits, peers: Option<Peers>) -> Rc<Self> {
        let settings = &config.settings;
        let clock = Clock::start();
        let connect_timeout = Duration::from_nanos(settings.connect_timeout);
        let idle_timeout = Duration::from_nanos(settings.idle_timeout);
        let fields = config.names.report.clone();
        let mode = settings.report_mode;
        let endpoints = Endpoints::default();
        let fleet = Fleet::new(config.names.clone(), endpoints.clone());
        let discovery = Rc::new(Discovery::new(fleet, config.discovery));
        let mut actions = Vec::new();
        let balancer = Balancer::new(settings.clone(), config.seed, clock.now(), &mut actions);
        let driver = Rc::new(Driver {
            core: RefCell::new(Core {
                balancer,
                taken: HashMap::new(),
                open: HashSet::new(),
                events: VecDeque::new(),
                timers: DelayQueue::new(),
                timer_keys: HashMap::new(),
                last_id: 0,
                watch: None,
            }),
            endpoints,
            discovery: Some(discovery.clone()),
            clock,
            upstream: Upstream::new(limits, connect_timeout, idle_timeout),
            probing: Probing {
                fields: if mode == ReportMode::Absent { Vec::new() } else { fields.clone() },
                timeout: connect_timeout,
            },
            peers: peers.filter(|_| settings.peers),
            max_attempts: settings.max_attempts as usize,
            report_fields: (mode == ReportMode::Answers).then_some(fields),
        });
        driver.perform(&mut driver.core.borrow_mut(), actions);
        discovery.cached(config.known.as_deref(), &driver);
        if !settings.must_ask {
            spawn_local(discovery.follow(driver.clone()));
        }
        driver
    }

    /// Runs what goes by the clock: timers, tidying, and peers' messages.
    pub async fn run(self: &Rc<Self>) {
        const SWEEP: Duration = Duration::from_secs(1);
        let timers = async {
            while let Some(token) = self.next_timer().await {
                self.core.borrow_mut().timer_keys.remove(&token);
                self.post(Event::Timer { token });
            }
        };
        let sweep = async {
            loop {
                tokio::time::sleep(SWEEP).await;
                self.upstream.sweep();
            }
        };
        let listen = async {
            if let Some(peers) = &self.peers {
                peers.listen(|from, payload| self.post(Event::PeerMessage { from, payload })).await;
            }
        };
        tokio::join!(timers, sweep, listen);
    }

    async fn next_timer(&self) -> Option<u64> {
        poll_fn(|cx| {
            let expired = self.core.borrow_mut().timers.poll_expired(cx);
            match expired {
                std::task::Poll::Ready(Some(expired)) => {
                    std::task::Poll::Ready(Some(expired.into_inner()))
                }
                // An empty queue wakes this task when a timer is set.
                _ => std::task::Poll::Pending,
            }
        })
        .await
    }

    /// Takes one event, and carries out all that follows from it.
    pub fn post(self: &Rc<Self>, event: Event) {
        let mut core = self.core.borrow_mut();
        core.events.push_back(event);
        self.turn(&mut core);
    }

    fn turn(self: &Rc<Self>, core: &mut Core) {
        while let Some(event) = core.events.pop_front() {
            let mut actions = Vec::new();
            core.balancer.handle(self.clock.now(), event, &mut actions);
            self.perform(core, actions);
        }
    }

    fn perform(self: &Rc<Self>, core: &mut Core, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, timeout_at } => self.send(core, id, server, timeout_at),
                Action::Cancel { id, attempt } => {
                    let taken = core.taken.get(&id);
                    if let Some(attempt) = taken.and_then(|t| t.attempts.get(attempt as usize)) {
                        attempt.cancel.cancel();
                    }
                }
                Action::Refuse { id, retry_after } => {
                    core.conclude(&id, Reply::Refused(retry_after))
                }
                Action::Fail { id } => core.conclude(&id, Reply::Failed),
                Action::SetTimer { after, token } => {
                    let key = core.timers.insert(token, Duration::from_nanos(after));
                    core.timer_keys.insert(token, key);
                }
                Action::DropTimer { token } => {
                    if let Some(key) = core.timer_keys.remove(&token) {
                        core.timers.try_remove(&key);
                    }
                }
                Action::Probe { server } => self.probe(core, server),
                Action::CloseIdle { server } => self.upstream.close_idle(server),
                Action::TellPeer { peer, payload } => {
                    if let Some(peers) = &self.peers {
                        peers.tell(peer, &payload);
                    }
                }
                Action::Watch { on } => {
                    if let Some(watch) = core.watch.take() {
                        watch.abort();
                    }
                    if let Some(discovery) = self.discovery.clone().filter(|_| on) {
                        let watch = discovery.watch(self.clone());
                        core.watch = Some(spawn_local(watch).abort_handle());
                    }
                }
                Action::FetchServers => {
                    if let Some(discovery) = self.discovery.clone() {
                        spawn_local(discovery.fetch(self.clone()));
                    }
                }
                // A log that nobody reads must not stop the sidecar.
                Action::Log { text } => drop(writeln!(std::io::stderr(), "{text}")),
            }
        }
    }

    // ------------------------------------------------------------ requests

    /// Hands a client's request to the module and waits for the final answer.
    /// Dropping the future tells the module that the client has left. `None`
    /// for a request whose id is that of one still open. Danger: a server would
    /// take it for a second copy of that one.
    pub async fn serve(self: &Rc<Self>, arrival: Arrival, message: Message) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        let id: RequestId = {
            let mut core = self.core.borrow_mut();
            if !core.open.insert(message.txn.clone()) {
                return None;
            }
            core.last_id += 1;
            let id: RequestId = core.last_id.to_string().into();
            let deadline = self.clock.now().saturating_add(arrival.patience);
            let taken =
                Taken { message, deadline, reply: Some(reply), attempts: Vec::new(), out: 0 };
            core.taken.insert(id.clone(), taken);
            core.events.push_back(Event::Request {
                id: id.clone(),
                class: arrival.class,
                tenant: arrival.tenant,
                key: arrival.key,
                cost_hint: arrival.cost_hint,
                repeat: arrival.repeat,
                patience: arrival.patience,
            });
            self.turn(&mut core);
            id
        };
        let _leaving = Leaving { driver: self, id };
        Some(answer.await.unwrap_or(Reply::Failed))
    }

    fn send(self: &Rc<Self>, core: &mut Core, id: RequestId, server: ServerId, timeout_at: Nanos) {
        let now = self.clock.now();
        let Some(taken) = core.taken.get_mut(&id) else { return };
        let number = taken.attempts.len() as u32;
        let cancel = CancellationToken::new();
        let attempt = Attempt { server, sent: now, cancel: cancel.clone() };
        taken.attempts.push(attempt);
        taken.out += 1;
        let until = match timeout_at {
            0 => taken.deadline,
            at => at.min(taken.deadline),
        };
        let concluded = taken.reply.is_none();
        let exceeded = taken.attempts.len() > self.max_attempts;
        if concluded || exceeded || until <= now {
            let end = core.end_attempt(&id, number, Outcome::Unused, None, now);
            core.events.extend(end);
            return;
        }
        let to = self.to(server);
        let mut message = taken.message.request.clone();
        let remaining = HeaderValue::from((until - now) / 1_000_000);
        message.headers_mut().insert(REMAINING, remaining);
        let until = self.clock.instant(until);
        let attempt = AttemptRun { driver: self.clone(), id, number };
        spawn_local(attempt.run(to, message, until, cancel));
    }

    fn attempt_ended(
        self: &Rc<Self>,
        id: &RequestId,
        number: u32,
        outcome: Outcome,
        report: Option<Vec<f64>>,
    ) {
        let mut core = self.core.borrow_mut();
        let end = core.end_attempt(id, number, outcome, report, self.clock.now());
        core.events.extend(end);
        self.turn(&mut core);
    }

    fn to(&self, server: ServerId) -> Option<To> {
        let address = self.endpoints.address(server)?;
        Some(To { server, address })
    }

    fn probe(self: &Rc<Self>, core: &mut Core, server: ServerId) {
        let Some(to) = self.to(server) else {
            let outcome = Outcome::ConnectFailed;
            core.events.push_back(Event::Probed { server, outcome, took: 0, report: None });
            return;
        };
        let driver = self.clone();
        spawn_local(async move {
            let sent = driver.clock.now();
            let (outcome, report) = driver.probing.run(&driver.upstream, to).await;
            let took = driver.clock.now().saturating_sub(sent);
            driver.post(Event::Probed { server, outcome, took, report });
        });
    }

    // ----------------------------------------------------------- discovery

    /// Turns to another address of discovery. The calls under way go on until
    /// the module starts new ones, so that no news is missed in between.
    pub fn move_discovery(self: &Rc<Self>, to: SocketAddr) {
        if self.discovery.as_ref().is_some_and(|discovery| discovery.move_to(to)) {
            self.post(Event::DiscoveryMoved);
        }
    }
}

impl ListSink for Rc<Driver> {
    fn listed(&self, kind: ListKind, version: u64, servers: Vec<ListedServer>) {
        self.post(Event::Servers { kind, version, entries: servers.into() });
    }
}

impl Core {
    /// Gives a client its final answer.
    fn conclude(&mut self, id: &RequestId, reply: Reply) {
        let Some(taken) = self.taken.get_mut(id) else { return };
        if let Some(client) = taken.reply.take() {
            // A client that has left since needs no answer.
            let _ = client.send(reply);
        }
        self.forget(id);
    }

    /// Drops a request's record once nothing more can come of it.
    fn forget(&mut self, id: &RequestId) {
        if self.taken.get(id).is_some_and(|t| t.reply.is_none() && t.out == 0) {
            if let Some(taken) = self.taken.remove(id) {
                self.open.remove(&taken.message.txn);
            }
        }
    }

    /// Notes an attempt's end; each has exactly one.
    fn end_attempt(
        &mut self,
        id: &RequestId,
        number: u32,
        outcome: Outcome,
        report: Option<Vec<f64>>,
        now: Nanos,
    ) -> Option<Event> {
        let taken = self.taken.get_mut(id)?;
        let attempt = taken.attempts.get(number as usize)?;
        taken.out -= 1;
        let took = now.saturating_sub(attempt.sent);
        let server = attempt.server;
        let finished = taken.reply.is_none();
        self.forget(id);
        let id = id.clone();
        Some(Event::AttemptEnded { id, attempt: number, outcome, finished, took, server, report })
    }
}

/// One attempt on its way.
struct AttemptRun {
    driver: Rc<Driver>,
    id: RequestId,
    number: u32,
}

impl AttemptRun {
    async fn run(
        self,
        to: Option<To>,
        message: Request<Held>,
        until: Instant,
        cancel: CancellationToken,
    ) {
        let driver = &self.driver;
        let ended = match to {
            Some(to) => driver.upstream.attempt(to, message, until, &cancel).await,
            // No longer listed: nowhere to connect to.
            None => Outcome::ConnectFailed.into(),
        };
        let Ended { outcome, report, answer } = ended;
        let fields = driver.report_fields.as_deref();
        let report = report.zip(fields).and_then(|(text, fields)| parse_report(&text, fields));
        if let Some(answer) = answer {
            driver.core.borrow_mut().conclude(&self.id, Reply::Served(Box::new(answer)));
        }
        driver.attempt_ended(&self.id, self.number, outcome, report);
    }
}

/// Tells the module of a client that left before its answer.
struct Leaving<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        let mut core = self.driver.core.borrow_mut();
        let left = core.taken.get_mut(&self.id).and_then(|taken| taken.reply.take());
        if left.is_some() {
            core.forget(&self.id);
            core.events.push_back(Event::Abandoned { id: self.id.clone() });
            self.driver.turn(&mut core);
        }
    }
}
