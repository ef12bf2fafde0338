//! The WebSocket protocol (RFC 6455) for a proxy: opening handshakes, forwarding of frames,
//! timeouts, the closing handshake, and the migration of sockets between servers.
//!
//! The crate does no I/O and reads no clock. Its input is bytes and times; its output is bytes and
//! actions. All times are nanoseconds of one clock, which the caller reads.
//!
//! ```
//! use mintshelf_websocket::peer::Peer;
//! use mintshelf_websocket::session::{Session, SessionConfig};
//! use mintshelf_websocket::timers::TimerConfig;
//! use std::rc::Rc;
//!
//! let timers = TimerConfig {
//!     idle_timeout_ns: 300_000_000_000,
//!     max_lifetime_ns: 3_600_000_000_000,
//!     ping_interval_ns: 30_000_000_000,
//!     pong_timeout_ns: 10_000_000_000,
//!     write_stall_timeout_ns: 10_000_000_000,
//!     message_timeout_ns: 60_000_000_000,
//!     close_timeout_ns: 5_000_000_000,
//! };
//! let config =
//!     SessionConfig { timers, max_message_bytes: 1 << 20, buffer_bytes: 64 << 10, resume: None };
//! let mut session = Session::new(Rc::new(config), false, 7, 0);
//!
//! // A text frame from the server is forwarded to the client unchanged.
//! let frame = [0x81, 2, b'h', b'i'];
//! session.receive(Peer::Server, &frame, 1_000);
//! assert_eq!(session.pending_output(Peer::Client), frame);
//! session.record_written(Peer::Client, frame.len(), 2_000);
//! assert_eq!(session.buffered_bytes(), 0);
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod close;
pub mod close_code;
pub mod control;
pub mod frame;
pub mod handshake;
mod header;
pub mod migration;
pub mod peer;
pub mod session;
pub mod timers;
pub mod violation;
