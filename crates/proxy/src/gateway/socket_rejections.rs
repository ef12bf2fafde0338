//! Rejections of WebSocket handshakes before they are sent to a server.

use super::rejection::Rejection;
use crate::websocket::upgrade::UpgradeError;
use hyper::StatusCode;
use mintshelf_admission::slots::SlotUnavailable;
use mintshelf_time::{Nanos, SECOND};
use mintshelf_websocket::handshake::HandshakeError;

/// Retry-After of handshakes that may succeed shortly afterwards, in nanoseconds.
const RETRY_AFTER_NS: Nanos = SECOND;

/// Returns the rejection of a handshake.
pub(super) fn upgrade_rejection(error: UpgradeError) -> Rejection {
    match error {
        UpgradeError::Handshake(error) => handshake_rejection(error),
        UpgradeError::Draining => draining_rejection(),
        UpgradeError::NoSlot(limit) => slot_rejection(limit),
    }
}

/// Returns the rejection of a handshake that is malformed or that its route does not allow.
fn handshake_rejection(error: HandshakeError) -> Rejection {
    let (status, code) = match error {
        HandshakeError::InvalidRequestLine
        | HandshakeError::InvalidKey
        | HandshakeError::InvalidSubprotocols => (StatusCode::BAD_REQUEST, "websocket"),
        HandshakeError::UnsupportedVersion => (StatusCode::UPGRADE_REQUIRED, "websocket-version"),
        HandshakeError::ForbiddenOrigin => (StatusCode::FORBIDDEN, "websocket-origin"),
    };
    let rejection = Rejection::new(status, code, error.reason());
    if error == HandshakeError::UnsupportedVersion {
        rejection.with_websocket_version()
    } else {
        rejection
    }
}

/// Returns the rejection of a handshake whose body has not arrived: behind a 101, its rest would be
/// taken for frames.
pub(super) fn handshake_body_rejection() -> Rejection {
    let reason = "a handshake has no body; no server was asked";
    Rejection::new(StatusCode::BAD_REQUEST, "websocket", reason).closing_connection()
}

/// Returns the rejection of a handshake during the graceful shutdown.
fn draining_rejection() -> Rejection {
    let reason = "the planned end has begun; no server was asked";
    Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "draining", reason).retry_after(RETRY_AFTER_NS)
}

/// Returns the rejection of a handshake for which no slot is free.
fn slot_rejection(limit: SlotUnavailable) -> Rejection {
    let (code, reason) = match limit {
        SlotUnavailable::Full => ("sockets-full", "all sockets are taken; no server was asked"),
        SlotUnavailable::Tenant => ("tenant-sockets", "its tenant has as many sockets as it may"),
        SlotUnavailable::Route => ("route-sockets", "the route has as many sockets as it may"),
        SlotUnavailable::Cluster => ("cluster-sockets", "the cluster has as many as it may"),
    };
    Rejection::new(StatusCode::SERVICE_UNAVAILABLE, code, reason).retry_after(RETRY_AFTER_NS)
}
