//! Signal handlers of the platform's sidecar.

use super::error::PlatformError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that the sidecar handles.
pub(super) struct Signals {
    /// SIGTERM, which starts the graceful shutdown.
    pub(super) terminate: Signal,
    /// SIGHUP, which reloads the configuration.
    pub(super) hangup: Signal,
}

impl Signals {
    /// Registers the signal handlers of the process.
    ///
    /// # Errors
    /// Returns an error if a signal handler cannot be registered.
    pub(super) fn register() -> Result<Self, PlatformError> {
        let register =
            |kind, name| signal(kind).map_err(|source| PlatformError::Signal { name, source });
        Ok(Signals {
            terminate: register(SignalKind::terminate(), "SIGTERM")?,
            hangup: register(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}
