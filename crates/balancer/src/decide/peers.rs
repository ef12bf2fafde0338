//! Gossip: exchange of observations with other instances.

use super::rates::RATE_HALF_LIFE;
use super::Balancer;
use crate::api::Action;
use crate::gossip::{GossipMessage, ServerObservation};
use mintshelf_time::{Nanos, SECOND};

/// Interval at which an instance with traffic hands half of its observations to one peer.
const GOSSIP_INTERVAL: Nanos = SECOND;
/// Minimum number of samples of a server that are handed over.
const GOSSIP_MIN_SAMPLES: f64 = 0.05;

impl Balancer {
    /// Hands half of the observations of this instance, too few to show which server is slow,
    /// to a random peer: halving counts none twice, and all instances come to hold the mean.
    pub(super) fn gossip(&mut self) {
        let others = self.settings.instances.saturating_sub(1);
        let is_due = self.now.saturating_sub(self.last_gossip_at) >= GOSSIP_INTERVAL;
        if !self.settings.has_peers || others == 0 || !is_due {
            return;
        }
        self.last_gossip_at = self.now;
        let first = (self.rng.draw() * self.servers.in_service().len() as f64) as usize;
        let mut message = self.traffic.halve_tenants(self.now, RATE_HALF_LIFE);
        self.halve_observations(first, &mut message);
        let peer = (self.rng.draw() * f64::from(others)) as u32;
        let peer = Some(peer + u32::from(peer >= self.settings.self_index));
        self.actions.push(Action::SendGossip { peer, payload: message.encode() });
    }

    /// Takes half of the servers' samples into a message, from a position on, as far as they fit.
    fn halve_observations(&mut self, first: usize, message: &mut GossipMessage) {
        let half_life = self.speed_memory().half_life;
        let max_servers = GossipMessage::max_servers(message.tenants.len());
        let count_in_service = self.servers.in_service().len();
        for offset in 0..count_in_service {
            if message.servers.len() >= max_servers {
                return;
            }
            let index = self.servers.in_service().at((first + offset) % count_in_service);
            let server = &self.servers[index];
            let ratio = &server.log_latency_ratio;
            let sum = ratio.sum.get(self.now, half_life) / 2.0;
            let count = ratio.count.get(self.now, half_life) / 2.0;
            if count > GOSSIP_MIN_SAMPLES {
                let server = server.listed.id;
                message.servers.push(ServerObservation { server, sum, count });
                self.add_latency_samples(index, -sum, -count);
            }
        }
    }

    pub(crate) fn on_gossip(&mut self, payload: &[u8]) {
        let Some(message) = GossipMessage::decode(payload) else { return };
        self.traffic.add_tenants(self.now, RATE_HALF_LIFE, &message);
        for ServerObservation { server, sum, count } in message.servers {
            if let Some(index) = self.servers.index_of(server) {
                self.add_latency_samples(index, sum, count);
            }
        }
    }
}
