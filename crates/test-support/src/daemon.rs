//! The program as a daemon with an operator's file.

use crate::client::send_request;
use crate::message::Message;
use crate::process::{kill, Process};
use crate::wait::wait_until;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

/// Log event of a daemon whose listeners are open.
const LISTENING: &str = "listening";
/// Log event of a reload that was applied.
pub const CONFIGURATION_APPLIED: &str = "configuration applied";
/// Log event of a reload that changed nothing.
pub const CONFIGURATION_REJECTED: &str = "configuration rejected";

/// A daemon; dropping it kills the process and removes its file.
pub struct Daemon {
    /// The address of its first listener.
    pub address: SocketAddr,
    /// The running process of the daemon.
    pub child: Child,
    /// Path of the operator's file.
    pub file: PathBuf,
    log: Arc<Mutex<String>>,
}

impl Process for Daemon {
    fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Daemon {
    /// Starts the program at this path with an operator's file and further arguments, and waits
    /// until it listens. The file's first listener has the address `at`.
    ///
    /// # Panics
    /// The program does not start or does not listen in time.
    #[must_use]
    pub fn start(program: &str, address: SocketAddr, text: &str, arguments: &[&str]) -> Self {
        let name = address.to_string().replace(':', "-");
        let file = std::env::temp_dir().join(format!("mintshelf-{name}.toml"));
        std::fs::write(&file, text).unwrap();
        let mut child = spawn(program, &file, arguments);
        let log = collect_log(&mut child);
        let daemon = Daemon { address, child, file, log };
        wait_until("the daemon listens", || daemon.log_output().contains(LISTENING));
        daemon
    }

    /// What the daemon has written to standard error so far.
    ///
    /// # Panics
    /// The thread that reads it panicked.
    #[must_use]
    pub fn log_output(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Replaces the file, sends SIGHUP and waits until the log shows the result.
    ///
    /// # Panics
    /// No result shows in time.
    pub fn reload(&self, text: &str) {
        let before = self.reloads();
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
        wait_until("the file is read again", || self.reloads() > before);
    }

    /// Number of reloads that were applied or rejected.
    fn reloads(&self) -> usize {
        let log = self.log_output();
        log.matches(CONFIGURATION_APPLIED).count() + log.matches(CONFIGURATION_REJECTED).count()
    }

    /// Sends a request on a new connection; its response, or none if the connection closes.
    ///
    /// # Panics
    /// As [`send_request`].
    #[must_use]
    pub fn send_request(&self, request: &[u8]) -> Option<Message> {
        send_request(self.address, request)
    }
}

fn spawn(program: &str, file: &Path, arguments: &[&str]) -> Child {
    let mut command = Command::new(program);
    command.arg("run").arg("--config").arg(file).args(arguments).stderr(Stdio::piped());
    command.spawn().unwrap()
}

/// Collects a child's standard error on a thread, to its end.
fn collect_log(child: &mut Child) -> Arc<Mutex<String>> {
    let log = Arc::new(Mutex::new(String::new()));
    let collected = log.clone();
    let mut stderr = child.stderr.take().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = stderr.read(&mut buffer) {
            collected.lock().unwrap().push_str(&String::from_utf8_lossy(&buffer[..count]));
        }
    });
    log
}

impl Drop for Daemon {
    fn drop(&mut self) {
        kill(&mut self.child);
        let _ = std::fs::remove_file(&self.file);
    }
}
