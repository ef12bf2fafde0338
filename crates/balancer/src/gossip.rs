//! The bytes of a message between instances, and nothing of what they mean
//! for a decision.
//!
//! Layout: version, number of tenants, the weight and each tenant's sum as
//! little-endian f32, then seven bytes a server: number
//! (u32), mean (i8 of fortieths), count (u16 of 64ths).

use crate::api::ServerId;

const VERSION: u8 = 1;
/// Longest message the transport carries.
const LONGEST: usize = 256;

/// What one instance tells another.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GossipMessage {
    /// How many instances' worth of tenants' traffic this is.
    pub weight: f64,
    /// Traffic of each tenant.
    pub tenants: Vec<f64>,
    /// Server, sum and count of what was seen of it.
    pub servers: Vec<(ServerId, f64, f64)>,
}

impl GossipMessage {
    /// How many servers fit beside so many tenants.
    pub fn room(tenants: usize) -> usize {
        LONGEST.saturating_sub(6 + 4 * tenants) / 7
    }

    /// Writes it down, as far as it fits.
    pub fn encode(&self) -> Vec<u8> {
        let tenants = self.tenants.len().min((LONGEST - 6) / 4);
        let mut bytes = vec![VERSION, tenants as u8];
        for sum in std::iter::once(&self.weight).chain(&self.tenants[..tenants]) {
            bytes.extend((*sum as f32).to_le_bytes());
        }
        for (id, sum, count) in self.servers.iter().take(Self::room(tenants)) {
            bytes.extend(id.to_le_bytes());
            bytes.push((sum / count.max(1e-9) * 40.0).round() as i8 as u8);
            bytes.extend(((count * 64.0).round() as u16).to_le_bytes());
        }
        bytes
    }

    /// Reads it; `None` for anything malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let [VERSION, tenants, rest @ ..] = bytes else { return None };
        let split = 4 + 4 * usize::from(*tenants);
        if rest.len() < split || (rest.len() - split) % 7 != 0 {
            return None;
        }
        let (sums, servers) = rest.split_at(split);
        let sums: Vec<f64> = sums
            .chunks_exact(4)
            .map(|b| f64::from(f32::from_le_bytes([b[0], b[1], b[2], b[3]])))
            .collect();
        if sums.iter().any(|sum| !sum.is_finite() || *sum < 0.0) {
            return None;
        }
        let servers = servers
            .chunks_exact(7)
            .map(|b| {
                let count = f64::from(u16::from_le_bytes([b[5], b[6]])) / 64.0;
                let mean = f64::from(b[4] as i8) / 40.0;
                (u32::from_le_bytes([b[0], b[1], b[2], b[3]]), mean * count, count)
            })
            .collect();
        Some(GossipMessage { weight: sums[0], tenants: sums[1..].to_vec(), servers })
    }
}
