//! Exports the daemon's metrics in the `OpenMetrics` text format.

mod registry;

use crate::daemon::{ClusterUsage, Daemon};
use mintshelf_proxy::memory::MemoryHolder;
use mintshelf_recovery::Phase;
use mintshelf_websocket::session::ClosedBy;
use registry::{gauge_value, Metric, MetricRegistry};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Returns all metrics as text.
pub fn encode(daemon: &Daemon) -> String {
    let mut registry = MetricRegistry::new();
    register_requests(&mut registry, daemon);
    register_attempts(&mut registry, daemon);
    register_clusters(&mut registry, daemon);
    register_limits(&mut registry, daemon);
    register_open_websockets(&mut registry, daemon);
    register_websocket_counts(&mut registry, daemon);
    register_memory(&mut registry, daemon);
    let clients = Metric::new("clients", "Connections of clients");
    registry.gauge(clients, gauge_value(daemon.clients.len()));
    registry.encode()
}

fn register_memory(registry: &mut MetricRegistry, daemon: &Daemon) {
    let report = daemon.memory_report();
    let holders = MemoryHolder::ALL.into_iter();
    let holders =
        holders.map(|holder| (holder.name().to_string(), gauge_value(report.bytes(holder))));
    let memory = Metric::new("memory_bytes", "Allocated memory, by what it is used for");
    registry.gauges(memory, "holder", holders);
    let limit = Metric::new("memory_limit_bytes", "Memory limit of the process");
    registry.gauge(limit, gauge_value(daemon.memory.limit()));
    let guaranteed = Metric::new(
        "memory_guaranteed_admissions",
        "Admissions of memory above their threshold, within what clients are guaranteed",
    );
    registry.counter(guaranteed, report.guaranteed_admissions);
    let waits = Metric::new("memory_waits", "Waits of requests for memory");
    registry.counter(waits, report.waits);
}

fn register_requests(registry: &mut MetricRegistry, daemon: &Daemon) {
    let statuses = daemon.stats.responses.borrow();
    let statuses = statuses.iter().map(|(status, count)| (status.to_string(), *count));
    let responses = Metric::new("answers", "Answers to clients, by status");
    registry.counters(responses, "status", statuses);
    let requests = Metric::new("requests", "Requests by route");
    registry.counters(requests, "route", daemon.requests_by_route());
    let codes = daemon.stats.rejections.borrow();
    let codes = codes.iter().map(|(code, count)| (code.to_string(), *count));
    let rejections = Metric::new("refusals", "Errors of this side's own, by code");
    registry.counters(rejections, "code", codes);
    let results = daemon.reloads().map(|(result, count)| (result.to_string(), count));
    let reloads = Metric::new("reloads", "Files read again, by result");
    registry.counters(reloads, "result", results);
}

fn register_attempts(registry: &mut MetricRegistry, daemon: &Daemon) {
    let attempts = daemon.cluster_attempts();
    let counts = attempts.iter().map(|counts| (counts.cluster.clone(), counts.timed_out));
    let timed_out = Metric::new("tries_cut", "Attempts ended for their own time");
    registry.counters(timed_out, "cluster", counts);
    let counts = attempts.iter().map(|counts| (counts.cluster.clone(), counts.hedged));
    let hedged = Metric::new("second_copies", "Second copies sent");
    registry.counters(hedged, "cluster", counts);
}

fn register_clusters(registry: &mut MetricRegistry, daemon: &Daemon) {
    let usage = daemon.cluster_usage();
    let mut register = |metric: Metric, value: fn(&ClusterUsage) -> i64| {
        let values = usage.iter().map(|usage| (usage.cluster.clone(), value(usage)));
        registry.gauges(metric, "cluster", values);
    };
    let open_requests = Metric::new("open_requests", "Requests that have no answer yet");
    register(open_requests, |usage| gauge_value(usage.open_requests));
    let timers = Metric::new("timers", "Timers set for open requests");
    register(timers, |usage| gauge_value(usage.timers));
    let endpoints = Metric::new("endpoints", "Endpoints listed");
    register(endpoints, |usage| gauge_value(usage.endpoints));
    let help = "Whether the cluster is as usual (0), out (1), or coming back (2)";
    register(Metric::new("recovery_phase", help), |usage| phase_number(usage.phase));
    let help = "Clients that were told when to come back, and whose time is ahead";
    let expected_clients = Metric::new("expected_back", help);
    register(expected_clients, |usage| gauge_value(usage.expected_clients));
}

fn phase_number(phase: Phase) -> i64 {
    match phase {
        Phase::Normal => 0,
        Phase::Outage => 1,
        Phase::Recovering => 2,
    }
}

fn register_limits(registry: &mut MetricRegistry, daemon: &Daemon) {
    let usage = daemon.admission.usage();
    let tenants = usage.tenants.into_iter();
    let tenants = tenants.map(|usage| (usage.tenant, i64::from(usage.in_flight)));
    let tenant_requests = Metric::new("tenant_requests", "Requests under way, by tenant");
    registry.gauges(tenant_requests, "tenant", tenants);
    let clusters = usage.clusters.iter();
    let in_flight = clusters.clone();
    let in_flight =
        in_flight.map(|usage| (usage.cluster.clone(), gauge_value(usage.queue.in_flight)));
    let admitted = Metric::new("gate_requests", "Requests that have a place at a cluster");
    registry.gauges(admitted, "cluster", in_flight);
    let queued = clusters.map(|usage| (usage.cluster.clone(), gauge_value(usage.queue.queued)));
    let waiting = Metric::new("gate_waiting", "Requests that wait for a place");
    registry.gauges(waiting, "cluster", queued);
}

fn register_open_websockets(registry: &mut MetricRegistry, daemon: &Daemon) {
    let usage = daemon.sockets.usage();
    let levels = |levels: BTreeMap<String, u64>| {
        levels.into_iter().map(|(name, level)| (name, gauge_value(level)))
    };
    let sockets = Metric::new("sockets", "Open WebSockets, by cluster");
    registry.gauges(sockets, "cluster", levels(usage.clusters));
    let tenant_sockets = Metric::new("tenant_sockets", "Open WebSockets, by tenant");
    registry.gauges(tenant_sockets, "tenant", levels(usage.tenants));
    let endpoints = usage.endpoints.iter().map(|((cluster, server), level)| {
        // All endpoints that are no longer listed have an empty address and are added up.
        let address = daemon.endpoint_address(cluster, *server);
        ([("cluster", cluster.clone()), ("endpoint", address)], gauge_value(*level))
    });
    let endpoint_sockets = Metric::new("endpoint_sockets", "Open WebSockets, by endpoint");
    registry.labelled_gauges(endpoint_sockets, endpoints);
    let queued_bytes = Metric::new("socket_queued_bytes", "Bytes that wait for an end");
    registry.gauge(queued_bytes, gauge_value(usage.queued_bytes));
}

fn register_websocket_counts(registry: &mut MetricRegistry, daemon: &Daemon) {
    let stats = daemon.sockets.stats.borrow();
    let counts = |counts: &BTreeMap<Rc<str>, u64>| -> Vec<(String, u64)> {
        counts.iter().map(|(cluster, count)| (cluster.to_string(), *count)).collect()
    };
    let opened = Metric::new("sockets_opened", "WebSockets opened");
    registry.counters(opened, "cluster", counts(&stats.opened));
    let migrated = Metric::new("sockets_moved", "WebSockets that went on at another server");
    registry.counters(migrated, "cluster", counts(&stats.migrated));
    let closed = stats.closed.iter().map(|((closed_by, code), count)| {
        let closed_by = closed_by_label(*closed_by).to_string();
        ([("by", closed_by), ("code", code.to_string())], *count)
    });
    let help = "WebSockets ended, by who ended them and with which code";
    registry.labelled_counters(Metric::new("sockets_closed", help), closed);
    let senders = [("client", &stats.from_client), ("server", &stats.from_server)];
    let messages = senders.map(|(sender, traffic)| (sender.to_string(), traffic.messages));
    let socket_messages = Metric::new("socket_messages", "Messages passed, by who sent them");
    registry.counters(socket_messages, "from", messages);
    let bytes = senders.map(|(sender, traffic)| (sender.to_string(), traffic.bytes));
    let socket_bytes = Metric::new("socket_bytes", "Bytes received, by who sent them");
    registry.counters(socket_bytes, "from", bytes);
}

fn closed_by_label(closed_by: ClosedBy) -> &'static str {
    match closed_by {
        ClosedBy::Client => "client",
        ClosedBy::Server => "server",
        ClosedBy::Sidecar => "sidecar",
    }
}
