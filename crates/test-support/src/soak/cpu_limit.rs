//! Limits a process to a share of a core: it is stopped and continued so that its CPU time stays within
//! the share.

use rustix::process::{kill_process, Pid, Signal};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long the process may run at a time. Longer slices give long stops, in the midst of anything,
/// where a small share of a core would only make everything slower.
const SLICE: Duration = Duration::from_micros(100);
/// CPU time that an idle process may save up.
const BURST: Duration = Duration::from_millis(1);
const THOUSANDTHS: u32 = 1_000;

/// Limits a process until it is dropped.
pub(super) struct CpuLimit {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CpuLimit {
    /// Limits a process to thousandths of a core.
    pub(super) fn start(pid: u32, thousandths: u32) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let flag = is_over.clone();
        let thread = thread::spawn(move || limit(pid, thousandths, &flag));
        CpuLimit { is_over, thread: Some(thread) }
    }
}

impl Drop for CpuLimit {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there has ended the limit already.
            let _ = thread.join();
        }
    }
}

fn limit(pid: u32, thousandths: u32, is_over: &AtomicBool) {
    let process = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let Some(process) = process else { return };
    let Some(mut used_before) = cpu_time(pid) else { return };
    let mut paid_until = Instant::now();
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(SLICE);
        // The kernel accounts for a process that runs at its next tick alone, but for one that it
        // stops at once.
        let is_stopped = is_running(pid) && kill_process(process, Signal::STOP).is_ok();
        if let Some(used) = cpu_time(pid) {
            let earliest = Instant::now() - share_of(BURST, thousandths);
            let owed = share_of(used - used_before, thousandths);
            paid_until = paid_until.max(earliest) + owed;
            used_before = used;
        }
        if is_stopped {
            thread::sleep(paid_until.saturating_duration_since(Instant::now()));
            let _ = kill_process(process, Signal::CONT);
        }
    }
}

/// Whether a process has or waits for a processor.
fn is_running(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(") ").next().is_some_and(|fields| fields.starts_with('R'))
}

/// Time in which a share of a core gives this much CPU time.
fn share_of(cpu: Duration, thousandths: u32) -> Duration {
    cpu * THOUSANDTHS / thousandths
}

fn cpu_time(pid: u32) -> Option<Duration> {
    let schedstat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    Some(Duration::from_nanos(schedstat.split(' ').next()?.parse().ok()?))
}
