//! Connects a migrating WebSocket to a server, through the same queue and decisions as requests.

use super::config::ActiveConfig;
use super::dispatch::{dispatch, DispatchOptions, Dispatched};
use crate::cluster::request::{RequestOutcome, UpstreamRequest};
use crate::upstream::request_body::RequestBody;
use crate::upstream::response::{UpstreamBody, UpstreamResponse};
use crate::websocket::reconnect::{ReconnectRequest, ServerConnection, SocketConnector};
use hyper::Request;
use std::rc::Rc;

impl SocketConnector for ActiveConfig {
    async fn connect(&self, request: &ReconnectRequest) -> Option<ServerConnection> {
        let serving = self.current();
        let target = &request.target;
        let cluster = serving.clusters.get(&target.cluster)?;
        let class = cluster.classes.get(&target.policy)?;
        let head = request.handshake_head();
        let options = DispatchOptions {
            class: class.class_id(target.effect)?,
            priority_weight: class.priority_weight,
            is_repeat: true,
            client_timeout: class.deadline,
            tenant: Some(request.tenant.clone()),
        };
        let request = UpstreamRequest {
            message: Rc::new(Request::from_parts(head, RequestBody::default())),
            transaction_id: None,
            body_permit: None,
            memory: cluster.runtime.open_memory_account(),
            client: None,
        };
        let dispatched =
            dispatch(&serving, &target.cluster, cluster, options, request).await.ok()?;
        let Dispatched { outcome, permit: _permit } = dispatched;
        let RequestOutcome::Served(response) = outcome? else { return None };
        let UpstreamResponse { body: UpstreamBody::Upgraded(socket), .. } = *response else {
            return None;
        };
        Some(ServerConnection { cluster: cluster.runtime.number(), socket: *socket })
    }
}
