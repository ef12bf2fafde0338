//! Names that the compatibility tests use. Those files stay byte for byte as they were written,
//! so that a renaming cannot weaken them.

use crate::daemon::Daemon;
use crate::message::Message;
use crate::server::Server;
use crate::sidecar::Sidecar;

pub use crate::client::send_request as ask;
pub use crate::message::ok_response as answer;
pub use crate::wait::TEST_TIMEOUT as LONG;

impl Daemon {
    /// [`Daemon::send_request`].
    ///
    /// # Panics
    /// As that.
    pub fn ask(&self, request: &[u8]) -> Option<Message> {
        self.send_request(request)
    }
}

impl Sidecar {
    /// [`Sidecar::send_request`].
    ///
    /// # Panics
    /// As that.
    pub fn ask(&self, request: &[u8]) -> Option<Message> {
        self.send_request(request)
    }
}

impl Server {
    /// [`Server::requests`].
    ///
    /// # Panics
    /// As that.
    pub fn seen(&self) -> Vec<Message> {
        self.requests()
    }
}
