//! Text form of durations for messages to operators.

use mintshelf_time::{Nanos, MILLISECOND, SECOND};

const MILLIS_PER_SECOND: u64 = SECOND / MILLISECOND;

/// Formats a duration in seconds or milliseconds, as in `1.2 s`, rounded up to whole milliseconds.
#[must_use]
pub fn format_nanos(duration: Nanos) -> String {
    let all_millis = duration.div_ceil(MILLISECOND);
    let seconds = all_millis / MILLIS_PER_SECOND;
    match all_millis % MILLIS_PER_SECOND {
        0 => format!("{seconds} s"),
        millis if seconds == 0 => format!("{millis} ms"),
        millis => {
            let decimals = format!("{millis:03}");
            format!("{seconds}.{} s", decimals.trim_end_matches('0'))
        }
    }
}
