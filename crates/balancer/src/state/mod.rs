//! State of a balancer: types that hold what was observed and decide nothing.

mod estimators;
mod request;
mod server;
mod timers;

pub(crate) use estimators::{
    Gains, LatencyModel, OverloadState, ReportFreshness, SpeedMemory, TrafficEstimates,
};
pub(crate) use request::{
    Attempt, AttemptEnd, AttemptRecord, LatencySample, PermittedActions, ProbeResult, Request,
};
pub(crate) use server::{ClassOrders, DiscoveryCall, ServerState, ServerTable};
pub(crate) use timers::{Timer, TimerTable};
