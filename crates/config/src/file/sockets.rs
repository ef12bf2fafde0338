//! WebSocket: which routes pass handshakes on, and what their sockets are held to.

use super::reader::{At, Table};
use super::routes::Read;
use super::tries::ReadClass;
use super::{ms, EVER};
use crate::model::{SocketClass, Then, WebSocket, UPSTREAM_SHARE};
use crate::module::nanos;
use crate::problem::BrokenRule;
use mintshelf_balancer::api::Effect;
use mintshelf_websocket::handshake::HandshakePolicy;
use mintshelf_websocket::session::{Resume, SessionConfig};
use mintshelf_websocket::timers::TimerConfig;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Part of the connections to servers that sockets may take: the rest is for requests.
const SOCKETS_MOST: f64 = 0.8;
/// Part of the descriptors that sockets take unless the file says otherwise.
const SOCKETS: f64 = 0.2;

/// What a class's sockets are held to unless it says otherwise.
pub fn standard() -> SocketClass {
    let seconds = |n| nanos(Duration::from_secs(n));
    SocketClass {
        life: TimerConfig {
            idle_timeout_ns: seconds(3600),
            max_lifetime_ns: seconds(86_400),
            ping_interval_ns: seconds(30),
            pong_timeout_ns: seconds(10),
            write_stall_timeout_ns: seconds(10),
            message_timeout_ns: seconds(60),
            close_timeout_ns: seconds(5),
        },
        longest: 1 << 20,
        buffer: 64 << 10,
    }
}

/// Reads `[classes.NAME.sockets]`.
pub fn class(table: &Table) -> SocketClass {
    let standard = standard();
    let Some(inner) = table.table("sockets") else { return standard };
    let span = |key, default, least| {
        nanos(inner.duration(key, Duration::from_nanos(default), least..=EVER).value)
    };
    let life = standard.life;
    let set = SocketClass {
        life: TimerConfig {
            idle_timeout_ns: span("idle-timeout", life.idle_timeout_ns, ms(100)),
            max_lifetime_ns: span("lifetime", life.max_lifetime_ns, ms(100)),
            ping_interval_ns: span("ping-interval", life.ping_interval_ns, ms(50)),
            pong_timeout_ns: span("ping-timeout", life.pong_timeout_ns, ms(10)),
            write_stall_timeout_ns: span("stall-timeout", life.write_stall_timeout_ns, ms(10)),
            message_timeout_ns: span("message-timeout", life.message_timeout_ns, ms(10)),
            close_timeout_ns: span("close-timeout", life.close_timeout_ns, ms(10)),
        },
        longest: inner.size("longest-message", standard.longest as usize, 1..=1 << 30).value as u64,
        buffer: inner.size("buffer", standard.buffer, 4 << 10..=1 << 20).value,
    };
    inner.finish();
    set
}

/// Reads a route's `websocket`.
pub fn route(table: &Table, methods: &[http::Method]) -> Option<At<WebSocket>> {
    let flag = table.plain_flag("websocket");
    let (terms, resume, span, field) = match flag {
        Some(At { value: false, .. }) => return None,
        Some(At { span, field, .. }) => (HandshakePolicy::default(), None, span, field),
        None => {
            let inner = table.table("websocket")?;
            let (span, field) = (inner.span.clone(), inner.field.clone());
            let (terms, resume) = terms(inner);
            (terms, resume, span, field)
        }
    };
    if !methods.is_empty() && !methods.contains(&http::Method::GET) {
        let what = "a handshake is a GET, which the route does not take";
        table.reader.wrong(&span, &field, what, "add GET to methods, or remove websocket");
    }
    let session = Rc::new(standard().with(resume));
    Some(At { value: WebSocket { terms, session }, span, field })
}

fn terms(inner: Table) -> (HandshakePolicy, Option<Resume>) {
    let list = |key, read: fn(&str) -> Result<String, String>, mend: &str| {
        let texts = inner.texts(key).into_iter();
        let read = texts.filter_map(|at| inner.parse(at, mend, read).map(|at| at.value));
        inner.has(key).then(|| read.collect::<Vec<_>>())
    };
    let mend = "write an origin as in \"https://lab.example\", without a path";
    let origins = list("origins", origin, mend);
    let mend = "write a name as in \"status.v1\"";
    let token = |text: &str| match text.parse::<http::HeaderName>() {
        Ok(_) => Ok(text.to_string()),
        Err(_) => Err("is not a subprotocol's name".to_string()),
    };
    let subprotocols = list("subprotocols", token, mend);
    let extensions = inner.flag("extensions", false);
    let mend = "write \"handshake\" or \"first-message\"";
    let resume = inner.parsed("resume", mend, |text| match text {
        "handshake" => Ok(Resume::Handshake),
        "first-message" => Ok(Resume::FirstMessage),
        _ => Err("is not what restores a socket".into()),
    });
    if let Some(at) = resume.as_ref().filter(|_| extensions) {
        let what = "a server that takes over can't read what was compressed for another";
        let mend = "write extensions = false, or remove resume";
        inner.reader.breaks(&at.span, &at.field, what, mend, BrokenRule::Lost);
    }
    inner.finish();
    let policy = HandshakePolicy {
        allowed_origins: origins,
        allowed_subprotocols: subprotocols,
        allow_compression: extensions,
    };
    (policy, resume.map(|at| at.value))
}

fn origin(text: &str) -> Result<String, String> {
    let wrong = || "is not an origin".to_string();
    let (scheme, host) = text.split_once("://").ok_or_else(wrong)?;
    let plain = scheme.bytes().all(|b| b.is_ascii_alphanumeric()) && !scheme.is_empty();
    match host.parse::<http::uri::Authority>() {
        Ok(_) if plain && !host.contains(['/', '@']) => Ok(text.to_ascii_lowercase()),
        _ => Err(wrong()),
    }
}

/// Gives each route's sockets what their class says, and holds that against the rules.
pub fn settle(top: &Table, routes: &mut [Read], classes: &BTreeMap<String, ReadClass>) {
    for read in routes {
        let Then::Forward(forward) = &mut read.route.then else { continue };
        let (Some(socket), Some(at)) = (&mut forward.websocket, &read.websocket) else { continue };
        let Some(class) = classes.get(&read.route.policy) else { continue };
        let resume = socket.session.resume;
        let session = Rc::new(class.class.sockets.with(resume));
        *socket = Rc::new(WebSocket { terms: socket.terms.clone(), session });
        // Danger: what restores a socket is sent again, after it has run.
        let effect = read.route.effect.unwrap_or(class.class.effect);
        if resume.is_some() && effect != Effect::Safe {
            let what = format!(
                "a socket of class '{}' would be opened again at another server, and only safe \
                 requests may run twice",
                read.route.class
            );
            let mend = "remove resume, or give the route a safe class";
            top.reader.breaks(&at.span, &at.field, what, mend, BrokenRule::Twice);
        }
    }
}

/// In how long the sockets are closed when the process ends.
const DRAIN: Duration = Duration::from_secs(5);

/// How many sockets a process with so many descriptors holds, and in how long they are closed
/// when it ends.
pub fn standard_limits(sockets: usize) -> (u32, Duration) {
    ((sockets as f64 * SOCKETS) as u32, DRAIN)
}

/// Reads what the file says of that.
pub fn limits(table: &Table, sockets: usize) -> (u32, Duration) {
    let (count, drain) = standard_limits(sockets);
    let at = table.whole("websockets", count, 0..=1 << 20);
    let most = (sockets as f64 * UPSTREAM_SHARE * SOCKETS_MOST) as u32;
    if at.value > most {
        let what = format!(
            "{} sockets would leave requests too few connections: of {sockets} descriptors up to \
             {most} may be sockets",
            at.value
        );
        let mend = "lower it, or raise sockets";
        table.reader.breaks(&at.span, &at.field, what, mend, BrokenRule::Lost);
    }
    let drain = table.duration("websocket-drain", drain, ms(0)..=Duration::from_secs(600));
    (at.value, drain.value)
}

impl SocketClass {
    /// As a session takes it.
    fn with(&self, resume: Option<Resume>) -> SessionConfig {
        let SocketClass { life, longest, buffer } = *self;
        SessionConfig { timers: life, max_message_bytes: longest, buffer_bytes: buffer, resume }
    }
}
