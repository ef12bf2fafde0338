//! The decision module's surroundings: events go in here and actions come out,
//! in order. Everything runs on one thread, so a turn is never interrupted.

use crate::clock::Clock;
use crate::cluster::attempt_timeouts::{self, AttemptTimeouts};
use crate::cluster::health_check::HealthChecker;
use crate::cluster::peers::PeerGossip;
use crate::cluster::pending_response::{AttemptControl, AttemptSet, PendingResponse};
use crate::cluster::request_log::RequestLog;
use crate::cluster::socket_load::SocketLoad;
use crate::cluster::state::{Attempt, PendingRequest, RuntimeState};
pub use crate::cluster::state::{RequestMetadata, RequestOutcome, UpstreamRequest};
use crate::discovery::{list::Fleet, Discovery};
use crate::endpoints::{EndpointListObserver, Endpoints};
use crate::headers::parse_load_report;
use crate::upstream::connection::{ConnectionLimits, Target};
use crate::upstream::exchange::{
    AttemptDeadlines, AttemptResult, ConnectionPool, Upstream, UpstreamBody, UpstreamProtocol,
    UpstreamResponse,
};
use crate::upstream::request_body::RequestBody;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use mintshelf_balancer::api::*;
use mintshelf_balancer::decide::Balancer;
use mintshelf_config::platform::Names;
use mintshelf_recovery::{End, Phase, Recovery, WINDOW_PART};
use mintshelf_retry::attempts::{AttemptTracker, RetryPolicy, TimeoutAction};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::future::poll_fn;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::time::DelayQueue;

/// Tells a server how long this sidecar will wait.
const REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");

const SECOND: Nanos = 1_000_000_000;
/// A client that is told when to come back may take so long longer.
const ADVICE_MARGIN: Nanos = SECOND;

type OnDoubt = Box<dyn Fn(ServerId)>;

/// Feeds the decision module and carries out what it decides.
pub struct ClusterRuntime {
    core: RefCell<RuntimeState>,
    endpoints: Endpoints,
    /// Absent where the servers come from elsewhere.
    discovery: Option<Rc<Discovery>>,
    clock: Clock,
    upstream: Rc<Upstream>,
    style: UpstreamProtocol,
    probing: HealthChecker,
    peers: Option<PeerGossip>,
    max_attempts: usize,
    classes: Vec<Class>,
    /// What open sockets weigh.
    weights: Rc<SocketLoad>,
    /// Hears of servers at which an attempt broke off.
    on_doubt: RefCell<Option<OnDoubt>>,
    /// Absent on the platform.
    recovery: Option<RefCell<Recovery>>,
    /// For each class; none on the platform.
    tries: Vec<RefCell<AttemptTracker>>,
    /// The cluster's name, and which lines are written of its attempts.
    notes: Option<(String, RequestLog)>,
    /// Fields of the load reports in answers.
    report_fields: Option<Vec<String>>,
}

/// What a driver is started with.
pub struct ClusterSpec {
    /// The decision module's settings.
    pub settings: Settings,
    /// Names in them.
    pub names: Names,
    /// For random numbers.
    pub seed: u64,
    /// How servers' answers are read.
    pub style: UpstreamProtocol,
    /// The way to other sidecars.
    pub peers: Option<PeerGossip>,
    /// Where discovery answers, and the list as last held; absent where the servers come
    /// from elsewhere.
    pub discovery: Option<(SocketAddr, Option<String>)>,
    /// The ramp after an outage of the whole cluster, 0 for none; absent where the fleet's
    /// platform has its own ways.
    pub return_ramp: Option<Nanos>,
    /// What the attempts of each class may do; empty where the platform says all of that.
    pub tries: Vec<RetryPolicy>,
    /// Most connections to all servers, and to each, and most sockets.
    pub most: ConnectionLimits,
    /// What an open socket counts for beside a request, 0 to 1, where the module compares how
    /// much is under way.
    pub socket_weight: f64,
    /// The cluster's name in the log; absent where nothing is logged of single requests.
    pub name: Option<String>,
}

impl ClusterRuntime {
    /// Starts an instance of the decision module.
    pub fn start(spec: ClusterSpec, all: Rc<ConnectionPool>) -> Rc<Self> {
        let ClusterSpec { settings, names, seed, style, peers, discovery, .. } = spec;
        let ClusterSpec { return_ramp, tries, most, socket_weight, name, .. } = spec;
        let clock = Clock::start();
        let connect_timeout = Duration::from_nanos(settings.connect_timeout);
        let idle_timeout = Duration::from_nanos(settings.idle_timeout);
        let fields = names.report.clone();
        let mode = settings.report_mode;
        let endpoints = Endpoints::default();
        let (at, known) = discovery.map_or((None, None), |(at, known)| (Some(at), known));
        let fleet = Fleet::new(names, endpoints.clone());
        let discovery = at.map(|at| Rc::new(Discovery::new(fleet, at)));
        let recovery = return_ramp.map(|ramp| Recovery::new(seed, ramp, settings.max_retry_after));
        let mut actions = Vec::new();
        let balancer = Balancer::new(settings.clone(), seed, clock.now(), &mut actions);
        let driver = Rc::new(ClusterRuntime {
            core: RefCell::new(RuntimeState {
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
            discovery: discovery.clone(),
            clock,
            upstream: Upstream::new(all, connect_timeout, idle_timeout, style.clone(), most),
            style,
            probing: HealthChecker {
                fields: if mode == ReportMode::Absent { Vec::new() } else { fields.clone() },
                timeout: connect_timeout,
            },
            peers: peers.filter(|_| settings.peers),
            max_attempts: settings.max_attempts as usize,
            classes: settings.classes.clone(),
            weights: SocketLoad::new(socket_weight),
            on_doubt: RefCell::default(),
            recovery: recovery.map(RefCell::new),
            tries: tries
                .into_iter()
                .map(|plan| AttemptTracker::new(plan, clock.now()).into())
                .collect(),
            notes: name.map(|name| (name, RequestLog::new(&clock))),
            report_fields: (mode == ReportMode::Answers).then_some(fields),
        });
        driver.perform(&mut driver.core.borrow_mut(), actions);
        if let Some(discovery) = discovery {
            discovery.cached(known.as_deref(), &driver);
            if !settings.must_poll {
                spawn_local(discovery.follow(driver.clone()));
            }
        }
        driver
    }

    /// Takes over a complete list of servers from elsewhere than discovery.
    pub fn list(self: &Rc<Self>, servers: Vec<(ListedServer, SocketAddr)>) {
        self.endpoints.clear();
        for (server, address) in &servers {
            self.endpoints.insert(server.id, *address);
        }
        let servers = servers.into_iter().map(|(server, _)| server).collect();
        self.listed(ListKind::Full, 0, servers);
    }

    /// A number that no other driver of this process has.
    pub fn number(&self) -> u32 {
        self.upstream.number()
    }

    /// Calls this with each server at which an attempt has broken off.
    pub fn on_doubt(&self, call: impl Fn(ServerId) + 'static) {
        *self.on_doubt.borrow_mut() = Some(Box::new(call));
    }

    /// Where a server listens, if it is listed.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.address(server)
    }

    /// The clock that the decisions go by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.core.borrow().taken.is_empty()
    }

    /// Answers all that is open, as there is no time left to wait for servers.
    pub fn give_up(self: &Rc<Self>, after: Nanos) {
        let mut core = self.core.borrow_mut();
        core.give_up(&self.classes, after);
        self.turn(&mut core);
    }

    /// How many requests are open, and timers set.
    pub fn open(&self) -> (usize, usize) {
        let core = self.core.borrow();
        (core.taken.len(), core.timer_keys.len())
    }

    /// What the cluster is in, as far as that is watched, and how many clients were told to
    /// come back later and whose time is ahead.
    pub fn recovery(&self) -> Option<(Phase, u64)> {
        let recovery = self.recovery.as_ref()?.borrow();
        Some((recovery.pace.phase(), recovery.calendar.expected()))
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
                peers.listen(|from, payload| self.post(Event::Gossip { from, payload })).await;
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

    fn turn(self: &Rc<Self>, core: &mut RuntimeState) {
        while let Some(event) = core.events.pop_front() {
            let mut actions = Vec::new();
            core.balancer.handle(self.clock.now(), event, &mut actions);
            self.perform(core, actions);
        }
    }

    fn perform(self: &Rc<Self>, core: &mut RuntimeState, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, timeout_at } => self.send(core, id, server, timeout_at),
                Action::Cancel { id, attempt } => {
                    let taken = core.taken.get(&id);
                    if let Some(attempt) = taken.and_then(|t| t.attempts.get(attempt as usize)) {
                        attempt.cancel.cancel();
                    }
                }
                Action::Reject { id, retry_after } => {
                    drop(core.refuse(&id, retry_after));
                }
                Action::Fail { id } => {
                    drop(core.conclude(&id, RequestOutcome::Failed { timed_out: false }));
                }
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
                Action::SendGossip { peer, payload } => {
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
    pub async fn serve(
        self: &Rc<Self>,
        arrival: RequestMetadata,
        message: UpstreamRequest,
    ) -> Option<RequestOutcome> {
        let now = self.clock.now();
        let Some(recovery) = &self.recovery else {
            return self.attend(now, arrival, message).await;
        };
        let class = arrival.class;
        if !recovery.borrow_mut().pace.admit(now) {
            return Some(RequestOutcome::Paced(self.advice(class)));
        }
        let reply = self.attend(now, arrival, message).await?;
        Some(match reply {
            RequestOutcome::Refused { ran_at, .. } => match self.come_back(class, ran_at) {
                Some(after) => RequestOutcome::Refused { after, ran_at },
                None => RequestOutcome::Failed { timed_out: false },
            },
            RequestOutcome::Served(answer) if !answer.status.is_server_error() => {
                recovery.borrow_mut().calendar.served(self.clock.now());
                RequestOutcome::Served(answer)
            }
            reply => reply,
        })
    }

    /// When a client that is refused now is told to come back. None if it could only come
    /// when servers have forgotten the key of what may have run at `ran_at`: it may not be
    /// told to repeat that.
    fn come_back(&self, class: u32, ran_at: Option<Nanos>) -> Option<Nanos> {
        let mut window = self.classes.get(class as usize).and_then(Class::window);
        let now = self.clock.now();
        if let Some((span, ran_at)) = window.zip(ran_at) {
            let left = ran_at.saturating_add(span).saturating_sub(now);
            let most = left.checked_sub(ADVICE_MARGIN).filter(|most| *most >= SECOND)?;
            window = Some(span.min(most.saturating_mul(WINDOW_PART)));
        }
        let advice = |r: &RefCell<Recovery>| r.borrow_mut().calendar.advise(now, window);
        Some(self.recovery.as_ref().map_or(0, advice) * SECOND)
    }

    async fn attend(
        self: &Rc<Self>,
        now: Nanos,
        arrival: RequestMetadata,
        message: UpstreamRequest,
    ) -> Option<RequestOutcome> {
        if message.client.as_ref().is_some_and(|client| client.has_left()) {
            // Nobody hears of it: it costs no server, no credit and no place.
            return Some(RequestOutcome::Failed { timed_out: false });
        }
        let seat = Rc::new(PendingResponse::default());
        let id: RequestId = {
            let mut core = self.core.borrow_mut();
            if message.txn.as_ref().is_some_and(|txn| !core.open.insert(txn.clone())) {
                return None;
            }
            core.last_id += 1;
            let id: RequestId = core.last_id.to_string().into();
            let deadline = now.saturating_add(arrival.patience);
            if let Some(tries) = self.tries.get(arrival.class as usize) {
                tries.borrow_mut().begin();
            }
            let taken = PendingRequest {
                message,
                class: arrival.class as usize,
                latency_objective: self
                    .classes
                    .get(arrival.class as usize)
                    .map_or(Nanos::MAX, |c| c.latency_objective),
                deadline,
                reply: Some(seat.clone()),
                attempts: Vec::new(),
                out: 0,
                kept: None,
                timed_out: false,
            };
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
        let mut waiting = Waiting { driver: self, id, sitting: AttemptSet::new(seat) };
        Some(waiting.sitting.answer().await)
    }

    fn send(
        self: &Rc<Self>,
        core: &mut RuntimeState,
        id: RequestId,
        server: ServerId,
        timeout_at: Nanos,
    ) {
        let now = self.clock.now();
        let Some(taken) = core.taken.get_mut(&id) else { return };
        let number = taken.attempts.len() as u32;
        let cancel = Rc::new(AttemptControl::new(taken.message.client.clone()));
        // Two copies at one server would wait in the same queue.
        let beside = taken.attempts.iter().any(|a| a.out() && a.server == server);
        let send_by = self.send_by(taken);
        let attempt = Attempt { server, sent: now, cancel: cancel.clone(), outcome: None };
        taken.attempts.push(attempt);
        taken.out += 1;
        let until = match timeout_at {
            0 => taken.deadline,
            at => at.min(taken.deadline),
        };
        let exceeded = taken.attempts.len() > self.max_attempts || beside;
        if cancel.is_left() {
            // Nobody hears the answer.
            core.abandon(&id, RequestOutcome::Failed { timed_out: false });
        }
        let Some(taken) = core.taken.get_mut(&id) else { return };
        let client = taken.reply.clone().filter(|_| !exceeded && until > now);
        let Some(client) = client else {
            let end = core.end_attempt(&id, number, Outcome::Unused, None, now);
            core.events.extend(end.map(|(event, _)| event));
            return;
        };
        let to = self.to(server);
        let mut message = taken.message.request.clone();
        if self.style == UpstreamProtocol::Platform {
            let remaining = HeaderValue::from((until - now) / 1_000_000);
            message.headers_mut().insert(REMAINING_MS, remaining);
        }
        if let RequestBody::Streamed(upload) = message.body() {
            // What has gone of such a body can't be sent again: the module may not try.
            let (driver, id) = (Rc::downgrade(self), id.clone());
            upload.on_begin(move || {
                if let Some(driver) = driver.upgrade() {
                    driver.post(Event::StreamStarted { id, attempt: number });
                }
            });
        }
        let held = !matches!(message.body(), RequestBody::Streamed(_));
        let class = taken.class;
        let trial = self.tries.get(class).filter(|_| held).and_then(|tries| {
            let mut tries = tries.borrow_mut();
            let copy_after = tries.copy_after(now).filter(|_| number == 0);
            let limit = tries.limit(now, number);
            (limit.is_some() || copy_after.is_some())
                .then_some(AttemptTimeouts { limit, copy_after })
        });
        let bounds = self.tries.get(class).map(|tries| {
            let tries = tries.borrow();
            [tries.plan().connect, tries.plan().idle].map(Duration::from_nanos)
        });
        let until = AttemptDeadlines {
            end: self.clock.instant(until),
            send_by: send_by.map(|at| self.clock.instant(at)),
            connect: bounds.map(|[connect, _]| connect),
            idle: bounds.map(|[_, idle]| idle),
        };
        let attempt = AttemptRun { driver: self.clone(), id, number, class, trial };
        client.start(Box::pin(attempt.run(to, message, until, cancel)));
    }

    /// When a further attempt of a keyed request has to be with a server at the latest. The
    /// module decides when it starts; its connection and its writing take time.
    fn send_by(&self, taken: &PendingRequest) -> Option<Nanos> {
        let window = self.classes.get(taken.class)?.window()?;
        Some(taken.ran_at()?.saturating_add(window))
    }

    /// Whether an attempt whose own time is up is to end now; else when to look again.
    fn expired(&self, class: usize, limit: Nanos) -> TimeoutAction {
        let paid = self.core.borrow().balancer.can_retry();
        let elsewhere = self.endpoints.len() > 1;
        let cut = |tries: &RefCell<AttemptTracker>| {
            tries.borrow_mut().expired(self.clock.now(), limit, paid, elsewhere)
        };
        self.tries.get(class).map_or(TimeoutAction::Now, cut)
    }

    /// Asks the module for a second copy of a request, if their share allows one.
    fn second_copy(self: &Rc<Self>, class: usize, id: &RequestId) {
        if self.tries.get(class).is_some_and(|tries| tries.borrow_mut().may_copy()) {
            self.post(Event::HedgeRequested { id: id.clone() });
        }
    }

    /// Writes of an attempt that did not go well why it ended.
    fn note(&self, attempt: u32, server: ServerId, outcome: Outcome, took: Nanos) {
        let well = matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Cancelled);
        let Some((cluster, notes)) = self.notes.as_ref().filter(|_| !well) else { return };
        if !tracing::enabled!(tracing::Level::INFO) {
            return;
        }
        let Some(left_out) = notes.may_write(&self.clock) else { return };
        let endpoint = self.endpoints.address(server).map(|at| at.to_string());
        let endpoint = endpoint.unwrap_or_default();
        let (took_ms, try_number) = (took / 1_000_000, attempt + 1);
        tracing::info!(%cluster, endpoint, try_number, ?outcome, took_ms, left_out, "a try ended");
    }

    /// What half of the answers of a class take; 0 while that is not known.
    pub fn usual(&self, class: u32) -> Nanos {
        let now = self.clock.now();
        self.tries.get(class as usize).map_or(0, |tries| tries.borrow_mut().usual(now))
    }

    /// When a client whose request has not been sent is told to come back.
    pub fn advice(&self, class: u32) -> Nanos {
        self.come_back(class, None).unwrap_or(0)
    }

    /// Attempts that were ended for their own time, and second copies, so far.
    pub fn tried(&self) -> [u64; 2] {
        self.tries.iter().fold([0; 2], |[cut, copied], tries| {
            let [more_cut, more_copied] = tries.borrow().counts();
            [cut + more_cut, copied + more_copied]
        })
    }

    fn attempt_ended(
        self: &Rc<Self>,
        id: &RequestId,
        number: u32,
        outcome: Outcome,
        report: Option<Vec<f64>>,
        headed: Option<Nanos>,
    ) {
        let mut core = self.core.borrow_mut();
        // What an attempt took is told by the head of its answer, however long the body.
        let now = self.clock.now();
        let class = core.taken.get(id).map(|taken| taken.class);
        let end = core.end_attempt(id, number, outcome, report, headed.unwrap_or(now));
        if let Some((event, in_time)) = end {
            let tries = class.and_then(|class| self.tries.get(class));
            if let (Some(tries), true) = (tries, outcome.answered()) {
                if let Event::AttemptEnded { took, .. } = &event {
                    tries.borrow_mut().answered(now, *took);
                }
            }
            if let Event::AttemptEnded { server, took, .. } = &event {
                self.note(number, *server, outcome, *took);
                if matches!(outcome, Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut) {
                    self.on_doubt.borrow().iter().for_each(|call| call(*server));
                }
            }
            let end = End::of(outcome, in_time);
            if let Some((recovery, end)) = self.recovery.as_ref().zip(end) {
                recovery.borrow_mut().pace.ended(now, end);
            }
            core.events.push_back(event);
        }
        self.turn(&mut core);
    }

    fn to(&self, server: ServerId) -> Option<Target> {
        let address = self.endpoints.address(server)?;
        Some(Target { server, address })
    }

    fn probe(self: &Rc<Self>, core: &mut RuntimeState, server: ServerId) {
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

impl EndpointListObserver for Rc<ClusterRuntime> {
    fn listed(&self, kind: ListKind, version: u64, servers: Vec<ListedServer>) {
        self.post(Event::Servers { kind, version, entries: servers.into() });
    }
}

/// One attempt on its way.
struct AttemptRun {
    driver: Rc<ClusterRuntime>,
    id: RequestId,
    number: u32,
    class: usize,
    /// What of its own time limits it.
    trial: Option<AttemptTimeouts>,
}

impl AttemptRun {
    async fn run(
        self,
        to: Option<Target>,
        message: Request<RequestBody>,
        until: AttemptDeadlines,
        cancel: Rc<AttemptControl>,
    ) {
        let driver = &self.driver;
        let ended = match (to, self.trial) {
            (Some(to), None) => driver.upstream.attempt(to, message, until, &cancel).await,
            (Some(to), Some(trial)) => {
                let attempt = driver.upstream.attempt(to, message, until, &cancel);
                let expired = |limit| driver.expired(self.class, limit);
                let copy = || driver.second_copy(self.class, &self.id);
                attempt_timeouts::run(attempt, trial, &cancel, expired, copy).await
            }
            // No longer listed: nowhere to connect to.
            (None, _) => Outcome::ConnectFailed.into(),
        };
        let AttemptResult { outcome, report, answer } = ended;
        let fields = driver.report_fields.as_deref();
        let report = report.zip(fields).and_then(|(text, fields)| parse_load_report(&text, fields));
        let (id, number) = (self.id, self.number);
        match answer {
            // It is on its way to the client, and nothing else may be.
            Some(UpstreamResponse { status, headers, body: UpstreamBody::Stream(mut stream) }) => {
                driver.post(Event::StreamStarted { id: id.clone(), attempt: number });
                let headed = driver.clock.now();
                let (then, of) = (driver.clone(), id.clone());
                stream.on_end(move |outcome| {
                    then.attempt_ended(&of, number, outcome, None, Some(headed));
                });
                let answer =
                    UpstreamResponse { status, headers, body: UpstreamBody::Stream(stream) };
                let reply = RequestOutcome::Served(Box::new(answer));
                // Danger: dropped inside, a stream that nobody takes would come back here.
                let undelivered = driver.core.borrow_mut().conclude(&id, reply);
                drop(undelivered);
            }
            Some(UpstreamResponse { status, headers, body: UpstreamBody::Socket(mut socket) }) => {
                driver.post(Event::StreamStarted { id: id.clone(), attempt: number });
                let headed = driver.clock.now();
                let (then, of) = (driver.clone(), id.clone());
                let end: Box<dyn FnOnce()> = Box::new(move || {
                    then.attempt_ended(&of, number, Outcome::Ok, None, Some(headed));
                });
                socket.seat = Some(Box::new(driver.weights.open(socket.to.server, end)));
                let answer =
                    UpstreamResponse { status, headers, body: UpstreamBody::Socket(socket) };
                let reply = RequestOutcome::Served(Box::new(answer));
                let undelivered = driver.core.borrow_mut().conclude(&id, reply);
                drop(undelivered);
                driver.weights.settle();
            }
            // It may have run, and what came is no answer: not to be tried again.
            Some(UpstreamResponse { body: UpstreamBody::InvalidUpgrade, .. }) => {
                driver.post(Event::StreamStarted { id: id.clone(), attempt: number });
                driver.attempt_ended(&id, number, Outcome::Error, report, None);
            }
            // Maybe another server does better.
            Some(answer) if matches!(outcome, Outcome::Error | Outcome::Full) => {
                if let Some(taken) = driver.core.borrow_mut().taken.get_mut(&id) {
                    taken.kept = Some(answer);
                }
                driver.attempt_ended(&id, number, outcome, report, None);
            }
            Some(answer) => {
                drop(
                    driver
                        .core
                        .borrow_mut()
                        .conclude(&id, RequestOutcome::Served(Box::new(answer))),
                );
                driver.attempt_ended(&id, number, outcome, report, None);
            }
            None => driver.attempt_ended(&id, number, outcome, report, None),
        }
    }
}

/// A client's wait; dropped before its answer, it tells the module that the client has left.
struct Waiting<'a> {
    driver: &'a Rc<ClusterRuntime>,
    id: RequestId,
    sitting: AttemptSet<RequestOutcome>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.sitting.leave();
        let mut core = self.driver.core.borrow_mut();
        if core.leave(&self.id) {
            self.driver.turn(&mut core);
        }
    }
}
