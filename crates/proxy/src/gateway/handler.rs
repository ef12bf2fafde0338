//! Ordinary HTTP/1.1 in front of the decision module: routes, edits, streams.

use crate::client::connection::{Client, Phase};
use crate::client::listener::{RequestHandler, ResponseBody};
use crate::cluster::runtime::{ClusterRuntime, RequestMetadata, RequestOutcome, UpstreamRequest};
use crate::gateway::admission::{AdmissionController, ClusterPermit};
use crate::gateway::edits::{append, append_via, edit, redirected, responded, rewritten};
use crate::gateway::rejection::Rejection;
use crate::headers::{strip_for_next_hop, BufferedBody, BODY_MAX};
use crate::sockets::front::{Opening, Place};
use crate::sockets::registry::Sockets;
use crate::upstream::exchange::{UpstreamBody, UpstreamResponse};
use crate::upstream::request_body::{RequestBody, StreamedBody};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use mintshelf_admission::queue::QueueEntry;
use mintshelf_admission::slots::SlotOwner;
use mintshelf_admission::tenants::{Tenants, OTHER_TENANTS};
use mintshelf_balancer::api::{Effect, Nanos};
use mintshelf_config::model::{Forward, Forwarding, Route, Sticky, Then};
use mintshelf_config::module::{severity, ModuleClass};
use mintshelf_routing::{pattern, Probe, Table};
use mintshelf_websocket::handshake;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, timeout_at, Instant};

/// How long a body waits for room among the bodies held.
const ROOM_WAIT: Duration = Duration::from_secs(1);
/// How long a body of unknown length may take to come whole before it is passed on as it
/// comes. One that came whole can be sent again.
const HOLD_WAIT: Duration = Duration::from_millis(5);

/// What is in force on one listener: a snapshot, swapped whole by a reload. Requests keep
/// the one they began with.
pub struct ServingConfig {
    /// Finds a route's place.
    pub table: Table,
    /// The routes, in the same order.
    pub routes: Vec<Route>,
    /// Requests that each of them took.
    pub hits: Vec<Cell<u64>>,
    /// The clusters by name.
    pub clusters: HashMap<String, Rc<ClusterHandle>>,
    /// What is told of this hop.
    pub forwarding: Forwarding,
    /// The listener's name.
    pub listener: String,
    /// Limits of tenants, routes and clusters; absent where there are none.
    pub limited: Option<ListenerAdmission>,
    /// The header that marks a repeat.
    pub repeat_header: Option<HeaderName>,
}

/// Limits, and whose requests are.
pub struct ListenerAdmission {
    /// The limits.
    pub gates: Rc<AdmissionController>,
    /// Tells tenants apart; absent where there are none.
    pub tenants: Option<Rc<Tenants>>,
    /// The header that names a tenant.
    pub tenant_header: Option<HeaderName>,
    /// The routes' names, in their order.
    pub routes: Vec<Rc<str>>,
    /// The clusters' names.
    pub clusters: HashMap<String, Rc<str>>,
}

impl ListenerAdmission {
    /// Whose a request is.
    fn tenant(&self, client: &Client, listener: &str, headers: &HeaderMap) -> Rc<str> {
        let Some(tenants) = &self.tenants else { return OTHER_TENANTS.into() };
        let value = self.tenant_header.as_ref().and_then(|name| headers.get(name));
        tenants.of(client.peer.ip(), listener, value.and_then(|value| value.to_str().ok()))
    }
}

impl ServingConfig {
    /// Requests by the names of their routes.
    pub fn hits(&self) -> impl Iterator<Item = (&str, u64)> {
        let names = self.routes.iter().map(|route| route.name.as_str());
        names.zip(self.hits.iter().map(Cell::get))
    }
}

/// A cluster with its own instance of the decision module.
pub struct ClusterHandle {
    /// The instance.
    pub driver: Rc<ClusterRuntime>,
    /// The module's classes by the file's names.
    pub classes: BTreeMap<String, ModuleClass>,
}

/// What was done, for the figures.
#[derive(Debug, Default)]
pub struct ProxyStats {
    /// Answers by status.
    pub statuses: RefCell<HashMap<u16, u64>>,
    /// Requests by route, of what is no longer in force.
    pub routes: RefCell<HashMap<String, u64>>,
    /// Refusals of this side's own, by code.
    pub refusals: RefCell<HashMap<&'static str, u64>>,
}

/// The general front of one listener.
pub struct GatewayHandler {
    serving: RefCell<Rc<ServingConfig>>,
    room: Arc<Semaphore>,
    counts: Rc<ProxyStats>,
    pub(crate) sockets: Rc<Sockets>,
    last_id: Cell<u64>,
    seed: u64,
}

impl GatewayHandler {
    /// Serves with this; `seed` keeps the ids of two runs apart.
    pub fn new(
        serving: Rc<ServingConfig>,
        room: Arc<Semaphore>,
        counts: Rc<ProxyStats>,
        sockets: Rc<Sockets>,
        seed: u64,
    ) -> Rc<Self> {
        let (serving, last_id) = (RefCell::new(serving), Cell::new(0));
        Rc::new(GatewayHandler { serving, room, counts, sockets, last_id, seed })
    }

    /// Serves requests that come from now on with this.
    pub fn swap(&self, serving: Rc<ServingConfig>) {
        let old = self.serving.replace(serving);
        let mut routes = self.counts.routes.borrow_mut();
        for (name, hits) in old.hits() {
            *routes.entry(name.to_string()).or_default() += hits;
        }
    }

    /// What is in force.
    pub fn serving(&self) -> Rc<ServingConfig> {
        self.serving.borrow().clone()
    }

    fn next_number(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// An id for a request that brought none: 32 hexadecimal digits.
    fn new_id(&self) -> HeaderValue {
        let id = format!("{:016x}{:016x}", self.seed, self.next_number());
        HeaderValue::from_str(&id).unwrap_or(HeaderValue::from_static("0"))
    }
}

impl RequestHandler for GatewayHandler {
    async fn respond(
        self: Rc<Self>,
        client: Rc<Client>,
        request: Request<Incoming>,
        draining: bool,
    ) -> Response<ResponseBody> {
        let serving = self.serving.borrow().clone();
        let bare = request.method() == Method::HEAD;
        let answered = self.answer(&serving, &client, request, draining).await;
        let response = answered.unwrap_or_else(|refusal| {
            let mut refusals = self.counts.refusals.borrow_mut();
            *refusals.entry(refusal.code).or_default() += 1;
            refusal.response(bare)
        });
        *self.counts.statuses.borrow_mut().entry(response.status().as_u16()).or_default() += 1;
        response
    }
}

impl GatewayHandler {
    async fn answer(
        self: &Rc<Self>,
        serving: &ServingConfig,
        client: &Rc<Client>,
        request: Request<Incoming>,
        draining: bool,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let seen = client.scan.borrow_mut().next_head();
        if let Some(why) = seen.doubtful {
            return Err(Rejection::new(StatusCode::BAD_REQUEST, "doubtful-framing", why).last());
        }
        let host = authority(&request)?;
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_string();
        let bad = |code, what| Rejection::new(StatusCode::BAD_REQUEST, code, what);
        if request.method() == Method::CONNECT {
            let what = "this is no tunnel";
            return Err(Rejection::new(StatusCode::NOT_IMPLEMENTED, "no-tunnel", what).last());
        }
        if pattern::has_dot_segments(path.split('?').next().unwrap_or("/")) {
            return Err(bad("climbing-path", "the path holds an element '.' or '..'"));
        }
        let expect = request.headers().get(header::EXPECT);
        if expect.is_some_and(|e| !e.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
            let what = "only 100-continue can be expected";
            return Err(Rejection::new(StatusCode::EXPECTATION_FAILED, "expectation", what));
        }
        let probe = Probe::new(&host, &path, request.method(), request.headers());
        let Some(place) = serving.table.find(&probe) else {
            let what = "no route takes this request";
            return Err(Rejection::new(StatusCode::NOT_FOUND, "no-route", what));
        };
        let route = &serving.routes[place];
        let key = match &route.then {
            Then::Forward(forward) => sticky_key(forward.sticky.as_ref(), &probe, client),
            _ => None,
        };
        serving.hits[place].set(serving.hits[place].get() + 1);
        match &route.then {
            Then::Forward(forward) => {
                let key = key.unwrap_or_else(|| self.next_number().to_le_bytes().to_vec());
                let to =
                    ForwardContext { serving, place, route, forward, key, host, path, draining };
                self.forward(to, client, request).await
            }
            Then::Redirect(redirect) => redirected(redirect, route, &host, &path),
            Then::Respond(respond) => Ok(responded(respond)),
        }
    }

    async fn forward(
        self: &Rc<Self>,
        way: ForwardContext<'_>,
        client: &Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let ForwardContext { serving, place, route, forward, key, host, path, draining } = way;
        let name = forward.split.pick(&key);
        let pool = serving.clusters.get(name);
        let gone = || {
            let what = "the route's cluster is not there";
            Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "no-cluster", what)
        };
        let pool = pool.ok_or_else(gone)?;
        let class = pool.classes.get(&route.policy).ok_or_else(gone)?;
        let keyed = request.headers().contains_key("idempotency-key");
        let effect = effect_of(class.effect, route.effect, request.method(), keyed);
        let (number, patience) = (class.numbers[severity(effect)], class.deadline);
        let (class, priority_weight) = (number.ok_or_else(gone)?, class.priority_weight);
        let marked = serving.repeat_header.as_ref().and_then(|name| request.headers().get(name));
        let repeat = marked.is_some_and(|value| value != "0");
        // The stages of a request's way: its tenant and route, its body, its cluster, then the
        // decision module.
        let entered = match &serving.limited {
            Some(limited) => {
                let tenant = limited.tenant(client, &serving.listener, request.headers());
                Some(limited.gates.enter(tenant, &limited.routes[place])?)
            }
            None => None,
        };
        let opening = match &forward.websocket {
            Some(set) if handshake::asks(request.headers()) => {
                let sitter = SlotOwner {
                    tenant: entered
                        .as_ref()
                        .map_or(OTHER_TENANTS.into(), |entered| entered.tenant.clone()),
                    route: route.name.as_str().into(),
                    cluster: name.into(),
                };
                Some(Opening::begin(&self.sockets, set, &request, sitter, draining)?)
            }
            _ => None,
        };
        let (mut head, body) = request.into_parts();
        head.extensions.clear();
        strip_for_next_hop(&mut head.headers);
        self.mark(&serving.forwarding, &mut head.headers, client, &host);
        edit(&mut head.headers, &forward.request);
        let target = rewritten(forward.rewrite_prefix.as_deref(), route, &path);
        let bad = |what| Rejection::new(StatusCode::BAD_REQUEST, "target", what);
        head.uri = target.parse::<Uri>().map_err(|_| bad("the target can't be written"))?;
        head.version = Version::HTTP_11;
        if !head.headers.contains_key(header::HOST) {
            let host = HeaderValue::from_str(&host).map_err(|_| bad("the host is no host"))?;
            head.headers.insert(header::HOST, host);
        }
        if let Some(opening) = &opening {
            opening.ask(&mut head);
        }
        let filled = match serving.limited.as_ref().zip(entered.as_ref()) {
            Some((limited, entered)) if !body.is_end_stream() => {
                Some(limited.gates.fill(&entered.tenant, held_size(&body).1 as u64)?)
            }
            _ => None,
        };
        let (body, room) = self.body(client, body).await?;
        client.enter(Phase::Busy);
        let kept = opening.as_ref().map(|_| head.clone());
        let request = Request::from_parts(head, body);
        let message =
            UpstreamRequest { request, txn: None, _room: room, client: Some(client.clone()) };
        let tenant = entered.as_ref().map(|entered| entered.tenant.clone());
        let asks = ClusterRequest { class, priority_weight, repeat, patience, tenant };
        let (reply, through) = send(serving, name, pool, asks, message).await?;
        drop(filled);
        match reply {
            Some(RequestOutcome::Served(answer))
                if matches!(answer.body, UpstreamBody::Socket(_)) =>
            {
                let gone = || {
                    let what = "the server upgraded what was no handshake; it may have run";
                    Rejection::new(StatusCode::BAD_GATEWAY, "upstream-failed", what)
                };
                let (opening, head) = opening.zip(kept).ok_or_else(gone)?;
                let UpstreamResponse { status, headers, body } = *answer;
                let UpstreamBody::Socket(socket) = body else { return Err(gone()) };
                let body = UpstreamBody::Whole(Bytes::new());
                let mut response =
                    self.passed(serving, forward, UpstreamResponse { status, headers, body });
                opening.answer(response.headers_mut());
                let place = Place {
                    cluster: name.to_string(),
                    policy: route.policy.clone(),
                    effect,
                    head,
                    agreed: socket.agreed.clone(),
                };
                let upgrade = opening.upgrade(self, pool, class, place, socket);
                *client.upgrade.borrow_mut() = Some(upgrade);
                Ok(response)
            }
            Some(RequestOutcome::Served(mut answer)) => {
                if let (UpstreamBody::Stream(stream), Some(_)) = (&mut answer.body, &entered) {
                    stream.keep(Box::new((through, entered)));
                }
                Ok(self.passed(serving, forward, *answer))
            }
            Some(RequestOutcome::Refused { after, .. }) => {
                let what = "no server can take it now; it has not run";
                let refusal = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded", what);
                Err(refusal.after(after))
            }
            Some(RequestOutcome::Paced(after)) => {
                let what = "the cluster is out or coming back; it has not run";
                Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "outage", what).after(after))
            }
            Some(RequestOutcome::Failed { timed_out: true }) => {
                let what = "no server answered in time; it may have run";
                Err(Rejection::new(StatusCode::GATEWAY_TIMEOUT, "upstream-timeout", what))
            }
            Some(RequestOutcome::Failed { timed_out: false }) | None => {
                let what = "the server broke off; it may have run";
                Err(Rejection::new(StatusCode::BAD_GATEWAY, "upstream-failed", what))
            }
        }
    }

    /// A server's answer as it goes to the client.
    fn passed(
        &self,
        serving: &ServingConfig,
        forward: &Forward,
        answer: UpstreamResponse,
    ) -> Response<ResponseBody> {
        let UpstreamResponse { status, mut headers, body } = answer;
        strip_for_next_hop(&mut headers);
        if let Some(via) = &serving.forwarding.via {
            append_via(&mut headers, via);
        }
        edit(&mut headers, &forward.response);
        let body = match body {
            UpstreamBody::Whole(body) => ResponseBody::whole(body),
            UpstreamBody::Stream(stream) => ResponseBody::Stream(stream),
            UpstreamBody::Socket(_) | UpstreamBody::InvalidUpgrade => {
                ResponseBody::whole(Bytes::new())
            }
        };
        let mut response = Response::new(body);
        (*response.status_mut(), *response.headers_mut()) = (status, headers);
        response
    }

    /// Tells of this hop.
    fn mark(&self, on: &Forwarding, headers: &mut HeaderMap, client: &Client, host: &str) {
        if let Some(via) = &on.via {
            append_via(headers, via);
        }
        if on.forwarded {
            let ip = match client.peer.ip() {
                std::net::IpAddr::V4(ip) => ip.to_string(),
                std::net::IpAddr::V6(ip) => format!("\"[{ip}]\""),
            };
            let hop = format!("for={ip};host=\"{host}\";proto=http");
            append(headers, header::FORWARDED, &hop);
        }
        if let Some(name) = on.request_id.as_ref().filter(|name| !headers.contains_key(*name)) {
            headers.insert(name, self.new_id());
        }
    }

    /// Takes what has come of a body: whole if it is short and there, else as it comes.
    async fn body(
        &self,
        client: &Client,
        mut body: Incoming,
    ) -> Result<(RequestBody, Option<OwnedSemaphorePermit>), Rejection> {
        if body.is_end_stream() {
            return Ok((RequestBody::default(), None));
        }
        let (short, want) = held_size(&body);
        let room = self.room.clone().acquire_many_owned(want.max(1) as u32);
        let Ok(Ok(room)) = timeout(ROOM_WAIT, room).await else {
            let what = "there is no room for its body now; it has not run";
            let refusal = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "no-room", what);
            return Err(refusal.after(1_000_000_000).last());
        };
        client.enter(Phase::Busy);
        let (mut held, mut over) = (BytesMut::new(), false);
        let until = Instant::now() + HOLD_WAIT;
        while !over && held.len() < want.max(1) {
            let next = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx));
            let frame = match short {
                true => Some(next.await),
                false => timeout_at(until, next).await.ok(),
            };
            match frame {
                None => break,
                Some(None) => over = true,
                Some(Some(Ok(frame))) => {
                    held.extend_from_slice(&frame.into_data().unwrap_or_default())
                }
                Some(Some(Err(_))) => {
                    let what = "the body can't be read";
                    return Err(Rejection::new(StatusCode::BAD_REQUEST, "body", what).last());
                }
            }
        }
        if client.scan.borrow().spoilt() {
            let what = "the body's chunks can be read in two ways";
            return Err(Rejection::new(StatusCode::BAD_REQUEST, "doubtful-framing", what).last());
        }
        let held = held.freeze();
        let outbound = match short || over {
            true => RequestBody::Buffered(BufferedBody::new(held)),
            false => RequestBody::Streamed(StreamedBody::new(held, body)),
        };
        Ok((outbound, Some(room)))
    }
}

/// What a request asks of a cluster.
pub(crate) struct ClusterRequest {
    /// The module's class.
    pub(crate) class: u32,
    /// What its answer is worth.
    pub(crate) priority_weight: f64,
    /// Its client has asked for it before.
    pub(crate) repeat: bool,
    /// How long it may wait.
    pub(crate) patience: Nanos,
    /// Whose it is, where that is told.
    pub(crate) tenant: Option<Rc<str>>,
}

/// The last stages of a request's way: its cluster's gate, then the decision module. The place
/// at the gate is given back when what comes beside the reply is dropped.
pub(crate) async fn send(
    serving: &ServingConfig,
    name: &str,
    pool: &ClusterHandle,
    asks: ClusterRequest,
    message: UpstreamRequest,
) -> Result<(Option<RequestOutcome>, Option<ClusterPermit>), Rejection> {
    let ClusterRequest { class, priority_weight, repeat, mut patience, tenant } = asks;
    let mut through = None;
    let limited = serving.limited.as_ref();
    let gate = limited.and_then(|l| Some((&l.gates, l.clusters.get(name)?))).zip(tenant);
    if let Some(((gates, name), tenant)) = gate {
        let needs = pool.driver.usual(class);
        let offer = QueueEntry { tenant, repeat, priority_weight, deadline: 0, needs };
        let advice = || pool.driver.advice(class);
        (through, patience) = gates.pass(name, patience, offer, advice).await?;
    }
    let arrival =
        RequestMetadata { class, tenant: 0, key: None, cost_hint: None, repeat, patience };
    Ok((pool.driver.serve(arrival, message).await, through))
}

/// Whether a body is short enough to be held whole, and how much of it is held.
fn held_size(body: &Incoming) -> (bool, usize) {
    let short = body.size_hint().exact().is_some_and(|size| size <= BODY_MAX as u64);
    (short, if short { body.size_hint().lower() as usize } else { BODY_MAX })
}

/// What a request's way to a server is made of.
struct ForwardContext<'a> {
    serving: &'a ServingConfig,
    place: usize,
    route: &'a Route,
    forward: &'a Forward,
    key: Vec<u8>,
    host: String,
    path: String,
    draining: bool,
}

/// The effect of a request: what its route states, else the graver of its class's and its
/// method's (RFC 9110 9.2.1). A keyed one needs its key (`keyed`). It is never taken for
/// milder than it is: only the client of a PUT or DELETE knows what came between.
pub fn effect_of(class: Effect, route: Option<Effect>, method: &Method, keyed: bool) -> Effect {
    let effect = match (route, class) {
        (Some(effect), _) => effect,
        (None, Effect::Safe) if !method.is_safe() => Effect::Unsafe,
        (None, effect) => effect,
    };
    match effect {
        Effect::Idempotent if !keyed => Effect::Unsafe,
        effect => effect,
    }
}

/// The host that a request is for: that of its target, else that of its one Host header
/// (RFC 9112 3.2). Danger: where they differ, servers choose differently.
fn authority(request: &Request<Incoming>) -> Result<String, Rejection> {
    let bad = |what| Rejection::new(StatusCode::BAD_REQUEST, "host", what).last();
    let mut hosts = request.headers().get_all(header::HOST).iter();
    let (first, second) = (hosts.next(), hosts.next());
    if second.is_some() {
        return Err(bad("there are several Host headers"));
    }
    let text = first.map(|host| host.to_str().map_err(|_| bad("Host is no host"))).transpose()?;
    let named = request.uri().authority().map(|authority| authority.as_str());
    let host = match (named, text) {
        (Some(named), Some(text)) if !named.eq_ignore_ascii_case(text) => {
            return Err(bad("the target and Host name different hosts"));
        }
        (Some(named), _) => named,
        (None, Some(text)) => text,
        (None, None) if request.version() == Version::HTTP_11 => {
            return Err(bad("Host is missing"));
        }
        (None, None) => "",
    };
    let odd = |c: char| !c.is_ascii_graphic() || "/?#@\\,\"<>".contains(c);
    if host.contains(odd) {
        return Err(bad("Host is no host"));
    }
    Ok(host.to_string())
}

fn sticky_key(sticky: Option<&Sticky>, probe: &Probe, client: &Client) -> Option<Vec<u8>> {
    match sticky? {
        Sticky::Client => Some(client.peer.ip().to_string().into_bytes()),
        Sticky::Header(name) => probe.headers.get(name).map(|v| v.as_bytes().to_vec()),
        Sticky::Query(name) => probe.parameters(name).next().map(|v| v.as_bytes().to_vec()),
        Sticky::Cookie(name) => {
            let cookies = probe.headers.get_all(header::COOKIE).iter();
            let mut pairs = cookies.filter_map(|c| c.to_str().ok()).flat_map(|c| c.split(';'));
            pairs.find_map(|pair| {
                let (key, value) = pair.trim().split_once('=')?;
                (key == name).then(|| value.as_bytes().to_vec())
            })
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Effect::{Idempotent, Safe, Unsafe};

    #[test]
    fn no_effect_is_taken_for_milder_than_it_is() {
        let of = |class, method: &Method, keyed| effect_of(class, None, method, keyed);
        for (class, method, keyed, effect) in [
            (Safe, Method::GET, false, Safe),
            (Safe, Method::HEAD, false, Safe),
            (Safe, Method::POST, true, Unsafe),
            (Safe, Method::PUT, false, Unsafe),
            (Safe, Method::DELETE, false, Unsafe),
            (Safe, Method::from_bytes(b"PURGE").unwrap(), false, Unsafe),
            (Idempotent, Method::POST, true, Idempotent),
            (Idempotent, Method::POST, false, Unsafe),
            (Idempotent, Method::GET, false, Unsafe),
            (Unsafe, Method::GET, true, Unsafe),
        ] {
            assert_eq!(of(class, &method, keyed), effect, "{class:?} {method} {keyed}");
        }
        // The operator knows that this POST asks and changes nothing.
        assert_eq!(effect_of(Unsafe, Some(Safe), &Method::POST, false), Safe);
        assert_eq!(effect_of(Safe, Some(Idempotent), &Method::POST, false), Unsafe);
    }
}
