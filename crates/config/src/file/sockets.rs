//! Parses the WebSocket settings of routes, classes and the process.

use super::error::FieldError;
use super::parsed::{ParsedClasses, ParsedRoute};
use super::reader::{Located, Location};
use super::table::Table;
use super::value::{ms, MAX_DURATION};
use crate::convert::truncate_to_u32;
use crate::model::{RouteAction, SocketSettings, WebSocket, UPSTREAM_SHARE};
use crate::problem::SafetyRule;
use http::uri::Authority;
use http::{HeaderName, Method};
use mintshelf_balancer::api::Effect;
use mintshelf_time::from_duration;
use mintshelf_websocket::handshake::HandshakePolicy;
use mintshelf_websocket::session::{Resume, SessionConfig};
use mintshelf_websocket::timers::TimerConfig;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

/// Share of the connections to servers that may be WebSocket connections. The rest is for requests.
const MAX_UPSTREAM_SHARE: f64 = 0.8;
/// Default share of the file descriptors that WebSocket connections may use.
const DEFAULT_SHARE: f64 = 0.2;
/// Default time over which WebSocket connections are closed at shutdown.
pub const DEFAULT_DRAIN: Duration = Duration::from_secs(5);
const MAX_DRAIN: Duration = Duration::from_secs(600);

/// Returns the WebSocket settings of a class that sets none.
pub fn default_settings() -> SocketSettings {
    let seconds = |seconds| from_duration(Duration::from_secs(seconds));
    SocketSettings {
        timers: TimerConfig {
            idle_timeout_ns: seconds(3600),
            max_lifetime_ns: seconds(86_400),
            ping_interval_ns: seconds(30),
            pong_timeout_ns: seconds(10),
            write_stall_timeout_ns: seconds(10),
            message_timeout_ns: seconds(60),
            close_timeout_ns: seconds(5),
        },
        max_message_bytes: 1 << 20,
        buffer_bytes: 64 << 10,
    }
}

/// Parses the `sockets` of a class.
pub fn parse_settings(class: &Table) -> SocketSettings {
    let defaults = default_settings();
    let Some(table) = class.table("sockets") else { return defaults };
    let duration = |key, default, min| {
        from_duration(table.duration(key, Duration::from_nanos(default), min..=MAX_DURATION).value)
    };
    let timers = defaults.timers;
    let max_message = usize::try_from(defaults.max_message_bytes).unwrap_or(usize::MAX);
    let settings = SocketSettings {
        timers: TimerConfig {
            idle_timeout_ns: duration("idle-timeout", timers.idle_timeout_ns, ms(100)),
            max_lifetime_ns: duration("lifetime", timers.max_lifetime_ns, ms(100)),
            ping_interval_ns: duration("ping-interval", timers.ping_interval_ns, ms(50)),
            pong_timeout_ns: duration("ping-timeout", timers.pong_timeout_ns, ms(10)),
            write_stall_timeout_ns: duration(
                "stall-timeout",
                timers.write_stall_timeout_ns,
                ms(10),
            ),
            message_timeout_ns: duration("message-timeout", timers.message_timeout_ns, ms(10)),
            close_timeout_ns: duration("close-timeout", timers.close_timeout_ns, ms(10)),
        },
        max_message_bytes: table.size("longest-message", max_message, 1..=1 << 30).value as u64,
        buffer_bytes: table.size("buffer", defaults.buffer_bytes, 4 << 10..=1 << 20).value,
    };
    table.finish();
    settings
}

/// The WebSocket settings of a route.
struct ParsedHandshakes {
    handshake_policy: HandshakePolicy,
    resume: Option<Resume>,
    location: Location,
}

/// Parses the `websocket` of a route. `methods` are the route's methods; empty for any.
pub fn parse_route(table: &Table, methods: &[Method]) -> Option<Located<WebSocket>> {
    let ParsedHandshakes { handshake_policy, resume, location } = parse_handshakes(table)?;
    if !methods.is_empty() && !methods.contains(&Method::GET) {
        let message = "a handshake is a GET request, which the route does not match";
        table.reader.report(&location, message, "add GET to methods, or remove websocket");
    }
    let session = Rc::new(session_config(&default_settings(), resume));
    Some(Located { value: WebSocket { handshake_policy, session }, location })
}

fn parse_handshakes(table: &Table) -> Option<ParsedHandshakes> {
    if let Some(flag) = table.flag_if_boolean("websocket") {
        let handshakes = ParsedHandshakes {
            handshake_policy: HandshakePolicy::default(),
            resume: None,
            location: flag.location,
        };
        return flag.value.then_some(handshakes);
    }
    let table = table.table("websocket")?;
    let handshakes = parse_handshake_table(&table);
    table.finish();
    Some(handshakes)
}

fn parse_handshake_table(table: &Table) -> ParsedHandshakes {
    let origin_remedy = "write an origin as in \"https://lab.example\", without a path";
    let subprotocol_remedy = "write a name as in \"status.v1\"";
    let handshake_policy = HandshakePolicy {
        allowed_origins: optional_list(table, "origins", origin_remedy, parse_origin),
        allowed_subprotocols: optional_list(
            table,
            "subprotocols",
            subprotocol_remedy,
            parse_subprotocol,
        ),
        allow_compression: table.flag("extensions", false),
    };
    let remedy = "write \"handshake\" or \"first-message\"";
    let resume = table.parsed("resume", remedy, |text| match text {
        "handshake" => Ok(Resume::Handshake),
        "first-message" => Ok(Resume::FirstMessage),
        _ => Err(FieldError::NotA("a resume mode")),
    });
    if let Some(resume) = resume.as_ref().filter(|_| handshake_policy.allow_compression) {
        let message =
            "after a resume the server cannot decompress messages that were compressed for another";
        let remedy = "write extensions = false, or remove resume";
        let rule = SafetyRule::NoLostRequest;
        table.reader.report_violation(&resume.location, message, remedy, rule);
    }
    let resume = resume.map(|resume| resume.value);
    ParsedHandshakes { handshake_policy, resume, location: table.location.clone() }
}

/// Parses a list of strings; `None` if the key is absent.
fn optional_list<E: Display>(
    table: &Table,
    key: &'static str,
    remedy: &str,
    parse: fn(&str) -> Result<String, E>,
) -> Option<Vec<String>> {
    let texts = table.texts(key).into_iter();
    let parsed = texts.filter_map(|located| Some(table.parse(located, remedy, parse)?.value));
    table.has(key).then(|| parsed.collect())
}

fn parse_subprotocol(text: &str) -> Result<String, FieldError> {
    match text.parse::<HeaderName>() {
        Ok(_) => Ok(text.to_string()),
        Err(_) => Err(FieldError::NotA("a subprotocol name")),
    }
}

fn parse_origin(text: &str) -> Result<String, FieldError> {
    const ERROR: FieldError = FieldError::NotA("an origin");
    let (scheme, host) = text.split_once("://").ok_or(ERROR)?;
    let is_scheme = !scheme.is_empty() && scheme.bytes().all(|byte| byte.is_ascii_alphanumeric());
    match host.parse::<Authority>() {
        Ok(_) if is_scheme && !host.contains(['/', '@']) => Ok(text.to_ascii_lowercase()),
        _ => Err(ERROR),
    }
}

/// Applies the limits of each route's class to the WebSocket connections of the route, and checks
/// that only safe requests are resumed: a resume sends a handshake to another server after the
/// handshake has run at one.
pub fn apply_classes(root: &Table, routes: &mut [ParsedRoute], classes: &ParsedClasses) {
    for parsed in routes {
        let Some(location) = &parsed.websocket else { continue };
        let RouteAction::Forward(forward) = &mut parsed.route.action else { continue };
        let Some(websocket) = &mut forward.websocket else { continue };
        let Some(class) = classes.get(&parsed.route.effective_class) else { continue };
        let resume = websocket.session.resume;
        let handshake_policy = websocket.handshake_policy.clone();
        let session = Rc::new(session_config(&class.class.sockets, resume));
        *websocket = Rc::new(WebSocket { handshake_policy, session });
        let effect = parsed.route.effect.unwrap_or(class.class.effect);
        if resume.is_some() && effect != Effect::Safe {
            let message = format!(
                "a handshake of class '{}' would be sent again to another server, and only safe \
                 requests may run twice",
                parsed.route.class
            );
            let remedy = "remove resume, or give the route a safe class";
            let rule = SafetyRule::NoDuplicateEffect;
            root.reader.report_violation(location, message, remedy, rule);
        }
    }
}

fn session_config(settings: &SocketSettings, resume: Option<Resume>) -> SessionConfig {
    SessionConfig {
        timers: settings.timers,
        max_message_bytes: settings.max_message_bytes,
        buffer_bytes: settings.buffer_bytes,
        resume,
    }
}

/// Default upper bound of the WebSocket connections of a process.
pub fn default_max_websockets(file_descriptors: usize) -> u32 {
    truncate_to_u32(file_descriptors as f64 * DEFAULT_SHARE)
}

/// Parses the upper bound of the WebSocket connections of a process.
pub fn parse_max_websockets(limits: &Table, file_descriptors: usize) -> u32 {
    let default = default_max_websockets(file_descriptors);
    let stated = limits.integer("websockets", default, 0..=1 << 20);
    let max = truncate_to_u32(file_descriptors as f64 * UPSTREAM_SHARE * MAX_UPSTREAM_SHARE);
    if stated.value > max {
        let message = format!(
            "{} sockets would leave too few connections for requests: of {file_descriptors} \
             file descriptors up to {max} may be sockets",
            stated.value
        );
        let remedy = "lower it, or raise sockets";
        let rule = SafetyRule::NoLostRequest;
        limits.reader.report_violation(&stated.location, message, remedy, rule);
    }
    stated.value
}

/// Parses the time over which the WebSocket connections of a process are closed at shutdown.
pub fn parse_drain(limits: &Table) -> Duration {
    limits.duration("websocket-drain", DEFAULT_DRAIN, ms(0)..=MAX_DRAIN).value
}
