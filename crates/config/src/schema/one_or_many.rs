//! A value where a list may stand, too.

use schemars::JsonSchema;

/// One of something, or a list of them.
#[derive(Debug, JsonSchema)]
#[schemars(untagged)]
pub enum OneOrMany<T> {
    /// One.
    One(T),
    /// A list.
    Many(Vec<T>),
}
