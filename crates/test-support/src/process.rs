//! Readings of a process from `/proc`, and signals to it.

use std::process::{Child, Command};
use std::time::Duration;

/// A running process that tests observe and signal.
pub trait Process {
    /// Returns the id of the process.
    fn pid(&self) -> u32;

    /// Sends a signal by its name, as in `TERM`.
    ///
    /// # Panics
    /// `kill` fails.
    fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// CPU time that the process has used, as long as it has one thread.
    ///
    /// # Panics
    /// The process has ended.
    fn cpu_time(&self) -> Duration {
        let schedstat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid())).unwrap();
        Duration::from_nanos(schedstat.split(' ').next().unwrap().parse().unwrap())
    }

    /// Number of open file descriptors.
    ///
    /// # Panics
    /// The process has ended.
    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap().count()
    }

    /// The number in the line of `/proc/PID/status` that begins with `field`.
    ///
    /// # Panics
    /// The process has ended, or there is no such number.
    fn status(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find(|line| line.starts_with(field)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// A field of `/proc/PID/status` that is a size, in bytes.
    ///
    /// # Panics
    /// As [`Process::status`].
    fn memory(&self, field: &str) -> usize {
        self.status(field) << 10
    }

    /// Peak resident memory in bytes.
    ///
    /// # Panics
    /// As [`Process::status`].
    fn peak_memory(&self) -> usize {
        self.memory("VmHWM:")
    }
}

/// Kills a child process and reaps it.
pub(crate) fn kill(child: &mut Child) {
    // It may have ended by itself.
    let _ = child.kill();
    let _ = child.wait();
}
