//! The memory limit of the process, under crowds of clients and servers that answer slowly.

mod after_traffic;
mod crowds;
mod limits;
mod one_crowd;
mod play;
mod proxies;
mod seeded;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
