//! The guard of a command under a lease, and the last stage before the command.

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

/// Exit code where the lease was not acquired in time.
pub const EXIT_NOT_ACQUIRED: u8 = 75;
/// Exit code where the lease was lost while the command ran.
const EXIT_LOST: u8 = 74;
/// Exit code where the command can't be executed, as shells have it.
const EXIT_NOT_EXECUTABLE: u8 = 127;
/// The command is terminated when this part of the lease duration is left.
const TERMINATE_PART: u64 = 4;
/// The command is killed when this part of the lease duration is left.
const KILL_PART: u64 = 8;
/// How often the command and the lease are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What the guard starts with.
pub struct GuardConfig {
    /// Lease duration.
    pub duration: Nanos,
    /// When the lease expires by [`clock::now`], unless it is renewed.
    pub expires_at: Nanos,
}

/// The exit code of a process, as shells have it.
pub fn exit_code_of(status: ExitStatus) -> u8 {
    match (status.code(), status.signal()) {
        (Some(code), _) => code as u8,
        (None, Some(signal)) => 128u8.wrapping_add(signal as u8),
        (None, None) => 1,
    }
}

/// The guard: runs the command in a process group of its own and ends it before the lease
/// expires. Renewals arrive as lines on its input, each the new time of expiry by
/// [`clock::now`]; the end of the input is the end of the holder.
pub fn guard_main(config: &GuardConfig, command: &[OsString]) -> ExitCode {
    let Ok(program) = std::env::current_exe() else { return ExitCode::FAILURE };
    let child = Command::new(program)
        .args(["lease", "stage", "--guard", &std::process::id().to_string(), "--"])
        .args(command)
        .stdin(Stdio::null())
        .process_group(0)
        .spawn();
    match child {
        Ok(child) => ExitCode::from(guard(child, config, &renewals())),
        Err(error) => {
            eprintln!("mintshelf: the command: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Times of expiry from the input. The channel is closed when the holder is gone.
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

/// Waits for the command, or ends it in time; returns the exit code.
fn guard(mut child: Child, config: &GuardConfig, renewals: &mpsc::Receiver<Nanos>) -> u8 {
    let group = Pid::from_child(&child);
    let mut expires_at = config.expires_at;
    let mut is_terminated = false;
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            // Its children end with it: the lease is released next.
            let _ = kill_process_group(group, Signal::KILL);
            let is_cut_short = is_terminated && !status.success();
            return if is_cut_short { EXIT_LOST } else { exit_code_of(status) };
        }
        let is_holder_gone = match renewals.recv_timeout(CHECK_INTERVAL) {
            Ok(renewed) => {
                expires_at = expires_at.max(renewed);
                false
            }
            Err(mpsc::RecvTimeoutError::Disconnected) => true,
            Err(mpsc::RecvTimeoutError::Timeout) => false,
        };
        let remaining = expires_at.saturating_sub(clock::now());
        if is_holder_gone || remaining < config.duration / KILL_PART {
            let _ = kill_process_group(group, Signal::KILL);
            let _ = child.wait();
            return EXIT_LOST;
        }
        if remaining < config.duration / TERMINATE_PART && !is_terminated {
            is_terminated = true;
            let _ = kill_process_group(group, Signal::TERM);
        }
    }
}

/// The last stage before the command: from here on it dies with its guard.
pub fn stage_main(guard: u32, command: &[OsString]) -> ExitCode {
    let death_signal = set_parent_process_death_signal(Some(Signal::KILL));
    let parent = getppid().map(|pid| pid.as_raw_nonzero().get() as u32);
    if death_signal.is_err() || parent != Some(guard) {
        eprintln!("mintshelf: the command: its guard is gone");
        return ExitCode::from(EXIT_LOST);
    }
    let Some((program, arguments)) = command.split_first() else { return ExitCode::FAILURE };
    let error = Command::new(program).args(arguments).exec();
    eprintln!("mintshelf: {}: {error}", program.to_string_lossy());
    ExitCode::from(EXIT_NOT_EXECUTABLE)
}
