//! Saturating conversions of computed settings to integers.

/// Truncates a number to an integer. Values outside the range of `u32` saturate.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "no integer type converts from a float otherwise; the cast saturates"
)]
pub(crate) fn truncate_to_u32(value: f64) -> u32 {
    value as u32
}

/// Truncates a number to an integer. Values outside the range of `u64` saturate.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "no integer type converts from a float otherwise; the cast saturates"
)]
pub(crate) fn truncate_to_u64(value: f64) -> u64 {
    value as u64
}
