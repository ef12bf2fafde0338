//! Conversions of numbers that are computed from settings.

/// The integral part of a number; 0 for a negative one, and the greatest `u32` for one beyond it.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "no integer type converts from a float otherwise; the cast saturates"
)]
pub(crate) fn truncate_to_u32(value: f64) -> u32 {
    value as u32
}

/// The integral part of a number; 0 for a negative one, and the greatest `u64` for one beyond it.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "no integer type converts from a float otherwise; the cast saturates"
)]
pub(crate) fn truncate_to_u64(value: f64) -> u64 {
    value as u64
}
