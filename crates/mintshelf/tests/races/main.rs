//! Two events at one moment, each forced: by a process that is stopped, a connection that is not
//! accepted, a response that is held back. `docs/design/race-conditions.md` has the table.

mod attempts;
mod client_disconnects;
mod closes;
mod discovery;
mod fixture;
mod remaining_time;
mod unusual_settings;
