//! The simulator's line protocol: parses lines into messages and formats actions as lines.

mod action;
mod error;
mod event;
mod fields;
mod reader;
pub(crate) mod vocabulary;

pub use action::write_action;
pub use error::{WireError, WireErrorKind};
pub use reader::{Message, Reader};
