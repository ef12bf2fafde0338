//! Sockets: events into the decision module, actions out of it. No decisions here.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
pub mod discovery;
pub mod driver;
pub mod endpoints;
pub mod inbound;
pub mod limits;
pub mod message;
pub mod peers;
pub mod probe;
pub mod socket;
pub mod upstream;
