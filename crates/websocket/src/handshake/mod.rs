//! Opening handshakes with clients and servers (RFC 9110 7.8, RFC 6455 4).

mod client;
mod error;
mod fields;
mod key;
mod policy;
mod server;

pub use client::ClientHandshake;
pub use error::{HandshakeError, HandshakeResponseError};
pub use fields::is_upgrade_request;
pub use policy::HandshakePolicy;
pub use server::{HandshakeRequest, NegotiatedTerms};
