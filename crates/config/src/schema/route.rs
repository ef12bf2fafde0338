//! Routes: which requests they match, and their actions.

use super::class::{Effect, Overrides};
use super::one_or_many::OneOrMany;
use super::process::Limit;
use super::text::{HeaderName, Method, Origin, Path, Sticky};
use schemars::JsonSchema;
use std::collections::BTreeMap;

/// A route: the conditions on requests, and the action for those that match.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Route {
    /// The name of the route in logs, metrics and explain.
    pub name: Option<String>,
    /// The listeners on which the route applies; all if absent.
    pub listeners: Option<OneOrMany<String>>,
    /// The hosts that match; all if absent.
    pub hosts: Option<OneOrMany<String>>,
    /// The exact path.
    pub path: Option<Path>,
    /// A prefix of the path, in whole segments.
    pub prefix: Option<Path>,
    /// A regular expression that matches the whole path.
    pub regex: Option<String>,
    /// The methods that match; all if absent.
    pub methods: Option<OneOrMany<Method>>,
    /// Conditions on headers, all of which must hold.
    pub headers: Option<BTreeMap<String, ValueMatch>>,
    /// Conditions on query parameters, all of which must hold.
    pub query: Option<BTreeMap<String, ValueMatch>>,
    /// The cluster that requests are forwarded to.
    pub cluster: Option<String>,
    /// The clusters that requests are split between, with their weights.
    pub clusters: Option<BTreeMap<String, Weight>>,
    /// Redirects clients.
    pub redirect: Option<Redirect>,
    /// A fixed response.
    pub respond: Option<Respond>,
    /// The class of its requests. Default: default.
    pub class: Option<String>,
    /// The effect of all its requests, whatever their methods.
    pub effect: Option<Effect>,
    /// The key by which a client sticks to one cluster of the split.
    pub sticky: Option<Sticky>,
    /// Replaces the prefix of the path in forwarded requests.
    pub rewrite_prefix: Option<Path>,
    /// Forwards WebSocket handshakes.
    pub websocket: Option<WebSocket>,
    /// Edits of request headers.
    pub request_headers: Option<HeaderEdits>,
    /// Edits of response headers.
    pub response_headers: Option<HeaderEdits>,
    /// Its limits.
    pub limits: Option<Limit>,
    /// Class settings that the route overrides.
    pub overrides: Option<Overrides>,
}

/// A condition on a header or a query parameter.
#[derive(Debug, JsonSchema)]
#[schemars(rename = "Test", untagged)]
pub enum ValueMatch {
    /// The exact value.
    Exact(String),
    /// True if any value matches.
    Present(bool),
    /// A regular expression.
    Regex(RegexMatch),
}

/// A regular expression on a value.
#[derive(Debug, JsonSchema)]
#[schemars(rename = "RegexTest", rename_all = "kebab-case", deny_unknown_fields)]
pub struct RegexMatch {
    /// The expression, which must match the whole value.
    pub regex: String,
}

/// A cluster's weight in a split.
#[derive(Debug, JsonSchema)]
pub struct Weight(#[schemars(range(min = 0, max = 1_000_000))] pub u32);

/// A redirect. Parts that it does not set are taken from the request.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Redirect {
    /// The status: 301, 302, 303, 307 or 308. Default: 302.
    #[schemars(range(min = 300, max = 399))]
    pub status: Option<u16>,
    /// The scheme of the new URL.
    pub scheme: Option<Scheme>,
    /// The host of the new URL, optionally with a port.
    pub host: Option<String>,
    /// The path of the new URL.
    pub path: Option<Path>,
    /// Replaces the prefix of the path.
    pub prefix: Option<Path>,
}

/// A URL scheme.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case")]
pub enum Scheme {
    /// HTTP without TLS.
    Http,
    /// HTTP over TLS.
    Https,
}

/// A fixed response of a route.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Respond {
    /// Its status. Default: 200.
    #[schemars(range(min = 200, max = 599))]
    pub status: Option<u16>,
    /// Its body.
    pub body: Option<String>,
    /// The media type of the body. Default: text/plain; charset=utf-8.
    pub content_type: Option<String>,
}

/// Header edits, applied in the order remove, set, add.
#[derive(Debug, JsonSchema)]
#[schemars(rename = "Edits", rename_all = "kebab-case", deny_unknown_fields)]
pub struct HeaderEdits {
    /// Headers to remove.
    pub remove: Option<OneOrMany<HeaderName>>,
    /// Headers that replace those of the same name.
    pub set: Option<BTreeMap<String, String>>,
    /// Headers that are added to those of the same name.
    pub add: Option<BTreeMap<String, String>>,
}

/// Whether and how a route forwards WebSocket handshakes.
#[derive(Debug, JsonSchema)]
#[schemars(untagged)]
pub enum WebSocket {
    /// True to forward all handshakes, false for none.
    Plain(bool),
    /// Forwards handshakes under conditions.
    Terms(WebSocketTerms),
}

/// Conditions on WebSocket handshakes, and whether connections may migrate.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WebSocketTerms {
    /// Origins that may open connections. Default: all.
    pub origins: Option<OneOrMany<Origin>>,
    /// Subprotocols that are forwarded. Default: all.
    pub subprotocols: Option<OneOrMany<HeaderName>>,
    /// Whether compression is forwarded. Default: false.
    pub extensions: Option<bool>,
    /// What is sent to another server to resume a connection there; connections are not resumed if
    /// absent.
    pub resume: Option<Resume>,
}

/// What is sent to another server to resume a connection there.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case")]
pub enum Resume {
    /// The handshake.
    Handshake,
    /// The handshake and the client's first message.
    FirstMessage,
}
