//! Accepts WebSocket handshakes of clients and opens sockets for them.

use super::entry::ServerLocation;
use super::reconnect::{write_handshake, ReconnectRequest, ReconnectTarget, SocketConnector};
use super::registry::{SlotReservation, SocketRegistry};
use super::relay::{Reconnect, Relay, RetryAfter};
use crate::client::connection::Upgrade;
use crate::client::request_body::ClientBody;
use crate::cluster::runtime::ClusterRuntime;
use crate::upstream::response::UpgradedConnection;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::Request;
use mintshelf_admission::slots::{SlotOwner, SlotUnavailable};
use mintshelf_balancer::api::ClassId;
use mintshelf_config::model::WebSocket;
use mintshelf_time::SECOND;
use mintshelf_websocket::handshake::{ClientHandshake, HandshakeError};
use mintshelf_websocket::session::Session;
use std::rc::Rc;
use thiserror::Error;

/// The reason why a WebSocket handshake is rejected before it is sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum UpgradeError {
    /// The handshake is malformed or its route does not allow it.
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    /// The graceful shutdown has begun.
    #[error("the graceful shutdown has begun")]
    Draining,
    /// A limit on the number of open sockets is reached.
    #[error("no slot is free: {0:?}")]
    NoSlot(SlotUnavailable),
}

/// A valid handshake that holds a slot and waits for the response of a server.
pub(crate) struct PendingUpgrade {
    handshake: ClientHandshake,
    slot: SlotReservation,
    owner: SlotOwner,
    registry: Rc<SocketRegistry>,
    config: Rc<WebSocket>,
}

impl PendingUpgrade {
    /// Validates a client's handshake and reserves a slot.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake is malformed, not allowed by its route, or sent during the
    /// graceful shutdown, or if no slot is free.
    pub(crate) fn accept(
        registry: &Rc<SocketRegistry>,
        config: &Rc<WebSocket>,
        request: &Request<ClientBody>,
        owner: SlotOwner,
        is_draining: bool,
    ) -> Result<Self, UpgradeError> {
        let handshake = ClientHandshake::parse(
            request.method(),
            request.version(),
            request.headers(),
            &config.handshake_policy,
        )?;
        if is_draining {
            return Err(UpgradeError::Draining);
        }
        let slot = registry.reserve(&owner).map_err(UpgradeError::NoSlot)?;
        Ok(PendingUpgrade {
            handshake,
            slot,
            owner,
            registry: registry.clone(),
            config: config.clone(),
        })
    }

    /// Turns a request head into a handshake for a server.
    pub(crate) fn prepare_request(&self, head: &mut Parts) {
        write_handshake(&self.handshake, &self.registry, head);
    }

    /// Turns the headers of a server's valid 101 response into those for the client.
    pub(crate) fn finish_response(&self, headers: &mut HeaderMap) {
        self.handshake.write_response(headers);
    }

    /// Returns the upgrade that takes over the client's connection after the 101 has been sent.
    /// `handler` has accepted the handshake and connects the socket to other servers when it
    /// migrates; `class` is the class of its handshakes.
    pub(crate) fn into_upgrade<C: SocketConnector + 'static>(
        self,
        handler: &Rc<C>,
        runtime: &Rc<ClusterRuntime>,
        class: ClassId,
        target: ReconnectTarget,
        server: Box<UpgradedConnection>,
    ) -> Upgrade {
        let PendingUpgrade { handshake, slot, owner, registry, config } = self;
        let handler = handler.clone();
        let cluster = runtime.number();
        let runtime = Rc::downgrade(runtime);
        Upgrade(Box::new(move |client, read_ahead| {
            let now = registry.clock().now();
            let is_compressed = server.agreed.uses_compression();
            let seed = registry.next_seed();
            let session = Session::new(config.session.clone(), is_compressed, seed, now);
            let handler_id = Rc::as_ptr(&handler).addr();
            let location = ServerLocation { cluster, server: server.target.server };
            let tenant = owner.tenant.clone();
            let socket = registry.register(owner, handler_id, location);
            let request =
                ReconnectRequest { target, tenant, handshake, registry: registry.clone() };
            let retry_after: Box<RetryAfter> = Box::new(move || {
                let runtime = runtime.upgrade();
                let retry_after = runtime.map_or(SECOND, |runtime| runtime.retry_after(class));
                (retry_after / SECOND).max(1)
            });
            let relay = Relay { session, client, server, registry, socket, slot, eviction: None };
            Box::pin(relay.run(read_ahead, reconnect(handler, request), retry_after))
        }))
    }
}

/// Creates the function that connects a socket to another server each time it migrates.
fn reconnect<C: SocketConnector + 'static>(
    connector: Rc<C>,
    request: ReconnectRequest,
) -> Box<Reconnect> {
    let request = Rc::new(request);
    Box::new(move || {
        let connector = connector.clone();
        let request = request.clone();
        Box::pin(async move { request.connect(&*connector).await })
    })
}
