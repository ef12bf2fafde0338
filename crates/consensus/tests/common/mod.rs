//! Voters and contenders in virtual time, with clocks that run apart and faults between them.
#![allow(dead_code)]

pub mod checker;
pub mod world;
