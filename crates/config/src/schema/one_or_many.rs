//! A single value or a list of values.

use schemars::JsonSchema;

/// A single value, or a list of values.
#[derive(Debug, JsonSchema)]
#[schemars(untagged)]
pub enum OneOrMany<T> {
    /// A single value.
    One(T),
    /// A list.
    Many(Vec<T>),
}
