//! Status codes of close frames (RFC 6455 7.4.1 and the IANA registry of WebSocket close codes).

/// The connection ended normally: its purpose is fulfilled.
pub const NORMAL_CLOSURE: u16 = 1000;
/// The sender of the close frame is going away, as in a shutdown.
pub const GOING_AWAY: u16 = 1001;
/// The receiver of the close frame violated the protocol.
pub const PROTOCOL_ERROR: u16 = 1002;
/// Reserved for a close frame without a code. Never sent, only reported in metrics.
pub const NO_STATUS_RECEIVED: u16 = 1005;
/// Reserved for a connection that ended without a close frame. Never sent, only reported in
/// metrics.
pub const ABNORMAL_CLOSURE: u16 = 1006;
/// The receiver of the close frame sent text that is not valid UTF-8.
pub const INVALID_PAYLOAD: u16 = 1007;
/// The receiver of the close frame violated a policy.
pub const POLICY_VIOLATION: u16 = 1008;
/// The receiver of the close frame sent a message that exceeds the size limit.
pub const MESSAGE_TOO_BIG: u16 = 1009;
/// The server encountered an unexpected condition.
pub const INTERNAL_ERROR: u16 = 1011;
/// The service is restarting, and the client may reconnect.
pub const SERVICE_RESTART: u16 = 1012;
/// The service is overloaded, and the client may reconnect later.
pub const TRY_AGAIN_LATER: u16 = 1013;

/// Returns whether a code may appear in a close frame (RFC 6455 7.4 and later registrations).
pub(crate) fn is_sendable(code: u16) -> bool {
    matches!(code, 1000..=1003 | 1007..=1014 | 3000..=4999)
}
