//! Gossip: push-sum exchange of observations with other instances.

use super::latency_model::{LatencyModel, LatencySamples};
use super::tenant_traffic::{TenantTraffic, TenantTrafficHalf};
use crate::api::Settings;
use crate::gossip::{GossipMessage, ServerObservation};
use crate::rng::Rng;
use crate::state::ServerTable;
use mintshelf_time::{Nanos, SECOND};

/// Minimum interval between gossip messages. An instance sends messages only when requests arrive.
const GOSSIP_INTERVAL: Nanos = SECOND;
/// Number of samples above which half of a server's samples is sent to a peer.
const MIN_SENT_SAMPLES: f64 = 0.05;

/// Schedule of the messages that this instance sends to its peers.
///
/// A single instance has too few samples to tell which server is slow, so instances exchange them.
/// Each message moves half of the sender's observations to the receiver (push-sum): no observation
/// is counted twice, and all instances converge to the mean.
#[derive(Debug)]
pub(crate) struct GossipExchange {
    last_sent_at: Nanos,
}

impl GossipExchange {
    /// Creates the schedule of an instance that starts at `now`.
    pub(crate) fn new(now: Nanos) -> Self {
        GossipExchange { last_sent_at: now }
    }

    /// Returns whether a gossip message is due, and if so starts the next interval.
    #[must_use]
    pub(crate) fn begin_if_due(&mut self, now: Nanos, settings: &Settings) -> bool {
        let elapsed = now.saturating_sub(self.last_sent_at);
        let has_peer_instances = settings.instances > 1;
        let is_due = settings.has_peers && has_peer_instances && elapsed >= GOSSIP_INTERVAL;
        if is_due {
            self.last_sent_at = now;
        }
        is_due
    }
}

/// Returns a random peer of this instance. The instance must have at least one peer.
pub(crate) fn draw_peer(settings: &Settings, rng: &mut Rng) -> u32 {
    let others = settings.instances - 1;
    let drawn = rng.draw_below(others);
    // Skips the number of this instance.
    if drawn >= settings.self_index {
        drawn + 1
    } else {
        drawn
    }
}

/// Moves half of the observations into a message. Servers are taken from a random one on, as many
/// as fit.
pub(crate) fn take_message(
    now: Nanos,
    servers: &mut ServerTable,
    latency: &LatencyModel,
    tenants: &mut TenantTraffic,
    rng: &mut Rng,
) -> GossipMessage {
    let count_in_service = servers.in_service().len();
    let first = rng.draw_index(count_in_service);
    let half = tenants.take_half(now);
    let mut message =
        GossipMessage { weight: half.weight, tenants: half.by_tenant, servers: Vec::new() };
    let max_servers = GossipMessage::max_servers(message.tenants.len());
    for offset in 0..count_in_service {
        if message.servers.len() >= max_servers {
            break;
        }
        let index = servers.in_service().at((first + offset) % count_in_service);
        let server = &mut servers[index];
        let half = latency.take_half(now, &mut server.latency, MIN_SENT_SAMPLES);
        if let Some(LatencySamples { sum, count }) = half {
            message.servers.push(ServerObservation { server: server.listed.id, sum, count });
        }
    }
    message
}

/// Adds the observations in a peer's message to those of this instance.
pub(crate) fn merge(
    now: Nanos,
    message: GossipMessage,
    servers: &mut ServerTable,
    latency: &LatencyModel,
    tenants: &mut TenantTraffic,
) {
    tenants.merge(now, &TenantTrafficHalf { weight: message.weight, by_tenant: message.tenants });
    for ServerObservation { server, sum, count } in message.servers {
        if let Some(index) = servers.index_of(server) {
            let samples = LatencySamples { sum, count };
            latency.add_samples(now, &mut servers[index].latency, samples);
        }
    }
}
