//! The settings that a reload does not change.

use mintshelf_config::model::{FleetConfig, OperatorConfig, ProcessLimits, SOCKET_QUEUE_SHARE};
use std::net::SocketAddr;

/// Settings that cannot change while the program runs, as the first configuration has them.
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

    /// Most bytes that all WebSocket connections together may have queued.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a size is positive and not larger"
    )]
    pub(super) fn socket_queue_bytes(&self) -> usize {
        (self.limits.memory_bytes as f64 * SOCKET_QUEUE_SHARE) as usize
    }
}
