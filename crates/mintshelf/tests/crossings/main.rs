//! Two events at one moment, at the real program between stand-ins: each crossing is forced, by
//! a process that is stopped, a connection that is not accepted, an answer that is held.
//! `docs/crossings.md` has the table.

mod attempts;
mod clients;
mod closes;
mod customers;
mod discovery;
mod stage;
