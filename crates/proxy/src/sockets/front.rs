//! From a handshake to an open socket, and from one server to the next.

use super::registry::{Seated, Sockets};
use super::relay::Relay;
use crate::client::connection::Upgrade;
use crate::cluster::request::{RequestOutcome, UpstreamRequest};
use crate::gateway::config::{ActiveConfig, ClusterHandle};
use crate::gateway::dispatch::{dispatch, DispatchOptions, Dispatched};
use crate::gateway::rejection::Rejection;
use crate::upstream::request_body::RequestBody;
use crate::upstream::response::{UpgradedConnection, UpstreamBody, UpstreamResponse};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use mintshelf_admission::slots::{SlotOwner, SlotUnavailable};
use mintshelf_balancer::api::{Effect, Nanos};
use mintshelf_config::model::WebSocket;
use mintshelf_config::module::severity;
use mintshelf_websocket::handshake::{HandshakeError, NegotiatedTerms, Offer};
use mintshelf_websocket::session::Session;
use std::rc::Rc;
use std::sync::Arc;

const SECOND: Nanos = 1_000_000_000;

/// A handshake that has a seat and waits for a server.
pub(crate) struct Opening {
    offer: Offer,
    seated: Seated,
    sitter: SlotOwner,
    sockets: Rc<Sockets>,
    set: Rc<WebSocket>,
}

/// What it takes to open a socket again elsewhere.
pub(crate) struct Place {
    pub(crate) cluster: String,
    /// Name of its class with its route's own settings.
    pub(crate) policy: String,
    pub(crate) effect: Effect,
    /// The handshake as it goes to servers.
    pub(crate) head: Parts,
    /// What its ends agreed on: another server has to agree to the same.
    pub(crate) agreed: NegotiatedTerms,
}

impl Opening {
    /// Checks a client's handshake and takes a seat.
    pub(crate) fn begin(
        sockets: &Rc<Sockets>,
        set: &Rc<WebSocket>,
        request: &Request<Incoming>,
        sitter: SlotOwner,
        draining: bool,
    ) -> Result<Self, Rejection> {
        let read = Offer::read(request.method(), request.version(), request.headers(), &set.terms);
        let offer = read.map_err(|bad| {
            let (status, code) = match bad {
                HandshakeError::Method | HandshakeError::Key | HandshakeError::List => {
                    (StatusCode::BAD_REQUEST, "websocket")
                }
                HandshakeError::Version => (StatusCode::UPGRADE_REQUIRED, "websocket-version"),
                HandshakeError::Origin => (StatusCode::FORBIDDEN, "websocket-origin"),
            };
            let refusal = Rejection::new(status, code, bad.reason());
            if bad == HandshakeError::Version {
                refusal.with_websocket_version()
            } else {
                refusal
            }
        })?;
        if draining {
            let what = "the planned end has begun; no server was asked";
            let refusal = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "draining", what);
            return Err(refusal.retry_after(SECOND));
        }
        let seated = sockets.seat(&sitter).map_err(|why| {
            let (code, what) = match why {
                SlotUnavailable::Full => {
                    ("sockets-full", "all sockets are taken; no server was asked")
                }
                SlotUnavailable::Tenant => {
                    ("tenant-sockets", "its tenant has as many sockets as it may")
                }
                SlotUnavailable::Route => {
                    ("route-sockets", "the route has as many sockets as it may")
                }
                SlotUnavailable::Cluster => {
                    ("cluster-sockets", "the cluster has as many as it may")
                }
            };
            Rejection::new(StatusCode::SERVICE_UNAVAILABLE, code, what).retry_after(SECOND)
        })?;
        let (sockets, set) = (sockets.clone(), set.clone());
        Ok(Opening { offer, seated, sitter, sockets, set })
    }

    /// Makes a request the handshake towards a server.
    pub(crate) fn ask(&self, head: &mut Parts) {
        ask(&self.offer, &self.sockets, head);
    }

    /// Makes a server's good 101 the client's.
    pub(crate) fn answer(&self, headers: &mut HeaderMap) {
        self.offer.answer(headers);
    }

    /// What becomes of the client's connection once its 101 is out.
    pub(crate) fn upgrade(
        self,
        config: &Rc<ActiveConfig>,
        pool: &ClusterHandle,
        class: u32,
        place: Place,
        server: Box<UpgradedConnection>,
    ) -> Upgrade {
        let Opening { offer, seated, sitter, sockets, set } = self;
        let config = config.clone();
        let driver = Rc::downgrade(&pool.runtime);
        let number = pool.runtime.number();
        Upgrade(Box::new(move |client, rest| {
            let now = sockets.clock().now();
            let deflate = server.agreed.deflate();
            let session = Session::new(set.session.clone(), deflate, sockets.next_seed(), now);
            let by = config.listener_id();
            let listed = sockets.list(sitter.clone(), by, number, server.target.server);
            let again = Rc::new(Again { config, place, offer, sockets: sockets.clone(), sitter });
            let reopen = move || {
                let again = again.clone();
                Box::pin(async move { again.open().await }) as std::pin::Pin<Box<_>>
            };
            let advice =
                move || driver.upgrade().map_or(1, |d| d.retry_after(class) / SECOND).max(1);
            let relay = Relay { session, client, server, sockets, listed, seated };
            Box::pin(relay.run(rest, Box::new(reopen), Box::new(advice)))
        }))
    }
}

fn ask(offer: &Offer, sockets: &Sockets, head: &mut Parts) {
    let mut nonce = [0; 16];
    nonce[..8].copy_from_slice(&sockets.next_seed().to_le_bytes());
    nonce[8..].copy_from_slice(&sockets.next_seed().to_le_bytes());
    let asked = offer.ask(nonce, &mut head.headers);
    head.extensions.insert(Arc::new(asked));
}

/// Opens a socket again.
struct Again {
    config: Rc<ActiveConfig>,
    place: Place,
    offer: Offer,
    sockets: Rc<Sockets>,
    sitter: SlotOwner,
}

impl Again {
    /// At another server of what is in force now, through the same limits and decisions.
    async fn open(&self) -> Option<(u32, UpgradedConnection)> {
        let serving = self.config.current();
        let Place { cluster, policy, effect, head, agreed } = &self.place;
        let pool = serving.clusters.get(cluster)?;
        let class = pool.classes.get(policy)?;
        let mut head = head.clone();
        ask(&self.offer, &self.sockets, &mut head);
        let options = DispatchOptions {
            class: class.numbers[severity(*effect)]?,
            priority_weight: class.priority_weight,
            is_repeat: true,
            client_timeout: class.deadline,
            tenant: Some(self.sitter.tenant.clone()),
        };
        let request = UpstreamRequest {
            request: Request::from_parts(head, RequestBody::default()),
            transaction_id: None,
            body_permit: None,
            client: None,
        };
        let dispatched = dispatch(&serving, cluster, pool, options, request).await.ok()?;
        let Dispatched { outcome, permit: _permit } = dispatched;
        match outcome? {
            RequestOutcome::Served(answer) => match *answer {
                UpstreamResponse { body: UpstreamBody::Upgraded(socket), .. }
                    if socket.agreed == *agreed =>
                {
                    Some((pool.runtime.number(), *socket))
                }
                _ => None,
            },
            _ => None,
        }
    }
}
