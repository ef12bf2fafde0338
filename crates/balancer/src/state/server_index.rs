//! Indices into the server table.

/// Index of a server in the [`ServerTable`](super::ServerTable). It is stable while the server is
/// listed; after the server's removal it may be reused for another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerIndex(usize);

impl ServerIndex {
    /// Wraps a position in the table.
    pub(crate) fn new(position: usize) -> Self {
        ServerIndex(position)
    }

    /// Returns the position in the table.
    pub(crate) fn position(self) -> usize {
        self.0
    }
}
