//! Formats an attempt schedule as a text timeline.

use crate::duration::format_nanos;
use crate::schedule::{AttemptSchedule, ScheduledAttempt};
use mintshelf_balancer::api::Effect;
use mintshelf_time::Nanos;
use std::fmt;

/// Last column of the timeline, which is the deadline; the first column is 0.
const LAST_COLUMN: u8 = 48;
const COLUMNS: usize = LAST_COLUMN as usize + 1;
/// Marks the latency objective, unless the attempt is in flight at that time.
const OBJECTIVE_MARK: char = 'a';

/// Writes a timeline with one line per attempt.
impl fmt::Display for AttemptSchedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let deadline = format_nanos(self.deadline);
        writeln!(formatter, "  worst case, from the first attempt to the deadline, {deadline}:")?;
        for attempt in self.worst_case() {
            let line = self.attempt_line(&attempt);
            let start = format_nanos(attempt.latest_start);
            let end = format_nanos(attempt.latest_end);
            let number = attempt.number;
            writeln!(formatter, "  attempt {number} [{line}] starts by {start}, ends by {end}")?;
        }
        if self.effect == Effect::Idempotent {
            let arrival = format_nanos(self.last_arrival());
            let window = format_nanos(self.dedup_window);
            writeln!(
                formatter,
                "  the last attempt may reach a server at {arrival}; the window is {window}"
            )?;
        }
        if self.max_effective_attempts() < 2 && self.max_attempts > 1 {
            let note = "retried only if the earlier attempts are known not to have run";
            writeln!(formatter, "  {note}")?;
        }
        Ok(())
    }
}

impl AttemptSchedule {
    fn attempt_line(&self, attempt: &ScheduledAttempt) -> String {
        let start = self.column(attempt.latest_start);
        let end = self.column(attempt.latest_end);
        let mut line = ['.'; COLUMNS];
        line[start..=end].fill('=');
        line[start] = '|';
        let objective = &mut line[self.column(self.latency_objective)];
        if *objective == '.' {
            *objective = OBJECTIVE_MARK;
        }
        line.into_iter().collect()
    }

    /// Column of a time, from 0 to [`LAST_COLUMN`].
    fn column(&self, time: Nanos) -> usize {
        let last_column = u128::from(LAST_COLUMN);
        let time = u128::from(time.min(self.deadline));
        let column = time * last_column / u128::from(self.deadline.max(1));
        usize::try_from(column).unwrap_or(COLUMNS - 1)
    }
}
