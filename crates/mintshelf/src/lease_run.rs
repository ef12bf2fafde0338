//! `mintshelf lease run`: a command that runs while a lease is held, and not after.
//!
//! Three processes: the holder asks for the lease and renews it; the guard beside it ends the
//! command's process group when the last renewal that it heard of runs out, or when the holder is
//! gone; the command dies with the guard. So a holder that is stopped or killed leaves no command
//! behind, and neither does a guard.

use mintshelf_config::model::FleetConfig;
use mintshelf_consensus_node::client::{hold, Standing, Want};
use mintshelf_consensus_node::clock;
use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::{Nanos, MS};
use rustix::process::{getppid, kill_process_group, set_parent_process_death_signal, Pid, Signal};
use std::ffi::OsString;
use std::io::{BufRead, Write};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{Child, ChildStdin, Command, ExitCode, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

/// Exit codes: the lease was not got in time; it was lost while the command ran.
const NOT_GOT: u8 = 75;
const LOST: u8 = 74;
/// Parts of the span before its end at which the command is asked to end, and is ended.
const ASK_BEFORE: u64 = 4;
const END_BEFORE: u64 = 8;
/// How often the command and the lease are looked at.
const LOOK: Duration = Duration::from_millis(20);

/// What is run, and for how long its lease is waited for.
pub struct Task {
    /// The lease.
    pub lease: String,
    /// What a renewal counts for.
    pub span: Nanos,
    /// How long to wait for the lease.
    pub wait: Duration,
    /// The command and its arguments.
    pub command: Vec<OsString>,
}

/// Holds a lease and runs the command under it; the exit code.
///
/// # Errors
/// The guard can't be started.
pub async fn run(fleet: &FleetConfig, owner: Owner, task: Task) -> Result<u8, String> {
    let want = Want {
        fleet: fleet.fleet.clone(),
        voters: fleet.voters.iter().map(|voter| voter.address).collect(),
        owner,
        lease: task.lease.clone(),
        span: task.span,
        error: fleet.timing.clock_error,
        wait: !task.wait.is_zero(),
    };
    let (said, mut standing) = watch::channel(Standing::default());
    let (stop, stopped) = oneshot::channel::<()>();
    let holding = tokio::spawn(hold(want, said, async { drop(stopped.await) }));
    // Even without a queue an answer takes its time.
    let patience = task.wait.max(Duration::from_secs(3));
    let got = async {
        loop {
            let now = *standing.borrow_and_update();
            if now.held.is_some() || now.refused.is_some() || standing.changed().await.is_err() {
                return now;
            }
        }
    };
    let got = timeout(patience, got).await.unwrap_or_default();
    let code = match got.held {
        Some((token, until)) => {
            let mut guard = guard(&task, token, until)?;
            attend(&mut guard, &mut standing, token, until).await
        }
        None => {
            let why = got.refused.map_or("not got in time".into(), |refusal| refusal.to_string());
            eprintln!("mintshelf: lease '{}': {why}", task.lease);
            Ok(NOT_GOT)
        }
    };
    // Given back only now: the command and its group are over.
    drop(stop);
    let _ = timeout(Duration::from_secs(2), holding).await;
    code
}

/// Starts the guard, which starts the command.
fn guard(task: &Task, token: u64, until: Nanos) -> Result<Child, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut guard = Command::new(own)
        .args(["lease", "guard", "--span-ns", &task.span.to_string()])
        .args(["--until-ns", &until.to_string(), "--"])
        .args(&task.command)
        .env("MINTSHELF_LEASE_TOKEN", token.to_string())
        .stdin(Stdio::piped())
        // A signal for the holder's group must not end the guard first.
        .process_group(0)
        .spawn()
        .map_err(|error| format!("the guard: {error}"))?;
    if guard.stdin.is_none() {
        let _ = guard.kill();
        return Err("the guard: no way to tell it".into());
    }
    Ok(guard)
}

/// Tells the guard of each renewal until the command is over.
async fn attend(
    guard: &mut Child,
    standing: &mut watch::Receiver<Standing>,
    token: u64,
    mut until: Nanos,
) -> Result<u8, String> {
    let mut tells: Option<ChildStdin> = guard.stdin.take();
    loop {
        if let Some(status) = guard.try_wait().map_err(|error| error.to_string())? {
            return Ok(code_of(status));
        }
        match standing.borrow_and_update().held {
            // Another grant is another holder's turn in between.
            Some((now, later)) if now == token && later > until => {
                until = later;
                let told = tells.as_mut().map(|tells| writeln!(tells, "{until}"));
                if !matches!(told, Some(Ok(()))) {
                    tells = None;
                }
            }
            Some((now, _)) if now != token => tells = None,
            _ => {}
        }
        sleep(LOOK).await;
    }
}

fn code_of(status: ExitStatus) -> u8 {
    match (status.code(), status.signal()) {
        (Some(code), _) => code as u8,
        (None, Some(signal)) => 128u8.wrapping_add(signal as u8),
        (None, None) => 1,
    }
}

/// The guard: runs the command in a group of its own and ends it in time. Renewals come as lines
/// on its input, as times on the steady clock; the input's end is the holder's.
pub fn guard_main(span: Nanos, mut until: Nanos, command: &[OsString]) -> ExitCode {
    let Ok(own) = std::env::current_exe() else { return ExitCode::FAILURE };
    let started = Command::new(own)
        .args(["lease", "stage", "--guard", &std::process::id().to_string(), "--"])
        .args(command)
        .stdin(Stdio::null())
        .process_group(0)
        .spawn();
    let mut child = match started {
        Ok(child) => child,
        Err(error) => {
            eprintln!("mintshelf: the command: {error}");
            return ExitCode::FAILURE;
        }
    };
    let group = Pid::from_child(&child);
    let (tell, told) = mpsc::channel::<Option<Nanos>>();
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            let Some(until) = line.ok().and_then(|line| line.trim().parse().ok()) else { break };
            if tell.send(Some(until)).is_err() {
                return;
            }
        }
        let _ = tell.send(None);
    });
    let mut asked = false;
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            // Its children end with it: the lease is given back next.
            let _ = kill_process_group(group, Signal::KILL);
            let cut_short = asked && !status.success();
            return ExitCode::from(if cut_short { LOST } else { code_of(status) });
        }
        let gone = match told.recv_timeout(LOOK) {
            Ok(Some(later)) => {
                until = until.max(later);
                false
            }
            Ok(None) | Err(mpsc::RecvTimeoutError::Disconnected) => true,
            Err(mpsc::RecvTimeoutError::Timeout) => false,
        };
        let left = until.saturating_sub(clock::now());
        if gone || left < span / END_BEFORE {
            let _ = kill_process_group(group, Signal::KILL);
            let _ = child.wait();
            return ExitCode::from(LOST);
        }
        if left < span / ASK_BEFORE && !asked {
            asked = true;
            let _ = kill_process_group(group, Signal::TERM);
        }
    }
}

/// The last step before the command: it dies with its guard from here on.
pub fn stage_main(guard: u32, command: &[OsString]) -> ExitCode {
    let tied = set_parent_process_death_signal(Some(Signal::KILL));
    let parent = getppid().map(|pid| pid.as_raw_nonzero().get() as u32);
    if tied.is_err() || parent != Some(guard) {
        eprintln!("mintshelf: the command: its guard is gone");
        return ExitCode::from(LOST);
    }
    let Some((program, arguments)) = command.split_first() else { return ExitCode::FAILURE };
    let error = Command::new(program).args(arguments).exec();
    eprintln!("mintshelf: {}: {error}", program.to_string_lossy());
    ExitCode::from(127)
}

/// The shortest span under which a command can be ended in time on a busy machine.
pub const SPAN_MIN: Nanos = 1_000 * MS;
