//! Connects migrating sockets through the same path as requests to a cluster.

use crate::body::Outbound;
use crate::driver::{Message, Reply};
use crate::plain::{send, Asks, Plain};
use crate::upstream::{Answer, AnswerBody};
use crate::websocket::reconnect::{ReconnectRequest, ServerConnection, SocketConnector};
use hyper::Request;

impl SocketConnector for Plain {
    async fn connect(&self, request: &ReconnectRequest) -> Option<ServerConnection> {
        let serving = self.serving();
        let target = &request.target;
        let pool = serving.clusters.get(&target.cluster)?;
        let class = pool.classes.get(&target.policy)?;
        let head = request.handshake_head();
        let asks = Asks {
            class: class.class_number(target.effect)?,
            priority_weight: class.priority_weight,
            repeat: true,
            patience: class.deadline,
            tenant: Some(request.tenant.clone()),
        };
        let request = Request::from_parts(head, Outbound::default());
        let message = Message { request, txn: None, _room: None, client: None };
        let (reply, _through) = send(&serving, &target.cluster, pool, asks, message).await.ok()?;
        let Reply::Served(answer) = reply? else { return None };
        let Answer { body: AnswerBody::Socket(socket), .. } = *answer else { return None };
        Some(ServerConnection { cluster: pool.driver.number(), socket: *socket })
    }
}
