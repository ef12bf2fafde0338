//! A soak of the real sidecar between test servers, clients and discovery, determined by a seed:
//! releases in fleets of up to thousands of servers, drains, hanging servers, an outage of discovery,
//! clients that disconnect, many idle ones, signals in series, and a process with a small share of a
//! core.
//!
//! All parts record what they observe. [`oracle`] judges by these records alone, without any code
//! of the program.

mod clients;
pub mod costs;
mod cpu_limit;
mod discovery;
mod environment;
pub mod oracle;
pub mod receive_time;
pub mod records;
mod report;
mod run;
mod scenario;
mod servers;
mod stream;

pub use report::SoakReport;
pub use run::run;
pub use scenario::{Class, Scenario};
