//! What is allowed of requests and their attempts, and how much at once: the schedule of a
//! request's attempts and its check against the rules, time-outs reasoned from answers, second
//! copies, rates, concurrency, bounded queues, tenants.
//!
//! No I/O: time is an argument, in nanoseconds on the caller's clock. The decision module is
//! the second line: what this package lets through it still judges.
#![forbid(unsafe_code)]

pub mod admission;
pub mod answers;
pub mod ending;
pub mod gate;
pub mod rate;
pub mod schedule;
pub mod seats;
pub mod tenants;
pub mod tries;
