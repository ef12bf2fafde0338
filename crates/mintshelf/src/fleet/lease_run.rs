//! `mintshelf lease run`: runs a command while a lease is held, and ends it before the lease
//! expires.
//!
//! Three processes take part. The holder acquires and renews the lease. The guard
//! ([`super::lease_guard`]) ends the command's process group before the last renewal that it was
//! notified of expires, or when the holder has ended. The command is killed when the guard ends.
//! So the command does not outlive its lease if the holder is stopped or killed, or if the guard is
//! killed.

use super::error::CommandError;
use super::lease_guard::exit_code_of;
use super::query::{command_owner, load_fleet, replica_addresses};
use crate::exit_code::EXIT_LEASE_NOT_ACQUIRED;
use crate::runtime::current_thread_runtime;
use mintshelf_config::model::FleetConfig;
use mintshelf_consensus_node::lease_keeper::{keep_lease, LeaseRequest, LeaseStatus};
use mintshelf_lease::client::{ActiveGrant, LeaseConfig};
use mintshelf_lease::command::{Owner, Rejection, DURATION_MAX};
use mintshelf_time::{from_duration, Nanos, SECOND};
use std::ffi::OsString;
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, ExitCode, Stdio};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

/// Minimum lease duration. With a shorter one, a command might not be ended in time on a busy
/// machine.
const DURATION_MIN: Nanos = SECOND;
/// Minimum time to wait for a lease, since a response takes time even if the lease is free.
const ACQUIRE_TIMEOUT_MIN: Duration = Duration::from_secs(3);
/// Maximum time that the release of the lease may take.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the checks of the guard and the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The options of `mintshelf lease run`.
pub struct RunOptions {
    /// Name of the lease.
    pub lease: String,
    /// Maximum time to wait until the lease is free; zero to fail at once if it is held.
    pub wait: Duration,
    /// Time from a renewal of the lease until it expires; `None` for the duration in the operator's
    /// file.
    pub duration: Option<Duration>,
    /// The command and its arguments.
    pub command: Vec<OsString>,
}

/// A command and the lease under which it runs.
struct GuardedCommand {
    lease: String,
    duration: Nanos,
    wait: Duration,
    command: Vec<OsString>,
}

/// Runs a command under a lease and returns the exit code.
///
/// # Errors
/// Returns an error if the options are invalid or the guard can't be started.
pub fn run(config: &Path, options: RunOptions) -> Result<ExitCode, CommandError> {
    let fleet = load_fleet(config)?;
    let RunOptions { lease, wait, duration, command } = options;
    let duration = duration.map_or(fleet.timing.lease_duration, from_duration);
    if !(DURATION_MIN..=DURATION_MAX).contains(&duration) {
        return Err(CommandError::InvalidDuration);
    }
    let guarded = GuardedCommand { lease, duration, wait, command };
    let runtime = current_thread_runtime().map_err(CommandError::Runtime)?;
    runtime.block_on(run_under_lease(&fleet, guarded)).map(ExitCode::from)
}

/// Returns the owner of the lease. The process id makes concurrent runs different members.
fn run_owner(fleet: &FleetConfig) -> Owner {
    let owner = command_owner(fleet);
    let member = format!("{}#{}", owner.member, std::process::id());
    Owner { member, ..owner }
}

async fn run_under_lease(fleet: &FleetConfig, guarded: GuardedCommand) -> Result<u8, CommandError> {
    let request = LeaseRequest {
        fleet: fleet.fleet.clone(),
        replicas: replica_addresses(fleet),
        config: LeaseConfig {
            lease: guarded.lease.clone(),
            owner: run_owner(fleet),
            duration: guarded.duration,
            clock_error: fleet.timing.clock_error,
            wait: !guarded.wait.is_zero(),
        },
    };
    let (publisher, mut status) = watch::channel(LeaseStatus::default());
    let (stop, stopped) = oneshot::channel::<()>();
    // Dropping the sender stops the keeper, which releases the lease.
    let keeper = tokio::spawn(keep_lease(request, publisher, async { drop(stopped.await) }));
    let acquire_timeout = guarded.wait.max(ACQUIRE_TIMEOUT_MIN);
    let outcome = timeout(acquire_timeout, wait_for_outcome(&mut status)).await.unwrap_or_default();
    let exit_code = if let Some(grant) = outcome.grant {
        let mut guard = spawn_guard(&guarded, grant)?;
        watch_guard(&mut guard, &mut status, grant).await
    } else {
        print_not_acquired(&guarded.lease, outcome.rejection);
        Ok(EXIT_LEASE_NOT_ACQUIRED)
    };
    // The lease is released only after the command and its process group have ended.
    drop(stop);
    // If the release takes longer, the lease expires by itself.
    timeout(RELEASE_TIMEOUT, keeper).await.ok();
    exit_code
}

fn print_not_acquired(lease: &str, rejection: Option<Rejection>) {
    let reason = rejection.map_or("not acquired in time".into(), |rejection| rejection.to_string());
    eprintln!("mintshelf: lease '{lease}': {reason}");
}

/// Waits until the lease is granted or rejected.
async fn wait_for_outcome(status: &mut watch::Receiver<LeaseStatus>) -> LeaseStatus {
    loop {
        let current = *status.borrow_and_update();
        let is_decided = current.grant.is_some() || current.rejection.is_some();
        if is_decided || status.changed().await.is_err() {
            return current;
        }
    }
}

/// Starts the guard, which starts the command.
fn spawn_guard(guarded: &GuardedCommand, grant: ActiveGrant) -> Result<Child, CommandError> {
    let program = std::env::current_exe().map_err(CommandError::CurrentExecutable)?;
    let mut guard = Command::new(program)
        .args(["lease", "guard", "--span-ns", &guarded.duration.to_string()])
        .args(["--until-ns", &grant.expires_at.to_string(), "--"])
        .args(&guarded.command)
        .env("MINTSHELF_LEASE_TOKEN", grant.token.to_string())
        .stdin(Stdio::piped())
        // The guard gets its own process group, so that a signal to the holder's group does not end
        // it.
        .process_group(0)
        .spawn()
        .map_err(CommandError::Guard)?;
    if guard.stdin.is_none() {
        // If the guard can't be killed, it ends the command and itself before the lease expires.
        guard.kill().ok();
        return Err(CommandError::GuardStdin);
    }
    Ok(guard)
}

/// Notifies the guard of each renewal until the command has ended. Returns its exit code.
async fn watch_guard(
    guard: &mut Child,
    status: &mut watch::Receiver<LeaseStatus>,
    mut grant: ActiveGrant,
) -> Result<u8, CommandError> {
    let mut guard_stdin: Option<ChildStdin> = guard.stdin.take();
    loop {
        if let Some(exit_status) = guard.try_wait().map_err(CommandError::GuardStatus)? {
            return Ok(exit_code_of(exit_status));
        }
        match status.borrow_and_update().grant {
            // Another process may have held the lease between the two grants, so the command is
            // ended.
            Some(current) if current.token != grant.token => guard_stdin = None,
            Some(current) if current.expires_at > grant.expires_at => {
                grant = current;
                let sent =
                    guard_stdin.as_mut().map(|input| writeln!(input, "{}", grant.expires_at));
                if !matches!(sent, Some(Ok(()))) {
                    guard_stdin = None;
                }
            }
            _ => {}
        }
        sleep(CHECK_INTERVAL).await;
    }
}
