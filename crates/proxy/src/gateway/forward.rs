//! Forwards a request to a server, stage by stage.

use super::admission::{BodyPermit, TenantPermit};
use super::classify::{ClusterClass, RequestTarget};
use super::config::{ActiveConfig, ServingConfig};
use super::dispatch::{dispatch, DispatchOptions, Dispatched};
use super::edits::{append, append_via, apply_edits, invalid_target, rewrite_target};
use super::rejection::Rejection;
use super::request_body::{read_body, BudgetedBody, BufferPlan};
use super::request_ids::RequestIds;
use super::respond::{client_response, served_response, upstream_failed, RequestPermits};
use super::socket_rejections::{handshake_body_rejection, upgrade_rejection};
use crate::body::byte_count;
use crate::budget::BodyBudgets;
use crate::client::connection::{Client, Phase};
use crate::client::handler::ResponseBody;
use crate::client::request_body::ClientBody;
use crate::cluster::request::UpstreamRequest;
use crate::headers::strip_for_next_hop;
use crate::upstream::request_body::RequestBody;
use crate::upstream::response::{UpgradedConnection, UpstreamBody, UpstreamResponse};
use crate::websocket::reconnect::ReconnectTarget;
use crate::websocket::registry::SocketRegistry;
use crate::websocket::upgrade::PendingUpgrade;
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri, Version};
use mintshelf_admission::slots::SlotOwner;
use mintshelf_admission::tenants::DEFAULT_TENANT;
use mintshelf_config::model::{Forward, Route};
use mintshelf_websocket::handshake;
use std::net::IpAddr;
use std::rc::Rc;

/// Forwards the requests of one listener to its clusters.
pub(super) struct Forwarder {
    pub(super) config: Rc<ActiveConfig>,
    pub(super) ids: RequestIds,
    /// Limits the request bodies that the process buffers.
    pub(super) body_budgets: BodyBudgets,
    pub(super) sockets: Rc<SocketRegistry>,
}

/// A request whose route forwards it to a cluster.
pub(crate) struct ForwardContext<'a> {
    pub(crate) serving: &'a ServingConfig,
    pub(crate) client: &'a Rc<Client>,
    pub(crate) route_index: usize,
    pub(crate) route: &'a Route,
    pub(crate) forward: &'a Forward,
    /// The key by which a cluster of a split is picked.
    pub(crate) balance_key: Vec<u8>,
    pub(crate) target: RequestTarget,
    pub(crate) is_draining: bool,
}

/// A WebSocket handshake that waits for the response of a server.
struct SentHandshake {
    upgrade: PendingUpgrade,
    /// The request head as sent to servers.
    head: Parts,
}

impl Forwarder {
    /// Forwards a request whose head has been read and whose route is known, in these stages:
    ///
    /// 1. classify: find its cluster, its class there and its effect;
    /// 2. admit: apply the limits of its tenant and route, and reserve a slot for a WebSocket;
    /// 3. rewrite: convert the head to the form that is sent to servers;
    /// 4. read: read the body, within the quota of the tenant and the budget of the process;
    /// 5. balance: pass the queue of the cluster, then the decision module and its attempts;
    /// 6. respond: return the server's response, or the rejection.
    ///
    /// Processing ends with the first stage that rejects the request. What a stage acquires is held
    /// by a guard and released when that is dropped, however the request ends.
    ///
    /// # Errors
    /// The rejection of the first stage that rejects the request.
    pub(super) async fn forward(
        &self,
        context: ForwardContext<'_>,
        request: Request<ClientBody>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let class = context.classify(&request)?;
        let tenant_permit = context.admit(&request)?;
        let upgrade = self.accept_handshake(&context, &class, tenant_permit.as_ref(), &request)?;
        let (head, body) = self.rewrite(&context, upgrade.as_ref(), request)?;
        let body_permit = context.reserve_body(tenant_permit.as_ref(), &body)?;
        let body = read_body(&self.body_budgets, context.client, body).await?;
        if upgrade.is_some() && matches!(body.body, RequestBody::Streamed(_)) {
            return Err(handshake_body_rejection());
        }
        context.client.enter(Phase::Busy);
        let handshake = upgrade.map(|upgrade| SentHandshake { upgrade, head: head.clone() });
        let tenant = tenant_permit.as_ref().map(|permit| permit.tenant.clone());
        let dispatched = context.balance(&class, tenant, head, body).await?;
        drop(body_permit);
        self.respond_with(&context, &class, dispatched, tenant_permit, handshake)
    }

    /// Reserves a slot if the request is a handshake and its route accepts WebSocket connections.
    fn accept_handshake(
        &self,
        context: &ForwardContext<'_>,
        class: &ClusterClass<'_>,
        tenant_permit: Option<&TenantPermit>,
        request: &Request<ClientBody>,
    ) -> Result<Option<PendingUpgrade>, Rejection> {
        let Some(settings) = &context.forward.websocket else { return Ok(None) };
        if !handshake::is_upgrade_request(request.headers()) {
            return Ok(None);
        }
        let tenant = tenant_permit.map_or(DEFAULT_TENANT.into(), |permit| permit.tenant.clone());
        let owner = SlotOwner {
            tenant,
            route: context.route.name.as_str().into(),
            cluster: class.cluster_name.into(),
        };
        let is_draining = context.is_draining;
        PendingUpgrade::accept(&self.sockets, settings, request, owner, is_draining)
            .map(Some)
            .map_err(upgrade_rejection)
    }

    /// Returns the request head in the form that is sent to servers, and the unread body.
    fn rewrite(
        &self,
        context: &ForwardContext<'_>,
        upgrade: Option<&PendingUpgrade>,
        request: Request<ClientBody>,
    ) -> Result<(Parts, ClientBody), Rejection> {
        let RequestTarget { host, path_and_query } = &context.target;
        let (mut head, body) = request.into_parts();
        head.extensions.clear();
        strip_for_next_hop(&mut head.headers);
        self.add_hop(context, &mut head.headers);
        apply_edits(&mut head.headers, &context.forward.request);
        let prefix = context.forward.rewrite_prefix.as_deref();
        let target = rewrite_target(prefix, context.route, path_and_query);
        let target = target.parse::<Uri>();
        head.uri = target.map_err(|_| invalid_target("the target can't be written"))?;
        head.version = Version::HTTP_11;
        if !head.headers.contains_key(header::HOST) {
            let host = HeaderValue::from_str(host);
            let host = host.map_err(|_| invalid_target("the host is no host"))?;
            head.headers.insert(header::HOST, host);
        }
        if let Some(upgrade) = upgrade {
            upgrade.prepare_request(&mut head);
        }
        Ok((head, body))
    }

    /// Adds this hop to Via and Forwarded (RFC 9110 7.6.3, RFC 7239 4), and a request id if there
    /// is none.
    fn add_hop(&self, context: &ForwardContext<'_>, headers: &mut HeaderMap) {
        let forwarding = &context.serving.forwarding;
        if let Some(via) = &forwarding.via {
            append_via(headers, via);
        }
        if forwarding.adds_forwarded {
            let client = match context.client.peer.ip() {
                IpAddr::V4(ip) => ip.to_string(),
                IpAddr::V6(ip) => format!("\"[{ip}]\""),
            };
            let hop = format!("for={client};host=\"{}\";proto=http", context.target.host);
            append(headers, header::FORWARDED, &hop);
        }
        let request_id = forwarding.request_id.as_ref();
        if let Some(name) = request_id.filter(|name| !headers.contains_key(*name)) {
            headers.insert(name, self.ids.next_id());
        }
    }

    fn respond_with(
        &self,
        context: &ForwardContext<'_>,
        class: &ClusterClass<'_>,
        dispatched: Dispatched,
        tenant_permit: Option<TenantPermit>,
        handshake: Option<SentHandshake>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let permits = tenant_permit
            .map(|tenant| RequestPermits { _cluster: dispatched.permit, _tenant: tenant });
        let UpstreamResponse { status, headers, body } = served_response(dispatched.outcome)?;
        match body {
            UpstreamBody::Upgraded(connection) => {
                let body = UpstreamBody::Complete(Bytes::new());
                let response = UpstreamResponse { status, headers, body };
                self.upgrade(context, class, response, connection, handshake)
            }
            mut body => {
                if let (UpstreamBody::Stream(stream), Some(permits)) = (&mut body, permits) {
                    stream.attach_guard(Box::new(permits));
                }
                let response = UpstreamResponse { status, headers, body };
                Ok(client_response(context.serving, context.forward, response))
            }
        }
    }

    /// Creates the 101 response to a handshake. Once it is written, the client's connection becomes
    /// a WebSocket.
    fn upgrade(
        &self,
        context: &ForwardContext<'_>,
        class: &ClusterClass<'_>,
        response: UpstreamResponse,
        connection: Box<UpgradedConnection>,
        handshake: Option<SentHandshake>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let Some(SentHandshake { upgrade, head }) = handshake else {
            let detail = "the server upgraded what was no handshake; it may have run";
            return Err(upstream_failed(detail));
        };
        let mut response = client_response(context.serving, context.forward, response);
        upgrade.finish_response(response.headers_mut());
        let target = ReconnectTarget {
            cluster: class.cluster_name.to_string(),
            policy: context.route.effective_class.clone(),
            effect: class.effect,
            head,
            negotiated: connection.agreed.clone(),
        };
        let runtime = &class.cluster.runtime;
        let upgrade = upgrade.into_upgrade(&self.config, runtime, class.class, target, connection);
        *context.client.upgrade.borrow_mut() = Some(upgrade);
        Ok(response)
    }
}

impl<'a> ForwardContext<'a> {
    fn classify(&self, request: &Request<ClientBody>) -> Result<ClusterClass<'a>, Rejection> {
        ClusterClass::find(self.serving, self.route, self.forward, &self.balance_key, request)
    }

    fn admit(&self, request: &Request<ClientBody>) -> Result<Option<TenantPermit>, Rejection> {
        let Some(admission) = &self.serving.admission else { return Ok(None) };
        let listener = &self.serving.listener;
        let headers = request.headers();
        admission.admit(self.client, listener, headers, self.route_index).map(Some)
    }

    fn reserve_body(
        &self,
        tenant_permit: Option<&TenantPermit>,
        body: &ClientBody,
    ) -> Result<Option<BodyPermit>, Rejection> {
        let limits = self.serving.admission.as_ref().zip(tenant_permit);
        let Some((admission, permit)) = limits.filter(|_| !body.is_end_stream()) else {
            return Ok(None);
        };
        let bytes = byte_count(BufferPlan::of(body).max_bytes);
        admission.controller.reserve_body(&permit.tenant, bytes).map(Some)
    }

    async fn balance(
        &self,
        class: &ClusterClass<'_>,
        tenant: Option<Rc<str>>,
        head: Parts,
        body: BudgetedBody,
    ) -> Result<Dispatched, Rejection> {
        let request = UpstreamRequest {
            message: Rc::new(Request::from_parts(head, body.body)),
            transaction_id: None,
            body_permit: body.permit,
            memory: self.client.memory_account(),
            client: Some(self.client.clone()),
        };
        let options = DispatchOptions {
            class: class.class,
            priority_weight: class.priority_weight,
            is_repeat: class.is_repeat,
            client_timeout: class.client_timeout,
            tenant,
        };
        dispatch(self.serving, class.cluster_name, class.cluster, options, request).await
    }
}
