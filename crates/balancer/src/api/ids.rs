//! Identifiers of servers, requests, classes, tenants and attempts.

use std::fmt;
use std::sync::Arc;

/// Id of a server, the same at every sidecar.
pub type ServerId = u32;
/// Opaque id of a request, unique during the lifetime of an instance.
pub type RequestId = Arc<str>;

/// Defines an integer newtype that indexes a list.
macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(u32);

        impl $name {
            /// Wraps the number as it appears on the wire.
            #[must_use]
            pub const fn new(number: u32) -> Self {
                $name(number)
            }

            /// Converts an index into the list. Lists have fewer than 2^32 items; a larger index
            /// becomes `u32::MAX`, which no list reaches.
            #[must_use]
            pub fn from_index(index: usize) -> Self {
                $name(u32::try_from(index).unwrap_or(u32::MAX))
            }

            /// Returns the index into the list.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }

            /// Returns the number as it appears on the wire.
            #[must_use]
            pub const fn get(self) -> u32 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

index_type! {
    /// A request class: an index into [`Settings::classes`](super::Settings::classes).
    ClassId
}

index_type! {
    /// A tenant: an index into [`Settings::tenants`](super::Settings::tenants).
    TenantId
}

index_type! {
    /// An attempt of a request, numbered from 0 in the order of sending.
    AttemptNumber
}
