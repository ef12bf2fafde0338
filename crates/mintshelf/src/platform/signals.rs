//! The signals of the platform's sidecar.

use super::error::PlatformError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that the sidecar handles.
pub(super) struct Signals {
    /// Shuts down gracefully.
    pub(super) terminate: Signal,
    /// Reads the configuration again.
    pub(super) hangup: Signal,
}

impl Signals {
    /// Registers the handlers of the process.
    ///
    /// # Errors
    /// A signal cannot be received.
    pub(super) fn register() -> Result<Self, PlatformError> {
        let register =
            |kind, name| signal(kind).map_err(|source| PlatformError::Signal { name, source });
        Ok(Signals {
            terminate: register(SignalKind::terminate(), "SIGTERM")?,
            hangup: register(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}
