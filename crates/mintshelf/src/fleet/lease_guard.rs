//! The guard process of a command that runs under a lease, and the stage process that executes the
//! command.

use crate::exit_code::{
    EXIT_LEASE_LOST, EXIT_NOT_EXECUTABLE, EXIT_SIGNAL_BASE, EXIT_UNKNOWN_STATUS,
};
use mintshelf_consensus_node::clock;
use mintshelf_time::Nanos;
use rustix::process::{getppid, kill_process_group, set_parent_process_death_signal, Pid, Signal};
use std::ffi::OsString;
use std::io::BufRead;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{Child, Command, ExitCode, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// SIGTERM is sent when the lease duration divided by this number remains.
const TERMINATE_DIVISOR: u64 = 4;
/// SIGKILL is sent when the lease duration divided by this number remains.
const KILL_DIVISOR: u64 = 8;
/// Interval of the checks of the command and the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The initial state of the lease, which the guard gets as arguments.
pub struct GuardConfig {
    /// Time from a renewal of the lease until it expires, in nanoseconds.
    pub duration: Nanos,
    /// Time by [`clock::now`] when the lease expires unless it is renewed.
    pub expires_at: Nanos,
}

/// Returns the exit code of a process as shells report it.
pub fn exit_code_of(status: ExitStatus) -> u8 {
    match (status.code(), status.signal()) {
        (Some(code), _) => u8::try_from(code).unwrap_or(EXIT_UNKNOWN_STATUS),
        (None, Some(signal)) => {
            u8::try_from(signal).map_or(EXIT_UNKNOWN_STATUS, |signal| EXIT_SIGNAL_BASE + signal)
        }
        (None, None) => EXIT_UNKNOWN_STATUS,
    }
}

/// Runs the guard process, which starts the command in its own process group and ends it before the
/// lease expires. Each renewal is a line on standard input with the new expiry time by
/// [`clock::now`]. The end of the input means that the holder process has ended.
pub fn guard_main(config: &GuardConfig, command: &[OsString]) -> ExitCode {
    let Ok(program) = std::env::current_exe() else { return ExitCode::FAILURE };
    let child = Command::new(program)
        .args(["lease", "stage", "--guard", &std::process::id().to_string(), "--"])
        .args(command)
        .stdin(Stdio::null())
        .process_group(0)
        .spawn();
    match child {
        Ok(child) => ExitCode::from(Guard::new(child, config).run(&renewals())),
        Err(error) => {
            eprintln!("mintshelf: can't start the command: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads expiry times from standard input in a thread of its own. The channel is closed when the
/// holder process has ended.
fn renewals() -> mpsc::Receiver<Nanos> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            let Some(expires_at) = line.ok().and_then(|line| line.trim().parse().ok()) else {
                return;
            };
            if sender.send(expires_at).is_err() {
                return;
            }
        }
    });
    receiver
}

/// A command that runs in its own process group, and the lease under which it runs.
struct Guard {
    child: Child,
    group: Pid,
    /// Time from a renewal of the lease until it expires, in nanoseconds.
    duration: Nanos,
    /// Time by [`clock::now`] when the lease expires.
    expires_at: Nanos,
    /// Whether SIGTERM was sent to the command.
    has_sent_sigterm: bool,
}

impl Guard {
    fn new(child: Child, config: &GuardConfig) -> Self {
        let GuardConfig { duration, expires_at } = *config;
        let group = Pid::from_child(&child);
        Guard { child, group, duration, expires_at, has_sent_sigterm: false }
    }

    /// Waits for the command and ends it before the lease expires. Returns the exit code.
    fn run(mut self, renewals: &mpsc::Receiver<Nanos>) -> u8 {
        loop {
            if let Some(exit_code) = self.exit_code() {
                return exit_code;
            }
            let is_holder_alive = self.receive_renewal(renewals);
            let remaining = self.expires_at.saturating_sub(clock::now());
            if !is_holder_alive || remaining < self.duration / KILL_DIVISOR {
                self.kill();
                return EXIT_LEASE_LOST;
            }
            if remaining < self.duration / TERMINATE_DIVISOR && !self.has_sent_sigterm {
                self.has_sent_sigterm = true;
                self.signal_group(Signal::TERM);
            }
        }
    }

    /// Returns the exit code if the command has ended.
    fn exit_code(&mut self) -> Option<u8> {
        let status = self.child.try_wait().ok().flatten()?;
        // Ends the children of the command, since the lease is released next.
        self.signal_group(Signal::KILL);
        let ended_by_guard = self.has_sent_sigterm && !status.success();
        Some(if ended_by_guard { EXIT_LEASE_LOST } else { exit_code_of(status) })
    }

    /// Waits for a renewal for [`CHECK_INTERVAL`] at most. Returns whether the holder is alive.
    fn receive_renewal(&mut self, renewals: &mpsc::Receiver<Nanos>) -> bool {
        match renewals.recv_timeout(CHECK_INTERVAL) {
            Ok(renewed) => {
                self.expires_at = self.expires_at.max(renewed);
                true
            }
            Err(mpsc::RecvTimeoutError::Timeout) => true,
            Err(mpsc::RecvTimeoutError::Disconnected) => false,
        }
    }

    fn kill(&mut self) {
        self.signal_group(Signal::KILL);
        // The status is ignored: the guard exits with the code of a lost lease in any case.
        self.child.wait().ok();
    }

    /// Sends a signal to the command and its children. Fails only if all have ended, so the error
    /// is ignored.
    fn signal_group(&self, signal: Signal) {
        kill_process_group(self.group, signal).ok();
    }
}

/// Runs the stage process, which executes the command in its place. The kernel kills it when the
/// guard ends.
pub fn stage_main(guard: u32, command: &[OsString]) -> ExitCode {
    let death_signal = set_parent_process_death_signal(Some(Signal::KILL));
    let parent = getppid().and_then(|pid| u32::try_from(pid.as_raw_nonzero().get()).ok());
    // If the guard has ended already, nothing would end the command before the lease expires.
    if death_signal.is_err() || parent != Some(guard) {
        eprintln!("mintshelf: the command is not run: its guard process has ended");
        return ExitCode::from(EXIT_LEASE_LOST);
    }
    let Some((program, arguments)) = command.split_first() else { return ExitCode::FAILURE };
    let error = Command::new(program).args(arguments).exec();
    eprintln!("mintshelf: {}: {error}", program.to_string_lossy());
    ExitCode::from(EXIT_NOT_EXECUTABLE)
}
