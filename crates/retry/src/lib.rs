//! Attempts of one request over time: when each may start and end, checked against the rules
//! ([`schedule`]), which time-out or hedge comes next ([`attempts`]), how long answers take
//! ([`latency_window`]), and which deadlines hold during a graceful shutdown ([`shutdown`]).
//!
//! No I/O: time is an argument, in nanoseconds on the caller's clock.
#![forbid(unsafe_code)]

pub mod attempts;
pub mod latency_window;
pub mod schedule;
pub mod shutdown;
