//! Explains the settings that apply to a request, by route, class, cluster and limit.

use super::attempts::explain_attempts;
use super::forwarded_request::ForwardedRequest;
use super::report::Report;
use super::request::Request;
use humantime::format_duration;
use mintshelf_balancer::api::Effect;
use mintshelf_config::balancer::effective_timeout;
use mintshelf_config::model::{Cluster, RouteAction, WebSocket};
use mintshelf_proxy::gateway::classify::effect_of;
use mintshelf_retry::duration::format_nanos;
use mintshelf_websocket::session::Resume;
use std::time::Duration;

/// Appends the action of a route and the settings that apply to the request.
pub(super) fn explain_route(report: &mut Report, route_index: usize, request: &Request) {
    let config = report.config();
    let route = &config.routes[route_index];
    let listeners = if route.listeners.is_empty() {
        "all listeners".to_string()
    } else {
        route.listeners.join(", ")
    };
    report.append_line(format_args!("on {listeners}"));
    let forward = match &route.action {
        RouteAction::Redirect(redirect) => {
            report.append_line(format_args!("answered here: {}, a redirect", redirect.status));
            return;
        }
        RouteAction::Respond(respond) => {
            report.append_line(format_args!("answered here: {}", respond.status));
            return;
        }
        RouteAction::Forward(forward) => forward,
    };
    let Some(class) = config.classes.get(&route.effective_class) else { return };
    let has_key = request.headers.contains_key("idempotency-key");
    let effect = effect_of(class.effect, route.effect, &request.method, has_key);
    let forwarded = ForwardedRequest { route_index, route, class, effect };
    explain_class(report, &forwarded);
    for name in forward.split.clusters() {
        if let Some(cluster) = config.clusters.get(name) {
            explain_cluster(report, &forwarded, name, cluster);
        }
    }
    if let Some(websocket) = &forward.websocket {
        explain_websocket(report, &forwarded, websocket);
    }
    explain_limits(report);
}

fn explain_class(report: &mut Report, request: &ForwardedRequest) {
    let class = request.class;
    let effect = match request.effect {
        Effect::Safe => "safe: it may be sent again until its deadline",
        Effect::Idempotent => "keyed: it may be sent again within its deduplication window",
        Effect::Unsafe => "unsafe: it is sent again only if it is known not to have run",
    };
    report.append_line(format_args!("class '{}', effect {effect}", request.route.class));
    let objective = duration_text(class.latency_objective);
    report.append_setting_from(&request.override_fields("aim"), objective);
    report.append_setting_from(&request.override_fields("deadline"), duration_text(class.deadline));
    report.append_setting(&request.class_field("worth"), class.priority_weight);
    if request.effect == Effect::Idempotent {
        report.append_setting(&request.class_field("window"), duration_text(class.dedup_window));
    }
}

fn explain_cluster(report: &mut Report, request: &ForwardedRequest, name: &str, cluster: &Cluster) {
    let endpoints = cluster.endpoints.iter().filter(|endpoint| endpoint.weight > 0).count();
    report.append_line(format_args!("cluster '{name}', {endpoints} endpoints"));
    let attempts = &request.class.attempts;
    let field = |key: &str| format!("clusters.{name}.{key}");
    for (key, class_timeout, cluster_timeout) in [
        ("connect-timeout", attempts.connect_timeout, cluster.connect_timeout),
        ("idle-timeout", attempts.idle_timeout, cluster.idle_timeout),
    ] {
        let fields = match class_timeout {
            Some(timeout) if timeout < cluster_timeout => request.all_fields(key),
            _ => vec![field(key)],
        };
        let timeout = effective_timeout(class_timeout, cluster_timeout);
        report.append_setting_from(&fields, duration_text(timeout));
    }
    explain_attempts(report, request, name, cluster);
    report.append_setting(&field("failure-statuses"), format!("{:?}", cluster.failure_statuses));
    report.append_setting(&field("warm-up"), duration_text(cluster.warm_up));
    report.append_setting(&field("max-retry-after"), duration_text(cluster.max_retry_after));
    report.append_setting(&field("return-ramp"), duration_text(cluster.recovery_ramp));
}

fn explain_websocket(report: &mut Report, request: &ForwardedRequest, websocket: &WebSocket) {
    let resume = match websocket.session.resume {
        None => "closed",
        Some(Resume::Handshake) => "reopened at another server with their handshake",
        Some(Resume::FirstMessage) => {
            "reopened at another server with their handshake and first message"
        }
    };
    report.append_line(format_args!("WebSocket: sockets whose server goes are {resume}"));
    let timers = &websocket.session.timers;
    for (key, nanos) in [
        ("idle-timeout", timers.idle_timeout_ns),
        ("lifetime", timers.max_lifetime_ns),
        ("ping-interval", timers.ping_interval_ns),
        ("ping-timeout", timers.pong_timeout_ns),
        ("stall-timeout", timers.write_stall_timeout_ns),
        ("message-timeout", timers.message_timeout_ns),
        ("close-timeout", timers.close_timeout_ns),
    ] {
        let field = request.class_field(&format!("sockets.{key}"));
        report.append_setting(&field, format_nanos(nanos));
    }
    report.append_setting("limits.websockets", report.config().limits.max_websockets);
}

fn explain_limits(report: &mut Report) {
    let limits = &report.config().limits;
    report.append_setting("limits.head-timeout", duration_text(limits.head_timeout));
    report.append_setting("limits.idle-timeout", duration_text(limits.idle_timeout));
    report.append_setting("limits.stream-timeout", duration_text(limits.stream_timeout));
    report.append_setting("limits.memory", limits.memory_bytes);
    report.append_setting("limits.sockets", limits.file_descriptors);
}

fn duration_text(duration: Duration) -> String {
    format_duration(duration).to_string()
}
