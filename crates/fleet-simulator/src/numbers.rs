//! Conversions between numbers of the simulation.

use mintshelf_time::Nanos;

/// The complete steps in a duration, as an index into a list with an entry for each step.
pub(crate) fn steps(duration: Nanos, step: Nanos) -> usize {
    index(duration / step)
}

/// A number as an index into a list.
pub(crate) fn index(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// The integral part of a number that is not negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "no integer type converts from a float otherwise; the cast saturates"
)]
pub(crate) fn truncate(number: f64) -> usize {
    number as usize
}
