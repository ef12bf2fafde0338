//! Sec-WebSocket-Key, and the Sec-WebSocket-Accept value computed from it.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use sha1::{Digest, Sha1};

/// Suffix that is appended to the key before the key is hashed into the accept value (RFC 6455
/// 1.3).
const ACCEPT_GUID: &[u8] = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
/// Length of a decoded key in bytes (RFC 6455 4.1).
pub(super) const KEY_BYTES: usize = 16;

/// Encodes a nonce as a key.
pub(super) fn encode_key(nonce: [u8; KEY_BYTES]) -> String {
    STANDARD.encode(nonce)
}

/// Returns whether a header value is the base64 encoding of 16 bytes.
pub(super) fn is_valid_key(key: &[u8]) -> bool {
    STANDARD.decode(key).is_ok_and(|decoded| decoded.len() == KEY_BYTES)
}

/// Returns the accept value for a key (RFC 6455 4.2.2).
pub(super) fn accept_for(key: &[u8]) -> String {
    let mut hash = Sha1::new();
    hash.update(key);
    hash.update(ACCEPT_GUID);
    STANDARD.encode(hash.finalize())
}
