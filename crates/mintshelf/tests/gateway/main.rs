//! Ordinary HTTP/1.1 through the daemon.

mod disconnects;
mod failures;
mod fixture;
mod forwarding;
mod request_smuggling;
mod routes;
mod streaming;
