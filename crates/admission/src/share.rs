//! Proportional division of a capacity.

/// Returns `capacity * share / total_share`, rounded down. A total of 0 is replaced by the smallest
/// positive number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "no integer type converts from a float otherwise; the cast saturates"
)]
pub(crate) fn proportional_share(capacity: f64, share: f64, total_share: f64) -> u32 {
    (capacity * share / total_share.max(f64::MIN_POSITIVE)) as u32
}
