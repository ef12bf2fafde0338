//! Shared parts of benches with several processes.

use std::process::Child;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// Runs a future on this thread, with the tasks that it spawns.
pub fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}

/// A child process, ended when the bench is.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Resident memory in KiB.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
        line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

/// Waits until something listens at an address.
pub fn wait_for(at: &str) {
    let started_at = Instant::now();
    while std::net::TcpStream::connect(at).is_err()
        && started_at.elapsed() < Duration::from_secs(20)
    {
        std::thread::sleep(Duration::from_millis(20));
    }
}
