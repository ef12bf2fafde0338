//! The daemon's metrics, in the `OpenMetrics` text format.

use crate::daemon::{ClusterUsage, Daemon};
use mintshelf_recovery::Phase;
use mintshelf_websocket::session::ClosedBy;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;
use std::rc::Rc;

type OneLabel = [(&'static str, String); 1];
type TwoLabels = [(&'static str, String); 2];

/// The name and the help text of a metric.
struct Metric {
    name: &'static str,
    help: &'static str,
}

const fn metric(name: &'static str, help: &'static str) -> Metric {
    Metric { name, help }
}

/// All metrics as text; only the end mark if they cannot be encoded.
pub fn encode(daemon: &Daemon) -> String {
    let mut registry = Registry::with_prefix("mintshelf");
    register_requests(&mut registry, daemon);
    register_attempts(&mut registry, daemon);
    register_clusters(&mut registry, daemon);
    register_limits(&mut registry, daemon);
    register_open_websockets(&mut registry, daemon);
    register_websocket_counts(&mut registry, daemon);
    let clients = metric("clients", "Connections of clients");
    register_gauge(&mut registry, clients, daemon.clients.len() as i64);
    let mut encoded = String::new();
    match text::encode(&mut encoded, &registry) {
        Ok(()) => encoded,
        Err(_) => "# EOF\n".to_string(),
    }
}

/// Registers counters with one label.
fn register_counters(
    registry: &mut Registry,
    metric: Metric,
    label: &'static str,
    counts: impl IntoIterator<Item = (String, u64)>,
) {
    let family = Family::<OneLabel, Counter>::default();
    for (value, count) in counts {
        family.get_or_create(&[(label, value)]).inc_by(count);
    }
    registry.register(metric.name, metric.help, family);
}

/// Registers gauges with one label.
fn register_gauges(
    registry: &mut Registry,
    metric: Metric,
    label: &'static str,
    levels: impl IntoIterator<Item = (String, i64)>,
) {
    let family = Family::<OneLabel, Gauge>::default();
    for (value, level) in levels {
        family.get_or_create(&[(label, value)]).set(level);
    }
    registry.register(metric.name, metric.help, family);
}

/// Registers a gauge without labels.
fn register_gauge(registry: &mut Registry, metric: Metric, level: i64) {
    let gauge: Gauge = Gauge::default();
    gauge.set(level);
    registry.register(metric.name, metric.help, gauge);
}

fn register_requests(registry: &mut Registry, daemon: &Daemon) {
    let statuses = daemon.stats.responses.borrow();
    let statuses = statuses.iter().map(|(status, count)| (status.to_string(), *count));
    let answers = metric("answers", "Answers to clients, by status");
    register_counters(registry, answers, "status", statuses);
    let requests = metric("requests", "Requests by route");
    register_counters(registry, requests, "route", daemon.requests_by_route());
    let rejections = daemon.stats.rejections.borrow();
    let rejections = rejections.iter().map(|(code, count)| (code.to_string(), *count));
    let refusals = metric("refusals", "Errors of this side's own, by code");
    register_counters(registry, refusals, "code", rejections);
    let results = daemon.reloads().map(|(result, count)| (result.to_string(), count));
    let reloads = metric("reloads", "Files read again, by result");
    register_counters(registry, reloads, "result", results);
}

fn register_attempts(registry: &mut Registry, daemon: &Daemon) {
    let attempts = daemon.cluster_attempts();
    let timed_out = attempts.iter().map(|counts| (counts.cluster.clone(), counts.timed_out));
    let tries_cut = metric("tries_cut", "Attempts ended for their own time");
    register_counters(registry, tries_cut, "cluster", timed_out);
    let hedged = attempts.iter().map(|counts| (counts.cluster.clone(), counts.hedged));
    let second_copies = metric("second_copies", "Second copies sent");
    register_counters(registry, second_copies, "cluster", hedged);
}

fn register_clusters(registry: &mut Registry, daemon: &Daemon) {
    let usage = daemon.cluster_usage();
    let mut register = |metric: Metric, level: fn(&ClusterUsage) -> i64| {
        let levels = usage.iter().map(|usage| (usage.cluster.clone(), level(usage)));
        register_gauges(registry, metric, "cluster", levels);
    };
    let open_requests = metric("open_requests", "Requests that have no answer yet");
    register(open_requests, |usage| usage.open_requests as i64);
    let timers = metric("timers", "Timers set for open requests");
    register(timers, |usage| usage.timers as i64);
    let endpoints = metric("endpoints", "Endpoints listed");
    register(endpoints, |usage| usage.endpoints as i64);
    let help = "Whether the cluster is as usual (0), out (1), or coming back (2)";
    register(metric("recovery_phase", help), |usage| phase_number(usage.phase));
    let help = "Clients that were told when to come back, and whose time is ahead";
    register(metric("expected_back", help), |usage| usage.expected_clients as i64);
}

fn phase_number(phase: Phase) -> i64 {
    match phase {
        Phase::Normal => 0,
        Phase::Outage => 1,
        Phase::Recovering => 2,
    }
}

fn register_limits(registry: &mut Registry, daemon: &Daemon) {
    let usage = daemon.admission.usage();
    let tenants = usage.tenants.into_iter();
    let tenants = tenants.map(|usage| (usage.tenant, i64::from(usage.in_flight)));
    let tenant_requests = metric("tenant_requests", "Requests under way, by tenant");
    register_gauges(registry, tenant_requests, "tenant", tenants);
    let clusters = usage.clusters.iter();
    let in_flight = clusters.clone();
    let in_flight = in_flight.map(|usage| (usage.cluster.clone(), usage.queue.in_flight as i64));
    let gate_requests = metric("gate_requests", "Requests that have a place at a cluster");
    register_gauges(registry, gate_requests, "cluster", in_flight);
    let queued = clusters.map(|usage| (usage.cluster.clone(), usage.queue.queued as i64));
    let gate_waiting = metric("gate_waiting", "Requests that wait for a place");
    register_gauges(registry, gate_waiting, "cluster", queued);
}

fn register_open_websockets(registry: &mut Registry, daemon: &Daemon) {
    let usage = daemon.sockets.usage();
    let levels = |levels: BTreeMap<String, u64>| {
        levels.into_iter().map(|(name, level)| (name, level as i64))
    };
    let sockets = metric("sockets", "Open WebSockets, by cluster");
    register_gauges(registry, sockets, "cluster", levels(usage.clusters));
    let tenant_sockets = metric("tenant_sockets", "Open WebSockets, by tenant");
    register_gauges(registry, tenant_sockets, "tenant", levels(usage.tenants));
    let endpoints = Family::<TwoLabels, Gauge>::default();
    for ((cluster, server), level) in &usage.endpoints {
        let address = daemon.endpoint_address(cluster, *server);
        let labels = [("cluster", cluster.clone()), ("endpoint", address)];
        // Endpoints that are no longer listed share the empty address.
        endpoints.get_or_create(&labels).inc_by(*level as i64);
    }
    registry.register("endpoint_sockets", "Open WebSockets, by endpoint", endpoints);
    let queued_bytes = metric("socket_queued_bytes", "Bytes that wait for an end");
    register_gauge(registry, queued_bytes, usage.queued_bytes as i64);
}

fn register_websocket_counts(registry: &mut Registry, daemon: &Daemon) {
    let stats = daemon.sockets.stats.borrow();
    let counts = |counts: &BTreeMap<Rc<str>, u64>| -> Vec<(String, u64)> {
        counts.iter().map(|(cluster, count)| (cluster.to_string(), *count)).collect()
    };
    let opened = metric("sockets_opened", "WebSockets opened");
    register_counters(registry, opened, "cluster", counts(&stats.opened));
    let moved = metric("sockets_moved", "WebSockets that went on at another server");
    register_counters(registry, moved, "cluster", counts(&stats.migrated));
    let closed = Family::<TwoLabels, Counter>::default();
    for ((closed_by, code), count) in &stats.closed {
        let labels = [("by", closed_by_label(closed_by).to_string()), ("code", code.to_string())];
        closed.get_or_create(&labels).inc_by(*count);
    }
    let help = "WebSockets ended, by who ended them and with which code";
    registry.register("sockets_closed", help, closed);
    let senders = [("client", &stats.from_client), ("server", &stats.from_server)];
    let messages = senders.map(|(sender, traffic)| (sender.to_string(), traffic.messages));
    let socket_messages = metric("socket_messages", "Messages passed, by who sent them");
    register_counters(registry, socket_messages, "from", messages);
    let bytes = senders.map(|(sender, traffic)| (sender.to_string(), traffic.bytes));
    let socket_bytes = metric("socket_bytes", "Bytes received, by who sent them");
    register_counters(registry, socket_bytes, "from", bytes);
}

fn closed_by_label(closed_by: &ClosedBy) -> &'static str {
    match closed_by {
        ClosedBy::Client => "client",
        ClosedBy::Server => "server",
        ClosedBy::Sidecar => "sidecar",
    }
}
