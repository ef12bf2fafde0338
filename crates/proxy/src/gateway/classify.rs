//! Reads and classifies a request: host and path, route, cluster and class.

use super::config::{ClusterHandle, ServingConfig};
use super::rejection::Rejection;
use crate::client::connection::Client;
use crate::client::request_body::ClientBody;
use crate::client::scanned_head::ScannedHead;
use crate::headers::{cookie_pairs, expects_continue};
use hyper::header::{self, HeaderMap};
use hyper::http::uri::Authority;
use hyper::{Method, Request, StatusCode, Version};
use mintshelf_balancer::api::{ClassId, Effect};
use mintshelf_config::model::{Forward, Route, RouteAction, Sticky};
use mintshelf_routing::path::has_dot_segments;
use mintshelf_routing::RequestView;
use mintshelf_time::Nanos;
use std::rc::Rc;

/// Request header with the key by which a server recognizes a repeated request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The host and path that a request is for.
pub(crate) struct RequestTarget {
    pub(crate) host: String,
    pub(crate) path_and_query: String,
}

impl RequestTarget {
    /// Reads and checks the target of a request.
    ///
    /// # Errors
    /// The rejection, if the request is ambiguous or not supported by a gateway.
    pub(crate) fn read(
        head: ScannedHead,
        request: &Request<ClientBody>,
    ) -> Result<Self, Rejection> {
        if let Some(ambiguity) = head.ambiguity {
            return Err(Rejection::ambiguous_framing(ambiguity.reason()));
        }
        let host = host_of(request)?;
        let path_and_query = request.uri().path_and_query();
        let path_and_query = path_and_query.map_or("/", |path| path.as_str()).to_string();
        if request.method() == Method::CONNECT {
            let detail = "this is no tunnel";
            let rejection = Rejection::new(StatusCode::NOT_IMPLEMENTED, "no-tunnel", detail);
            return Err(rejection.closing_connection());
        }
        if has_dot_segments(path_and_query.split('?').next().unwrap_or("/")) {
            let detail = "the path holds an element '.' or '..'";
            return Err(Rejection::new(StatusCode::BAD_REQUEST, "climbing-path", detail));
        }
        let headers = request.headers();
        if headers.contains_key(header::EXPECT) && !expects_continue(headers) {
            let detail = "only 100-continue can be expected";
            return Err(Rejection::new(StatusCode::EXPECTATION_FAILED, "expectation", detail));
        }
        Ok(RequestTarget { host, path_and_query })
    }
}

/// The route that matches a request.
pub(crate) struct RouteMatch<'a> {
    pub(crate) index: usize,
    pub(crate) route: &'a Route,
    /// The key that keeps the requests of one session at one cluster of a split, if the route is
    /// sticky and the request has the key.
    pub(crate) sticky_key: Option<Vec<u8>>,
}

impl<'a> RouteMatch<'a> {
    /// Finds the route of a request.
    ///
    /// # Errors
    /// The rejection, if no route matches.
    pub(crate) fn find(
        serving: &'a ServingConfig,
        target: &RequestTarget,
        client: &Client,
        request: &Request<ClientBody>,
    ) -> Result<Self, Rejection> {
        let RequestTarget { host, path_and_query } = target;
        let view = RequestView::new(host, path_and_query, request.method(), request.headers());
        let Some(index) = serving.table.find(&view) else {
            let detail = "no route takes this request";
            return Err(Rejection::new(StatusCode::NOT_FOUND, "no-route", detail));
        };
        let route = &serving.routes[index];
        let sticky_key = match &route.action {
            RouteAction::Forward(forward) => sticky_key(forward.sticky.as_ref(), &view, client),
            _ => None,
        };
        Ok(RouteMatch { index, route, sticky_key })
    }
}

/// The cluster of a request, and its class there.
pub(crate) struct ClusterClass<'a> {
    pub(crate) cluster_name: &'a str,
    pub(crate) cluster: &'a Rc<ClusterHandle>,
    pub(crate) effect: Effect,
    /// The id of the request's class in the decision module.
    pub(crate) class: ClassId,
    pub(crate) priority_weight: f64,
    pub(crate) client_timeout: Nanos,
    pub(crate) is_repeat: bool,
}

impl<'a> ClusterClass<'a> {
    /// Picks the cluster of a request and finds its class there.
    ///
    /// # Errors
    /// The rejection, if the current configuration does not contain the cluster or the class.
    pub(crate) fn find(
        serving: &'a ServingConfig,
        route: &Route,
        forward: &'a Forward,
        balance_key: &[u8],
        request: &Request<ClientBody>,
    ) -> Result<Self, Rejection> {
        let cluster_name = forward.split.pick(balance_key);
        let cluster = serving.clusters.get(cluster_name).ok_or_else(no_cluster)?;
        let class = cluster.classes.get(&route.effective_class).ok_or_else(no_cluster)?;
        let has_key = request.headers().contains_key(IDEMPOTENCY_KEY);
        let effect = effect_of(class.effect, route.effect, request.method(), has_key);
        let repeat_header = serving.repeat_header.as_ref();
        let repeat_mark = repeat_header.and_then(|name| request.headers().get(name));
        Ok(ClusterClass {
            cluster_name,
            cluster,
            effect,
            class: class.class_id(effect).ok_or_else(no_cluster)?,
            priority_weight: class.priority_weight,
            client_timeout: class.deadline,
            is_repeat: repeat_mark.is_some_and(|value| value != "0"),
        })
    }
}

fn no_cluster() -> Rejection {
    let detail = "the route's cluster is not there";
    Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "no-cluster", detail)
}

/// Returns the effect of a request: the one that its route states, or else that of its class, made
/// unsafe if the class is safe and the method is not (RFC 9110 9.2.1). An idempotent request
/// without an idempotency key (`has_key`) is unsafe. The method alone never makes a request
/// idempotent: if a PUT or DELETE is repeated, only its client knows whether another request came
/// in between.
#[must_use]
pub fn effect_of(class: Effect, route: Option<Effect>, method: &Method, has_key: bool) -> Effect {
    let effect_by_method = match class {
        Effect::Safe if !method.is_safe() => Effect::Unsafe,
        effect => effect,
    };
    match route.unwrap_or(effect_by_method) {
        Effect::Idempotent if !has_key => Effect::Unsafe,
        effect => effect,
    }
}

/// Returns the host that a request is for: the host of the target, or else that of the single Host
/// header (RFC 9112 3.2). A request in which they differ is rejected, as servers choose
/// differently.
fn host_of(request: &Request<ClientBody>) -> Result<String, Rejection> {
    let header_host = host_header(request.headers())?;
    let target_host = request.uri().authority().map(Authority::as_str);
    let host = match (target_host, header_host) {
        (Some(target_host), Some(header_host))
            if !target_host.eq_ignore_ascii_case(header_host) =>
        {
            return Err(invalid_host("the target and Host name different hosts"));
        }
        (Some(target_host), _) => target_host,
        (None, Some(header_host)) => header_host,
        (None, None) if request.version() == Version::HTTP_11 => {
            return Err(invalid_host("Host is missing"));
        }
        (None, None) => "",
    };
    let is_invalid = |char: char| !char.is_ascii_graphic() || "/?#@\\,\"<>".contains(char);
    if host.contains(is_invalid) {
        return Err(invalid_host("Host is no host"));
    }
    Ok(host.to_string())
}

fn host_header(headers: &HeaderMap) -> Result<Option<&str>, Rejection> {
    let mut hosts = headers.get_all(header::HOST).iter();
    let first = hosts.next();
    if hosts.next().is_some() {
        return Err(invalid_host("there are several Host headers"));
    }
    first.map(|host| host.to_str().map_err(|_| invalid_host("Host is no host"))).transpose()
}

fn invalid_host(detail: &'static str) -> Rejection {
    Rejection::new(StatusCode::BAD_REQUEST, "host", detail).closing_connection()
}

fn sticky_key(sticky: Option<&Sticky>, view: &RequestView, client: &Client) -> Option<Vec<u8>> {
    match sticky? {
        Sticky::Client => Some(client.peer.ip().to_string().into_bytes()),
        Sticky::Header(name) => view.headers.get(name).map(|value| value.as_bytes().to_vec()),
        Sticky::Query(name) => {
            view.query_values(name).next().map(|value| value.as_bytes().to_vec())
        }
        Sticky::Cookie(name) => {
            let mut pairs = cookie_pairs(view.headers).filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| key == name).map(|(_, value)| value.as_bytes().to_vec())
        }
    }
}
