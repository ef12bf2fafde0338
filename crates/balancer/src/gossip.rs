//! Binary encoding of gossip messages.
//!
//! Layout, little-endian: version (u8), number of tenants (u8), weight (f32), one sum per tenant
//! (f32), then seven bytes per server: id (u32), mean in steps of 1/40 (i8), sample count in steps
//! of 1/64 (u16).

use crate::api::ServerId;

const VERSION: u8 = 1;
/// Maximum message size of the transport, in bytes.
const MAX_BYTES: usize = 256;
/// Size of the version, the number of tenants and the weight.
const HEADER_BYTES: usize = 6;
const SUM_BYTES: usize = 4;
const SERVER_BYTES: usize = 7;
/// Number of steps per unit of an encoded mean.
const MEAN_STEPS_PER_UNIT: f64 = 40.0;
/// Number of steps per sample of an encoded sample count.
const COUNT_STEPS_PER_UNIT: f64 = 64.0;
/// Lower bound of a sample count used as a divisor; avoids a division by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Observations sent from one instance to another.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GossipMessage {
    /// Number of instances whose traffic the tenants' sums represent.
    pub weight: f64,
    /// Number of recent requests of each tenant, decayed, indexed by tenant.
    pub tenants: Vec<f64>,
    /// Latency samples, one entry per server.
    pub servers: Vec<ServerObservation>,
}

/// Latency samples of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerObservation {
    /// Id of the server that the samples are about.
    pub server: ServerId,
    /// Sum of the logarithms of the latency ratios.
    pub sum: f64,
    /// Number of latency samples in the sum.
    pub count: f64,
}

impl GossipMessage {
    /// Returns the number of servers that fit into a message with the given number of tenants.
    #[must_use]
    pub fn max_servers(tenants: usize) -> usize {
        MAX_BYTES.saturating_sub(HEADER_BYTES + SUM_BYTES * tenants) / SERVER_BYTES
    }

    /// Encodes the message; tenants and servers beyond the maximum message size are omitted.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        reason = "at most 62 tenants fit, and f32 precision is enough for sums"
    )]
    pub fn encode(&self) -> Vec<u8> {
        let tenants = self.tenants.len().min((MAX_BYTES - HEADER_BYTES) / SUM_BYTES);
        let mut bytes = vec![VERSION, tenants as u8];
        for sum in std::iter::once(&self.weight).chain(&self.tenants[..tenants]) {
            bytes.extend((*sum as f32).to_le_bytes());
        }
        for observation in self.servers.iter().take(Self::max_servers(tenants)) {
            bytes.extend(observation.encode());
        }
        bytes
    }

    /// Decodes a message; returns `None` if the message is malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let [VERSION, tenants, body @ ..] = bytes else { return None };
        let sums_bytes = SUM_BYTES + SUM_BYTES * usize::from(*tenants);
        if body.len() < sums_bytes || !(body.len() - sums_bytes).is_multiple_of(SERVER_BYTES) {
            return None;
        }
        let (sums, servers) = body.split_at(sums_bytes);
        let mut sums = sums.chunks_exact(SUM_BYTES).map(decode_sum);
        let weight = sums.next()??;
        let tenants = sums.collect::<Option<Vec<f64>>>()?;
        let servers = servers.chunks_exact(SERVER_BYTES).map(ServerObservation::decode);
        Some(GossipMessage { weight, tenants, servers: servers.collect::<Option<Vec<_>>>()? })
    }
}

/// Decodes a weight or a tenant's sum; returns `None` if the number is negative or not finite.
fn decode_sum(bytes: &[u8]) -> Option<f64> {
    let sum = f64::from(f32::from_le_bytes(bytes.try_into().ok()?));
    (sum.is_finite() && sum >= 0.0).then_some(sum)
}

impl ServerObservation {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float-to-integer casts saturate"
    )]
    fn encode(&self) -> [u8; SERVER_BYTES] {
        let mean = (self.sum / self.count.max(MIN_DIVISOR) * MEAN_STEPS_PER_UNIT).round() as i8;
        let [mean] = mean.to_le_bytes();
        let count = ((self.count * COUNT_STEPS_PER_UNIT).round() as u16).to_le_bytes();
        let id = self.server.to_le_bytes();
        [id[0], id[1], id[2], id[3], mean, count[0], count[1]]
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes: [u8; SERVER_BYTES] = bytes.try_into().ok()?;
        let [id0, id1, id2, id3, mean, count0, count1] = bytes;
        let count = f64::from(u16::from_le_bytes([count0, count1])) / COUNT_STEPS_PER_UNIT;
        let mean = f64::from(i8::from_le_bytes([mean])) / MEAN_STEPS_PER_UNIT;
        let server = u32::from_le_bytes([id0, id1, id2, id3]);
        Some(ServerObservation { server, sum: mean * count, count })
    }
}
