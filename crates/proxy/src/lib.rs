//! Sockets: events into the decision module, actions out of it. No decisions here.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod body;
pub mod clients;
pub mod clock;
pub mod discovery;
pub mod driver;
pub mod edits;
pub mod endpoints;
pub mod front;
pub mod gates;
pub mod inbound;
pub mod limits;
pub mod link;
pub mod message;
pub mod notes;
pub mod open;
pub mod peers;
pub mod plain;
pub mod platform;
pub mod probe;
pub mod refusal;
pub mod scan;
pub mod seat;
pub mod socket;
mod socket_connector;
pub mod stream;
pub mod trying;
pub mod upstream;
pub mod websocket;
pub mod weights;
