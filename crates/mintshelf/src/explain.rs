//! `mintshelf explain`: what becomes of one request, and why.

use crate::{check, UNUSABLE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use humantime::format_duration;
use mintshelf_balancer::api::Effect;
use mintshelf_config::balancer::{attempt_schedule, effective_timeout};
use mintshelf_config::model::{OperatorConfig, RouteAction};
use mintshelf_proxy::gateway::classify::effect_of;
use mintshelf_retry::duration::format_nanos;
use mintshelf_retry::policy::HedgeDelay;
use mintshelf_retry::schedule::{AttemptTimeout, RetryOn};
use mintshelf_routing::{RequestView, RouteTable};
use mintshelf_websocket::session::Resume;
use std::fmt::{Display, Write};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Explains one request; what can't be understood is exit code 2.
pub fn run(path: &Path, method: &str, url: &str, headers: &[String]) -> ExitCode {
    let file = match check::read(path) {
        Ok(file) => file,
        Err(unusable) => {
            unusable.lines().iter().for_each(|line| eprintln!("{line}"));
            return unusable.code();
        }
    };
    match explain(&file, method, url, headers) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(what) => {
            eprintln!("mintshelf: {what}");
            ExitCode::from(UNUSABLE)
        }
    }
}

fn parse_headers(headers: &[String]) -> Result<HeaderMap, String> {
    let mut parsed = HeaderMap::new();
    for header in headers {
        let wrong = || format!("header '{header}': write it as in -H 'name: value'");
        let (name, value) = header.split_once(':').ok_or_else(wrong)?;
        let name: HeaderName = name.trim().parse().map_err(|_| wrong())?;
        let value: HeaderValue = value.trim().parse().map_err(|_| wrong())?;
        parsed.append(name, value);
    }
    Ok(parsed)
}

/// What is told of a request, for people.
pub fn explain(
    file: &OperatorConfig,
    method: &str,
    url: &str,
    headers: &[String],
) -> Result<String, String> {
    let headers = parse_headers(headers)?;
    let method: Method =
        method.parse().map_err(|_| format!("method '{method}': is not a method"))?;
    let uri: Uri = url.parse().map_err(|e| format!("URL '{url}': {e}"))?;
    let host = uri.authority().map(|a| a.as_str().to_string());
    let named = headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(named.map(str::to_string)).unwrap_or_default();
    let target = uri.path_and_query().map_or("/", |p| p.as_str());
    let probe = RequestView::new(&host, target, &method, &headers);
    let table = RouteTable::new(file.routes.iter().map(|route| route.rule.clone()));
    let table = table.map_err(|error| error.to_string())?;
    let won = table.find(&probe);
    let mut text = String::new();
    // Writing to a String cannot fail.
    let _ = match won.map(|place| &file.routes[place]) {
        Some(route) => {
            writeln!(text, "{method} {url} takes route '{}' (line {})", route.name, route.line)
        }
        None => writeln!(text, "{method} {url} takes no route: it is answered 404, no-route"),
    };
    let others = file.routes.iter().enumerate().filter(|(place, _)| Some(*place) != won);
    for (_, route) in others {
        let why = match probe.mismatch(&route.rule) {
            Some(failure) => failure.to_string(),
            None => "it matches too, but is less specific, or comes later".to_string(),
        };
        let _ = writeln!(text, "  not '{}' (line {}): {why}", route.name, route.line);
    }
    if let Some(place) = won {
        told(&mut text, file, place, &method, &headers);
    }
    Ok(text)
}

/// A line with a setting, and where it came from.
fn setting(text: &mut String, file: &OperatorConfig, field: &str, value: impl Display) {
    setting_of(text, file, &[field.to_string()], value);
}

/// The same for a setting that may stand in several places: the first that states it counts.
fn setting_of(text: &mut String, file: &OperatorConfig, fields: &[String], value: impl Display) {
    let stated = fields.iter().find_map(|field| Some((field, file.stated_lines.get(field)?)));
    let own = fields.iter().rfind(|field| !field.starts_with("defaults."));
    let _ = match (stated, own) {
        (Some((field, line)), _) => writeln!(text, "  {field} = {value} (line {line})"),
        (None, Some(field)) => writeln!(text, "  {field} = {value} (default)"),
        (None, None) => Ok(()),
    };
}

fn told(
    text: &mut String,
    file: &OperatorConfig,
    place: usize,
    method: &Method,
    headers: &HeaderMap,
) {
    let route = &file.routes[place];
    let on = match route.listeners.is_empty() {
        true => "all listeners".to_string(),
        false => route.listeners.join(", "),
    };
    let _ = writeln!(text, "on {on}");
    let forward = match &route.action {
        RouteAction::Redirect(redirect) => {
            let _ = writeln!(text, "answered here: {}, a redirect", redirect.status);
            return;
        }
        RouteAction::Respond(respond) => {
            let _ = writeln!(text, "answered here: {}", respond.status);
            return;
        }
        RouteAction::Forward(forward) => forward,
    };
    let Some(class) = file.classes.get(&route.policy) else { return };
    let keyed = headers.contains_key("idempotency-key");
    let effect = effect_of(class.effect, route.effect, method, keyed);
    let told = match effect {
        Effect::Safe => "safe: it may be sent again while its time lasts",
        Effect::Idempotent => "keyed: it may be sent again within its window",
        Effect::Unsafe => "unsafe: it is sent again only if it is known not to have run",
    };
    let _ = writeln!(text, "class '{}', effect {told}", route.class);
    let of = |key: &str| format!("classes.{}.{key}", route.class);
    let span = |span: Duration| format_duration(span).to_string();
    let over = |key: &str| vec![format!("routes[{place}].overrides.{key}"), of(key)];
    setting_of(text, file, &over("aim"), span(class.latency_objective));
    setting_of(text, file, &over("deadline"), span(class.deadline));
    setting(text, file, &of("worth"), class.priority_weight);
    if effect == Effect::Idempotent {
        setting(text, file, &of("window"), span(class.dedup_window));
    }
    for name in forward.split.clusters() {
        let Some(cluster) = file.clusters.get(name) else { continue };
        let count = cluster.endpoints.iter().filter(|e| e.weight > 0).count();
        let _ = writeln!(text, "cluster '{name}', {count} endpoints");
        let of = |key: &str| format!("clusters.{name}.{key}");
        for (key, own, whole) in [
            ("connect-timeout", class.attempts.connect_timeout, cluster.connect_timeout),
            ("idle-timeout", class.attempts.idle_timeout, cluster.idle_timeout),
        ] {
            let mut fields = vec![of(key)];
            if own.is_some_and(|own| own < whole) {
                fields = over(key);
                fields.push(format!("defaults.{key}"));
            }
            setting_of(text, file, &fields, span(effective_timeout(own, whole)));
        }
        tries(text, file, place, name, effect);
        let statuses = format!("{:?}", cluster.failure_statuses);
        setting(text, file, &of("failure-statuses"), statuses);
        setting(text, file, &of("warm-up"), span(cluster.warm_up));
        setting(text, file, &of("max-retry-after"), span(cluster.max_retry_after));
        setting(text, file, &of("return-ramp"), span(cluster.recovery_ramp));
    }
    if let Some(socket) = &forward.websocket {
        let resume = match socket.session.resume {
            None => "closed",
            Some(Resume::Handshake) => "opened elsewhere by their handshake",
            Some(Resume::FirstMessage) => "opened elsewhere by their handshake and first message",
        };
        let life = &socket.session.timers;
        let _ = writeln!(text, "WebSocket: sockets whose server goes are {resume}");
        for (key, nanos) in [
            ("idle-timeout", life.idle_timeout_ns),
            ("lifetime", life.max_lifetime_ns),
            ("ping-interval", life.ping_interval_ns),
            ("ping-timeout", life.pong_timeout_ns),
            ("stall-timeout", life.write_stall_timeout_ns),
            ("message-timeout", life.message_timeout_ns),
            ("close-timeout", life.close_timeout_ns),
        ] {
            let field = format!("classes.{}.sockets.{key}", route.class);
            setting(text, file, &field, format_nanos(nanos));
        }
        setting(text, file, "limits.websockets", file.limits.max_websockets);
    }
    let limits = &file.limits;
    setting(text, file, "limits.head-timeout", span(limits.head_timeout));
    setting(text, file, "limits.idle-timeout", span(limits.idle_timeout));
    setting(text, file, "limits.stream-timeout", span(limits.stream_timeout));
    setting(text, file, "limits.memory", limits.memory_bytes);
    setting(text, file, "limits.sockets", limits.file_descriptors);
}

/// What a request's attempts at a cluster may do, and their schedule as a time line.
fn tries(text: &mut String, file: &OperatorConfig, place: usize, cluster: &str, effect: Effect) {
    let route = &file.routes[place];
    let (Some(class), Some(of)) = (file.classes.get(&route.policy), file.clusters.get(cluster))
    else {
        return;
    };
    let plan = attempt_schedule(class, effect, of);
    let places = |key: &str| {
        let class = format!("classes.{}.{key}", route.class);
        vec![format!("routes[{place}].overrides.{key}"), class, format!("defaults.{key}")]
    };
    let mut attempts = places("max-attempts");
    attempts.push(format!("clusters.{cluster}.max-attempts"));
    setting_of(text, file, &attempts, plan.max_attempts);
    let per_try = match plan.attempt_timeout {
        _ if effect == Effect::Unsafe || plan.max_attempts < 2 => "none".to_string(),
        AttemptTimeout::Deadline => "none".to_string(),
        AttemptTimeout::Fixed(span) => format_nanos(span),
        AttemptTimeout::Adaptive => {
            let bounds = plan.adaptive_bounds();
            let (least, most) = (format_nanos(bounds.min), format_nanos(bounds.max));
            format!("adaptive, {least} to {most} by the answers seen")
        }
    };
    setting_of(text, file, &places("per-try-timeout"), per_try);
    let (first, most) = (format_nanos(plan.backoff.initial), format_nanos(plan.backoff.max));
    setting_of(text, file, &places("backoff"), format!("up to {first}, doubling to {most}"));
    let retry_on = match plan.retry_on {
        RetryOn::NeverRan => "never-ran",
        RetryOn::MayHaveRun => "may-have-run",
    };
    setting_of(text, file, &places("retry-on"), retry_on);
    let hedge = match class.attempts.hedge_policy().filter(|_| effect == Effect::Safe) {
        None => "none".to_string(),
        Some(hedge) => {
            let after = match hedge.delay {
                HedgeDelay::Fixed(span) => format_nanos(span),
                HedgeDelay::P95 => "the time in which 95 of a hundred answers come".to_string(),
            };
            format!("after {after}, {} of the requests at most", hedge.max_share)
        }
    };
    setting_of(text, file, &places("hedge"), hedge);
    let (ratio, burst) = (of.retry_budget.ratio, of.retry_budget.burst);
    let field = format!("clusters.{cluster}.retry-budget");
    setting(text, file, &field, format!("{ratio} a request, {burst} saved"));
    let _ = write!(text, "{plan}");
}
