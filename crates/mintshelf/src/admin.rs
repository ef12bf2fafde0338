//! The admin listener: figures and what is in force.

use crate::daemon::Daemon;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Response, StatusCode};
use mintshelf_proxy::client::handler::{ClientRequest, RequestHandler, ResponseBody};
use mintshelf_proxy::gateway::rejection::Rejection;
use mintshelf_websocket::session::ClosedBy;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Answers `/-/metrics`, `/-/config` and `/-/ready`.
pub struct Admin {
    /// What it tells of.
    pub daemon: Rc<Daemon>,
}

impl RequestHandler for Admin {
    async fn respond(self: Rc<Self>, request: ClientRequest) -> Response<ResponseBody> {
        let ClientRequest { request, is_draining, .. } = request;
        let bare = request.method() == Method::HEAD;
        if request.method() != Method::GET && !bare {
            let what = "the admin listener only tells";
            return Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "method", what).response(bare);
        }
        let (kind, text) = match request.uri().path() {
            "/-/metrics" => {
                let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                (kind, self.metrics())
            }
            "/-/config" => ("application/json", format!("{}\n", self.daemon.in_force())),
            "/-/ready" if !is_draining => ("text/plain", "ready\n".to_string()),
            "/-/ready" => {
                let what = "the planned end has begun";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Rejection::new(status, "draining", what).response(bare);
            }
            _ => {
                let what = "there are /-/metrics, /-/config and /-/ready";
                return Rejection::new(StatusCode::NOT_FOUND, "no-page", what).response(bare);
            }
        };
        let body = if bare { Bytes::new() } else { Bytes::from(text) };
        let mut response = Response::new(ResponseBody::buffered(body));
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        response
    }
}

type Label = [(&'static str, String); 1];
type Pair = [(&'static str, String); 2];

/// Registers counts by a label.
fn counters(
    registry: &mut Registry,
    name: &str,
    help: &str,
    label: &'static str,
    of: impl IntoIterator<Item = (String, u64)>,
) {
    let family = Family::<Label, Counter>::default();
    for (value, count) in of {
        family.get_or_create(&[(label, value)]).inc_by(count);
    }
    registry.register(name, help, family);
}

/// Registers levels by a label.
fn gauges(
    registry: &mut Registry,
    name: &str,
    help: &str,
    label: &'static str,
    of: impl IntoIterator<Item = (String, i64)>,
) {
    let family = Family::<Label, Gauge>::default();
    for (value, level) in of {
        family.get_or_create(&[(label, value)]).set(level);
    }
    registry.register(name, help, family);
}

impl Admin {
    /// What the open WebSockets are and were.
    fn sockets(&self, registry: &mut Registry) {
        let levels = self.daemon.sockets.usage();
        let of = |levels: BTreeMap<String, u64>| levels.into_iter().map(|(of, n)| (of, n as i64));
        gauges(registry, "sockets", "Open WebSockets, by cluster", "cluster", of(levels.clusters));
        let help = "Open WebSockets, by tenant";
        gauges(registry, "tenant_sockets", help, "tenant", of(levels.tenants));
        let endpoints = Family::<Pair, Gauge>::default();
        for ((cluster, server), level) in &levels.endpoints {
            let at = self.daemon.address(cluster, *server);
            let pair = [("cluster", cluster.clone()), ("endpoint", at)];
            endpoints.get_or_create(&pair).inc_by(*level as i64);
        }
        registry.register("endpoint_sockets", "Open WebSockets, by endpoint", endpoints);
        let queued: Gauge = Gauge::default();
        queued.set(levels.queued_bytes as i64);
        registry.register("socket_queued_bytes", "Bytes that wait for an end", queued);
        let counts = self.daemon.sockets.stats.borrow();
        let of = |counts: &BTreeMap<Rc<str>, u64>| -> Vec<(String, u64)> {
            counts.iter().map(|(of, n)| (of.to_string(), *n)).collect()
        };
        counters(registry, "sockets_opened", "WebSockets opened", "cluster", of(&counts.opened));
        let help = "WebSockets that went on at another server";
        counters(registry, "sockets_moved", help, "cluster", of(&counts.migrated));
        let closed = Family::<Pair, Counter>::default();
        for ((by, code), count) in &counts.closed {
            let by = match by {
                ClosedBy::Client => "client",
                ClosedBy::Server => "server",
                ClosedBy::Sidecar => "sidecar",
            };
            let pair = [("by", by.to_string()), ("code", code.to_string())];
            closed.get_or_create(&pair).inc_by(*count);
        }
        let help = "WebSockets ended, by who ended them and with which code";
        registry.register("sockets_closed", help, closed);
        let senders = [("client", counts.from_client), ("server", counts.from_server)];
        let of = senders.map(|(from, traffic)| (from.to_string(), traffic.messages));
        let help = "Messages passed, by who sent them";
        counters(registry, "socket_messages", help, "from", of.into_iter());
        let of = senders.map(|(from, traffic)| (from.to_string(), traffic.bytes));
        let help = "Bytes received, by who sent them";
        counters(registry, "socket_bytes", help, "from", of.into_iter());
    }

    fn metrics(&self) -> String {
        let mut registry = Registry::with_prefix("mintshelf");
        let all = &mut registry;
        let daemon = &self.daemon;
        let statuses = daemon.counts.responses.borrow();
        let statuses = statuses.iter().map(|(status, n)| (status.to_string(), *n));
        counters(all, "answers", "Answers to clients, by status", "status", statuses);
        counters(all, "requests", "Requests by route", "route", daemon.hits());
        let refusals = daemon.counts.rejections.borrow();
        let refusals = refusals.iter().map(|(code, n)| (code.to_string(), *n));
        counters(all, "refusals", "Errors of this side's own, by code", "code", refusals);
        let reloads = daemon.reloads().map(|(result, n)| (result.to_string(), n));
        counters(all, "reloads", "Files read again, by result", "result", reloads.to_vec());
        let tried = daemon.tried();
        let of = |which: usize| {
            tried.iter().map(|(name, counts)| (name.clone(), counts[which])).collect::<Vec<_>>()
        };
        counters(all, "tries_cut", "Attempts ended for their own time", "cluster", of(0));
        counters(all, "second_copies", "Second copies sent", "cluster", of(1));
        let pools = daemon.pools();
        let of = |which: usize| {
            pools.iter().map(move |(name, levels)| (name.clone(), levels[which] as i64))
        };
        gauges(all, "open_requests", "Requests that have no answer yet", "cluster", of(0));
        gauges(all, "timers", "Timers set for open requests", "cluster", of(1));
        gauges(all, "endpoints", "Endpoints listed", "cluster", of(2));
        let help = "Whether the cluster is as usual (0), out (1), or coming back (2)";
        gauges(all, "recovery_phase", help, "cluster", of(3));
        let help = "Clients that were told when to come back, and whose time is ahead";
        gauges(all, "expected_back", help, "cluster", of(4));
        let usage = daemon.gates.usage();
        let tenants = usage.tenants.into_iter();
        let tenants = tenants.map(|usage| (usage.tenant, i64::from(usage.in_flight)));
        gauges(all, "tenant_requests", "Requests under way, by tenant", "tenant", tenants);
        let queues = usage.clusters.iter();
        let requests = queues.clone().map(|of| (of.cluster.clone(), of.queue.in_flight as i64));
        let waiting = queues.map(|of| (of.cluster.clone(), of.queue.queued as i64));
        gauges(
            all,
            "gate_requests",
            "Requests that have a place at a cluster",
            "cluster",
            requests,
        );
        gauges(all, "gate_waiting", "Requests that wait for a place", "cluster", waiting);
        self.sockets(&mut registry);
        let clients: Gauge = Gauge::default();
        clients.set(daemon.clients.len() as i64);
        registry.register("clients", "Connections of clients", clients);
        let mut text = String::new();
        match prometheus_client::encoding::text::encode(&mut text, &registry) {
            Ok(()) => text,
            Err(_) => "# EOF\n".to_string(),
        }
    }
}
