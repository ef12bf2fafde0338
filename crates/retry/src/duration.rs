//! Durations as people write them.

use mintshelf_time::{Nanos, MILLISECOND};
use std::time::Duration;

/// A duration in seconds or milliseconds, rounded up to the millisecond, as in `1.2 s`.
pub fn format_nanos(duration: Nanos) -> String {
    let rounded = Duration::from_millis(duration.div_ceil(MILLISECOND));
    if duration == 0 {
        return "0 s".into();
    }
    match rounded.as_millis() {
        millis if millis < 1000 => format!("{millis} ms"),
        millis if millis % 1000 == 0 => format!("{} s", millis / 1000),
        millis => {
            let seconds = format!("{:.3}", millis as f64 / 1000.0);
            format!("{} s", seconds.trim_end_matches('0').trim_end_matches('.'))
        }
    }
}
