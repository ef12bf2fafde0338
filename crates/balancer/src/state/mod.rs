//! State of a balancer: types that hold what was observed and decide nothing.

mod capacity;
mod estimators;
mod ordered_servers;
mod request;
mod server;
mod server_table;
mod timers;

pub(crate) use estimators::{
    Gains, LatencyModel, OverloadState, ReportFreshness, SpeedMemory, TrafficEstimates,
};
pub(crate) use ordered_servers::OrderedServers;
pub(crate) use request::{Attempt, AttemptEnd, AttemptRecord, LatencySample, ProbeResult, Request};
pub(crate) use server::{ClassOrders, DiscoveryCall, ServerState};
pub(crate) use server_table::ServerTable;
pub(crate) use timers::{Timer, TimerTable};
