//! Endpoint discovery without I/O: which endpoint lists to accept, and the timeouts of polls.
//!
//! The caller makes the calls and reads the clock. A point in time is a
//! [`std::time::Duration`] since a fixed origin of the caller's choice.
//!
//! ```
//! use mintshelf_discovery::watch::{CallOutcome, NextCall, WatchState};
//!
//! let mut watch = WatchState::default();
//! let first_poll = watch.poll_timeout();
//! assert_eq!(watch.on_call_end(CallOutcome::Completed), NextCall::Continue);
//! assert!(watch.poll_timeout() > first_poll, "polls of an established watch may wait longer");
//! assert_eq!(watch.on_call_end(CallOutcome::TimedOut), NextCall::Reconnect);
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod revision;
pub mod watch;
