//! WebSocket through the real program, with an independent implementation at both ends.
#![allow(
    clippy::result_large_err,
    reason = "the errors of the implementation at both ends are large"
)]

mod echo_server;
mod fixture;
mod handshakes;
mod limits;
mod peak_metric;
mod protocol_errors;
mod raw_client;
mod sessions;
mod steady_client;
