//! Routes: their conditions on requests, and their actions.

use http::{HeaderName, HeaderValue, StatusCode};
use mintshelf_admission::limit::LimitConfig;
use mintshelf_balancer::api::Effect;
use mintshelf_routing::{ClusterSplit, RouteRule};
use mintshelf_websocket::handshake::HandshakePolicy;
use mintshelf_websocket::session::SessionConfig;
use std::rc::Rc;
use std::sync::Arc;

/// The conditions on requests, the action and the limits of one `[[routes]]` entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route in logs, metrics and `explain`.
    pub name: String,
    /// The line of the route in the file, from 1.
    pub line: usize,
    /// The names of the listeners whose requests the route matches; empty for all listeners.
    pub listeners: Vec<String>,
    /// The conditions on the requests that the route matches.
    pub rule: Arc<RouteRule>,
    /// The name of the class of requests; `default` if the route sets none.
    pub class: String,
    /// The name in [`OperatorConfig::classes`](super::OperatorConfig::classes) of the class with
    /// the overrides of the route; equal to `class` if the route has no overrides.
    pub effective_class: String,
    /// The effect of all requests of the route; if absent, the class and the method of a request
    /// determine the effect.
    pub effect: Option<Effect>,
    /// The limits of the route's requests and WebSocket connections.
    pub limit: LimitConfig,
    /// The action for requests that match.
    pub action: RouteAction,
}

/// The action for a request that a route matches.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteAction {
    /// The request is forwarded to a server.
    Forward(Forward),
    /// The client gets a redirect to another URL.
    Redirect(Redirect),
    /// The route responds with a fixed response, without a server.
    Respond(Respond),
}

/// The settings of a route that forwards requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Forward {
    /// The clusters that requests are split between, with their weights.
    pub split: ClusterSplit,
    /// The key by which a client stays at one cluster; `None` if requests are split at random.
    pub sticky: Option<Sticky>,
    /// The path that replaces the route's path prefix; `None` to keep the path.
    pub rewrite_prefix: Option<String>,
    /// The WebSocket settings of the route; if absent, handshakes are treated as ordinary requests.
    pub websocket: Option<Rc<WebSocket>>,
    /// Edits of the request headers.
    pub request: HeaderEdits,
    /// Edits of the response headers.
    pub response: HeaderEdits,
}

/// A route that forwards WebSocket handshakes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WebSocket {
    /// The conditions under which a handshake is forwarded.
    pub handshake_policy: HandshakePolicy,
    /// The limits of the WebSocket connections of the route.
    pub session: Rc<SessionConfig>,
}

/// The source of the key of a sticky split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sticky {
    /// The value of a header.
    Header(HeaderName),
    /// The value of a cookie.
    Cookie(String),
    /// The value of a query parameter.
    Query(String),
    /// The IP address of the client.
    Client,
}

/// Header edits, applied in the order `remove`, `set`, `add`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HeaderEdits {
    /// The names of the headers that are removed.
    pub remove: Vec<HeaderName>,
    /// Headers that replace those of the same name.
    pub set: Vec<(HeaderName, HeaderValue)>,
    /// Headers that are added to those of the same name.
    pub add: Vec<(HeaderName, HeaderValue)>,
}

/// The changes to a request's URL that give the URL of a redirect.
#[derive(Debug, Clone, PartialEq)]
pub struct Redirect {
    /// The status of the redirect: 301, 302, 303, 307 or 308.
    pub status: StatusCode,
    /// The scheme of the new URL; `http` if absent.
    pub scheme: Option<String>,
    /// The host of the new URL, optionally with a port; that of the request if absent.
    pub host: Option<String>,
    /// The path of the new URL, which then has no query; if absent, the path and query of the
    /// request are kept, with the prefix replaced if `prefix` is set.
    pub path: Option<String>,
    /// The path that replaces the route's path prefix; `None` to replace no prefix.
    pub prefix: Option<String>,
}

/// A fixed response of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Respond {
    /// The status of the response.
    pub status: StatusCode,
    /// The body of the response; may be empty.
    pub body: String,
    /// The media type of the body.
    pub content_type: HeaderValue,
}
