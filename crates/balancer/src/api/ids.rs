//! What servers, requests, classes, tenants and attempts are referred to by.

use std::fmt;
use std::sync::Arc;

/// Number of a server, the same at every sidecar.
pub type ServerId = u32;
/// Opaque id of one request, unique during the lifetime of an instance.
pub type RequestId = Arc<str>;

/// Defines a number that is an index into a list.
macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(u32);

        impl $name {
            /// The number as it stands in messages.
            #[must_use]
            pub const fn new(number: u32) -> Self {
                $name(number)
            }

            /// The number of the item at a position of its list. Lists have fewer than 2^32
            /// items; a position beyond that gives the last number, which no list has.
            #[must_use]
            pub fn from_index(index: usize) -> Self {
                $name(u32::try_from(index).unwrap_or(u32::MAX))
            }

            /// Position of the item in its list.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }

            /// The number as it stands in messages.
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
    /// A request class: its position in [`Settings::classes`](super::Settings::classes).
    ClassId
}

index_type! {
    /// A tenant: its position in [`Settings::tenants`](super::Settings::tenants).
    TenantId
}

index_type! {
    /// An attempt of one request, from 0 in the order in which they were sent.
    AttemptNumber
}
