//! Handles the HTTP/1.1 requests of a listener, from the request head to the response.

use super::classify::{RequestTarget, RouteMatch};
use super::config::{ActiveConfig, ServingConfig};
use super::edits::{fixed_response, redirect_response};
use super::forward::{ForwardContext, Forwarder};
use super::rejection::Rejection;
use super::request_ids::RequestIds;
use super::stats::ProxyStats;
use crate::budget::BodyBudgets;
use crate::client::handler::{ClientRequest, RequestHandler, ResponseBody};
use crate::websocket::registry::SocketRegistry;
use hyper::{Method, Response};
use mintshelf_config::model::RouteAction;
use std::rc::Rc;

/// The settings of the handler of one listener.
pub struct GatewaySettings {
    /// The configuration with which the listener starts; a reload replaces it.
    pub config: Rc<ServingConfig>,
    /// Limits the request bodies that the process buffers.
    pub body_budgets: BodyBudgets,
    /// Counts requests and responses for the metrics.
    pub stats: Rc<ProxyStats>,
    /// The open WebSocket connections of the process.
    pub sockets: Rc<SocketRegistry>,
    /// Random first half of each request id, which makes the ids of two runs of the program differ.
    pub seed: u64,
}

/// Responds to the requests of one listener.
pub struct GatewayHandler {
    forwarder: Forwarder,
    stats: Rc<ProxyStats>,
}

impl GatewayHandler {
    /// Creates the handler of a listener.
    #[must_use]
    pub fn new(settings: GatewaySettings) -> Rc<Self> {
        let GatewaySettings { config, body_budgets, stats, sockets, seed } = settings;
        let forwarder = Forwarder {
            config: ActiveConfig::new(config),
            ids: RequestIds::new(seed),
            body_budgets,
            sockets,
        };
        Rc::new(GatewayHandler { forwarder, stats })
    }

    /// Replaces the configuration for requests that arrive from now on.
    pub fn replace_config(&self, config: Rc<ServingConfig>) {
        let old = self.forwarder.config.replace(config);
        let mut routes = self.stats.routes.borrow_mut();
        for (name, hits) in old.hits() {
            *routes.entry(name.to_string()).or_default() += hits;
        }
    }

    /// Returns the configuration that applies to new requests of this listener.
    pub fn config(&self) -> Rc<ServingConfig> {
        self.forwarder.config.current()
    }

    /// Identifies this listener within the process, to find its WebSocket connections.
    pub fn listener_id(&self) -> usize {
        self.forwarder.config.listener_id()
    }

    /// Reads the head of a request, finds its route and executes the route's action. See
    /// [`Forwarder::forward`] for the stages of a forwarded request.
    async fn handle(
        &self,
        serving: &ServingConfig,
        request: ClientRequest,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let ClientRequest { client, head, request, is_draining } = request;
        let target = RequestTarget::read(head, &request)?;
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
