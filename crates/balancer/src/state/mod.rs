//! State without decisions: the tables of servers and timers, and the records of requests.

mod capacity;
mod ordered_servers;
mod request;
mod server;
mod server_index;
mod server_table;
mod timers;

pub(crate) use ordered_servers::OrderedServers;
pub(crate) use request::{AttemptRecord, Request};
pub(crate) use server::ServerState;
pub(crate) use server_index::ServerIndex;
pub(crate) use server_table::ServerTable;
pub(crate) use timers::{Timer, TimerTable};
