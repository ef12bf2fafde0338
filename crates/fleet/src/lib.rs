//! What the fleet does once: an agreed log among a few voters, and leases on top of it.
//!
//! No I/O and no clock: time is an argument, messages and writes are handed out, and whoever
//! drives a [`voter::Voter`] sends and stores them. Two holders of one lease never act at once:
//!
//! - a holder counts its span from before it asked, on its own steady clock, less the stated
//!   error of clocks ([`holder::Holder`]);
//! - the leader lets a lease end only when its own steady clock has counted the span, plus that
//!   error, from after the voters agreed on the last renewal ([`grantor::Grantor`]); a new leader
//!   counts every span anew;
//! - the end itself goes through the log and names the renewal it is about, so that a renewal
//!   agreed before it makes it void ([`lease::Leases`]);
//! - each grant has a fencing token that only grows; who is acted upon refuses lower ones
//!   ([`fence::Fence`]).
//!
//! `docs/fleet-design.md` has the reasons and what was weighed.

#![forbid(unsafe_code)]

pub mod fence;
pub mod grantor;
pub mod holder;
pub mod lease;
mod log;
pub mod machine;
pub mod span;
pub mod voter;
