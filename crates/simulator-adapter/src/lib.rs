//! Runs balancers on the simulator's line protocol.
//!
//! [`host::Host`] reads the lines of a batch and returns the reply; [`wire`] parses lines into
//! events and writes actions. All decisions are made by the balancers.
//!
//! ```
//! use mintshelf_simulator_adapter::host::Host;
//!
//! let mut host = Host::default();
//! assert!(!host.read_line("clock 5")?);
//! assert!(host.read_line("your_turn")?);
//! assert_eq!(host.take_reply(), "done\n");
//! host.finish()?;
//! # Ok::<(), mintshelf_simulator_adapter::wire::WireError>(())
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod host;
pub mod wire;
