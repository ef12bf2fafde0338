//! Which route a request takes, and which cluster of that route. No I/O.
//!
//! Precedence is that of the Gateway API's HTTPRoute (see [`rank`]); the table finds the winner
//! by look-ups, so its cost goes by the request's own parts and not by the number of routes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod pattern;
pub mod rank;
pub mod split;
pub mod table;

pub use pattern::{Failure, Host, PathMatch, Pattern, Probe, Rule, Test, Value};
pub use split::Split;
pub use table::Table;
