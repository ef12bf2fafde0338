//! Errors of the line protocol.

use super::vocabulary::INSTANCE_PREFIX;
use mintshelf_balancer::settings::SettingsError;
use thiserror::Error;

/// An error in the input, with the line and the field.
#[derive(Debug, Error)]
#[error("line {line}: {field}: {kind}")]
pub struct WireError {
    /// Number of the input line, from 1.
    pub line: u64,
    /// Name of the invalid field, or of the message.
    pub field: String,
    /// The defect of the field or message.
    #[source]
    pub kind: WireErrorKind,
}

/// A defect of a field or a message.
#[derive(Debug, Error)]
pub enum WireErrorKind {
    /// The line ends before the field.
    #[error("is missing")]
    Missing,
    /// The field has no characters.
    #[error("is empty")]
    Empty,
    /// The field is not a number, or out of range.
    #[error("'{0}' is not a number or out of range")]
    NotANumber(String),
    /// The field is infinite or NaN.
    #[error("'{0}' is not a finite number")]
    NotFinite(String),
    /// The field is none of its permitted values.
    #[error("unknown value '{value}': expected one of {expected}")]
    UnknownChoice {
        /// The value of the field in the input.
        value: String,
        /// The permitted values, for messages.
        expected: String,
    },
    /// The field is not a key in hex digits.
    #[error("'{0}' is not a key: expected a 64-bit number in hex digits, or '-'")]
    NotAKey(String),
    /// The field is not the name of an instance.
    #[error("'{0}' is not an instance: expected '{INSTANCE_PREFIX}' and a number")]
    NotAnInstance(String),
    /// The number of hex digits is odd, or the field is not ASCII.
    #[error("expected an even number of hex digits")]
    NotBytes,
    /// The field contains characters that are not hex digits.
    #[error("contains characters that are not hex digits")]
    NotHex,
    /// The line continues after the last field.
    #[error("unexpected '{0}' after the last field")]
    ExtraFields(String),
    /// The message name is unknown.
    #[error("unknown message")]
    UnknownMessage,
    /// The message interrupts an endpoint list.
    #[error("expected a 'server' line: the endpoint list is incomplete")]
    ListIncomplete,
    /// A list entry is not part of an endpoint list.
    #[error("outside an endpoint list: expected a 'census' line first")]
    OutsideList,
    /// The message is not part of a batch.
    #[error("outside a batch: expected a 'clock' line first")]
    OutsideBatch,
    /// The message requires a target instance, and the batch has named none.
    #[error("no target instance: expected a 'target_instance' line first")]
    NoTarget,
    /// A batch begins before the previous one has ended.
    #[error("inside a batch: expected a 'your_turn' line first")]
    InsideBatch,
    /// The number of an endpoint list is out of range.
    #[error("{0} is above the maximum of 15")]
    ListNumberTooLarge(u32),
    /// An update refers to an unknown endpoint list.
    #[error("unknown endpoint list {0}: expected its 'census' line first")]
    UnknownList(u32),
    /// The settings of an instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The input ends inside a batch.
    #[error("is missing: the input ended inside a batch")]
    UnfinishedBatch,
    /// The time of a batch is before that of the previous one.
    #[error("time moves backwards")]
    ClockBackwards,
    /// The instance was never attached, or was killed.
    #[error("the instance is not attached")]
    NotAttached,
}
