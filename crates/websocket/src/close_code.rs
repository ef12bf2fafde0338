//! Status codes of close frames (RFC 6455 7.4.1, and IANA's registry of WebSocket close codes).

/// The purpose of the socket is fulfilled.
pub const NORMAL: u16 = 1000;
/// The sender goes away.
pub const GOING_AWAY: u16 = 1001;
/// The receiver has violated the protocol.
pub const PROTOCOL: u16 = 1002;
/// Reserved for a close frame without a code. Never sent: for the metrics only.
pub const NO_STATUS: u16 = 1005;
/// Reserved for a broken connection. Never sent: for the metrics only.
pub const ABNORMAL: u16 = 1006;
/// Text that is not UTF-8.
pub const NOT_TEXT: u16 = 1007;
/// The receiver has violated a policy.
pub const POLICY: u16 = 1008;
/// A message is too long.
pub const TOO_LONG: u16 = 1009;
/// An unexpected condition at the server.
pub const UNEXPECTED: u16 = 1011;
/// The service restarts: the client may reconnect.
pub const RESTART: u16 = 1012;
/// The service is overloaded: the client may reconnect later.
pub const TRY_LATER: u16 = 1013;

/// Whether a code may stand in a close frame (RFC 6455 7.4, and those registered since).
pub(crate) fn may_be_sent(code: u16) -> bool {
    matches!(code, 1000..=1003 | 1007..=1014 | 3000..=4999)
}
