//! Budgets of the whole fleet: how many requests at once, or how many a second, all sidecars
//! together may have at a tenant, a route, a cluster or an endpoint, divided among them by need.
//!
//! No I/O and no clock; time is an argument. A member's **share** is a part of the whole with a
//! span. All members together never use more than the whole, whoever is cut off, stopped, killed
//! or started again, and whichever voter leads:
//!
//! - what was promised counts as used until its holder has confirmed that it uses no more, or
//!   until its span is over ([`ledger::Ledger`], agreed, without a clock);
//! - a holder counts its span from before it asked ([`client::ShareHolder`]), the leader from
//!   after the promise was agreed, plus the clocks' error and the time for which a unit that was
//!   taken at the last moment may still be in use ([`collector::Clerk`]); a new leader counts anew;
//! - a member that hears nothing is left with its **floor**, which needs no agreement: floors
//!   times the most members are set aside of the whole ([`config::Budget::check`]);
//! - one entry of the log a beat carries the questions of all members ([`ledger::Beat`]).
//!
//! Requests never ask: whoever admits them reads [`client::ShareHolder::limit`], or a
//! [`token_bucket::Bucket`] that is told of it.
//!
//! `docs/shares-design.md` has the reasons, what was weighed and what is proved.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod collector;
pub mod config;
pub mod divide;
pub mod ledger;
pub mod session;
pub mod state_machine;
pub mod token_bucket;
pub mod usage;
