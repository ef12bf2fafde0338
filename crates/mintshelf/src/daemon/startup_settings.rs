//! Settings that are applied at the start only.

use mintshelf_config::model::{FleetConfig, OperatorConfig, ProcessLimits, SOCKET_QUEUE_SHARE};
use std::net::SocketAddr;

/// The settings of the initial configuration that a reload cannot change.
#[derive(PartialEq)]
pub(super) struct StartupSettings {
    pub(super) limits: ProcessLimits,
    admin: Option<SocketAddr>,
    fleet: Option<FleetConfig>,
}

impl StartupSettings {
    pub(super) fn of(config: &OperatorConfig) -> Self {
        StartupSettings {
            limits: config.limits.clone(),
            admin: config.admin,
            fleet: config.fleet.clone(),
        }
    }

    /// Returns the maximum number of bytes that all WebSocket connections together may have queued.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a size is positive and not larger than the size"
    )]
    pub(super) fn socket_queue_bytes(&self) -> usize {
        (self.limits.memory_bytes as f64 * SOCKET_QUEUE_SHARE) as usize
    }
}
