//! Ordinary HTTP/1.1: the requests of a listener, each from its head to the response.

use super::classify::{RequestTarget, RouteMatch};
use super::config::{ActiveConfig, ServingConfig};
use super::edits::{fixed_response, redirect_response};
use super::forward::{ForwardContext, Forwarder};
use super::rejection::Rejection;
use super::request_ids::RequestIds;
use super::stats::ProxyStats;
use crate::client::handler::{ClientRequest, RequestHandler, ResponseBody};
use crate::websocket::registry::SocketRegistry;
use hyper::{Method, Response};
use mintshelf_config::model::RouteAction;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// What the handler of one listener is made of.
pub struct GatewaySettings {
    /// The first configuration in force.
    pub config: Rc<ServingConfig>,
    /// Bytes of requests' bodies that the process may have in memory.
    pub body_budget: Arc<Semaphore>,
    /// Where requests and responses are counted.
    pub stats: Rc<ProxyStats>,
    /// The open WebSocket connections of the process.
    pub sockets: Rc<SocketRegistry>,
    /// Keeps the request ids of two runs of the program apart.
    pub seed: u64,
}

/// Responds to the requests of one listener.
pub struct GatewayHandler {
    forwarder: Forwarder,
    stats: Rc<ProxyStats>,
}

impl GatewayHandler {
    /// A listener with these settings.
    #[must_use]
    pub fn new(settings: GatewaySettings) -> Rc<Self> {
        let GatewaySettings { config, body_budget, stats, sockets, seed } = settings;
        let forwarder = Forwarder {
            config: ActiveConfig::new(config),
            ids: RequestIds::new(seed),
            body_budget,
            sockets,
        };
        Rc::new(GatewayHandler { forwarder, stats })
    }

    /// Puts another configuration in force for the requests that come from now on.
    pub fn replace_config(&self, config: Rc<ServingConfig>) {
        let old = self.forwarder.config.replace(config);
        let mut routes = self.stats.routes.borrow_mut();
        for (name, hits) in old.hits() {
            *routes.entry(name.to_string()).or_default() += hits;
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Rc<ServingConfig> {
        self.forwarder.config.current()
    }

    /// A number of this listener among those of the process, by which its sockets are found.
    pub fn listener_id(&self) -> usize {
        self.forwarder.config.listener_id()
    }

    /// Reads a request's head, finds its route and does what that says; the stages of a request
    /// that is forwarded are those of `forward`.
    async fn handle(
        &self,
        serving: &ServingConfig,
        request: ClientRequest,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let ClientRequest { client, request, is_draining } = request;
        let target = RequestTarget::read(&client, &request)?;
        let RouteMatch { index, route, sticky_key } =
            RouteMatch::find(serving, &target, &client, &request)?;
        serving.count_hit(index);
        match &route.action {
            RouteAction::Forward(forward) => {
                let context = ForwardContext {
                    serving,
                    client: &client,
                    route_index: index,
                    route,
                    forward,
                    balance_key: sticky_key
                        .unwrap_or_else(|| self.forwarder.ids.next_number().to_le_bytes().to_vec()),
                    target,
                    is_draining,
                };
                self.forwarder.forward(context, request).await
            }
            RouteAction::Redirect(redirect) => {
                redirect_response(redirect, route, &target.host, &target.path_and_query)
            }
            RouteAction::Respond(respond) => Ok(fixed_response(respond)),
        }
    }
}

impl RequestHandler for GatewayHandler {
    async fn respond(self: Rc<Self>, request: ClientRequest) -> Response<ResponseBody> {
        let serving = self.forwarder.config.current();
        let is_head = request.request.method() == Method::HEAD;
        let response = match self.handle(&serving, request).await {
            Ok(response) => response,
            Err(rejection) => {
                self.stats.count_rejection(rejection.code);
                rejection.response(is_head)
            }
        };
        self.stats.count_response(response.status().as_u16());
        response
    }
}
