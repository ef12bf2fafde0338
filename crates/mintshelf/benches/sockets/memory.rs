//! Memory of idle sockets.

use super::common::block_on;
use super::deployment::{open, start};
use super::{BenchError, DAEMON};
use std::time::Duration;
use tokio::time::sleep;

/// Numbers of sockets: each of the three processes has up to two descriptors a socket, and 20,000 is a
/// common limit.
const SOCKET_COUNTS: [usize; 2] = [1_000, 9_500];

pub fn memory() -> Result<(), BenchError> {
    println!("\nidle sockets through one daemon, both sides together, kernel aside");
    println!("{:>10} {:>14} {:>16}", "sockets", "RSS KiB", "KiB a socket");
    let deployment = start("memory", "", "true")?;
    block_on(async {
        let mut open_sockets = vec![open(DAEMON).await?];
        sleep(Duration::from_secs(1)).await;
        let before = deployment.daemon.memory() as f64;
        println!("{:>10} {before:>14.0} {:>16}", open_sockets.len(), "-");
        for count in SOCKET_COUNTS {
            while open_sockets.len() < count {
                open_sockets.push(open(DAEMON).await?);
            }
            sleep(Duration::from_secs(2)).await;
            let now = deployment.daemon.memory() as f64;
            println!("{count:>10} {now:>14.0} {:>16.2}", (now - before) / count as f64);
        }
        Ok(())
    })
}
