//! Positions in the table of servers.

/// Position of a server in the [`ServerTable`](super::ServerTable). A server keeps it for as long
/// as it is listed; after that it may be another server's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerIndex(usize);

impl ServerIndex {
    /// The server at a position of the table.
    pub(crate) fn new(position: usize) -> Self {
        ServerIndex(position)
    }

    /// Its position in the table.
    pub(crate) fn position(self) -> usize {
        self.0
    }
}
