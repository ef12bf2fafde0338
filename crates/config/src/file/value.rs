//! Parses durations and sizes with units, and finds similar names.

use super::error::FieldError;
use bytesize::ByteSize;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Upper bound of durations in settings.
pub const MAX_DURATION: Duration = Duration::from_secs(86_400);

/// Returns a duration in milliseconds.
pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Parses a duration with a unit, within bounds.
pub fn parse_duration(
    text: &str,
    bounds: &RangeInclusive<Duration>,
) -> Result<Duration, FieldError> {
    let duration = humantime::parse_duration(text)?;
    if bounds.contains(&duration) {
        return Ok(duration);
    }
    Err(FieldError::OutOfBounds {
        min: humantime::format_duration(*bounds.start()).to_string(),
        max: humantime::format_duration(*bounds.end()).to_string(),
    })
}

/// Parses a number of bytes with a unit, within bounds.
pub fn parse_size(text: &str, bounds: &RangeInclusive<usize>) -> Result<usize, FieldError> {
    let size: ByteSize = text.parse().map_err(FieldError::Size)?;
    let size = usize::try_from(size.as_u64()).unwrap_or(usize::MAX);
    if bounds.contains(&size) {
        return Ok(size);
    }
    let format = |bytes: &usize| ByteSize(*bytes as u64).display().iec().to_string();
    Err(FieldError::OutOfBounds { min: format(bounds.start()), max: format(bounds.end()) })
}

/// A known name that is similar to another name.
#[derive(Debug, Clone, Copy)]
pub struct SimilarName<'known> {
    pub name: &'known str,
    /// The similarity of the two names, from 0 to 1, where 1 means equal.
    pub similarity: f64,
}

/// Returns the known name that is most similar to `name`; `None` if there are no known names.
pub fn most_similar<'known>(
    name: &str,
    known: impl Iterator<Item = &'known str>,
) -> Option<SimilarName<'known>> {
    known
        .map(|known| SimilarName { name: known, similarity: strsim::jaro_winkler(name, known) })
        .max_by(|one, other| one.similarity.total_cmp(&other.similarity))
}
