//! WebSocket connections through the daemon: memory of idle ones, messages compared with a minimal
//! TCP relay, and the failure of a server with a thousand open:
//! `cargo bench -p mintshelf --bench sockets`. Every ratio has its baseline in the same run. Prints
//! its tables.

#[path = "../common/mod.rs"]
mod common;
mod deployment;
mod failures;
mod io;
mod memory;
mod messages;
mod servers;

use common::block_on;
use failures::failures;
use memory::memory;
use messages::messages;
use servers::{relay, server};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
/// Environment variable that makes this program a server or the relay.
const ROLE: &str = "MINTSHELF_BENCH_ROLE";
const SERVERS: [&str; 3] = ["127.0.93.1:19301", "127.0.93.1:19302", "127.0.93.1:19303"];
const RELAY: &str = "127.0.93.1:19310";
const DAEMON: &str = "127.0.93.1:19311";
const ADMIN: &str = "127.0.93.1:19312";
const ROUND_DURATION: Duration = Duration::from_secs(3);

type BenchError = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), BenchError> {
    let at = std::env::args().nth(1).unwrap_or_default();
    match std::env::var(ROLE).as_deref() {
        Ok("server") => return block_on(server(&at)),
        Ok("relay") => return block_on(relay()),
        _ => {}
    }
    let only = |name: &str| at == name || !["memory", "messages", "deaths"].contains(&at.as_str());
    if only("memory") {
        memory()?;
    }
    if only("messages") {
        messages()?;
    }
    if only("deaths") {
        failures()?;
    }
    Ok(())
}
