//! Which of a route's clusters a request goes to.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Clusters with weights. The same key goes to the same cluster, at every sidecar, for as
/// long as the weights stay; when one weight changes only the keys that must move do
/// (weighted rendezvous hashing).
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterSplit {
    clusters: Vec<WeightedCluster>,
}

#[derive(Debug, Clone, PartialEq)]
struct WeightedCluster {
    name: String,
    /// Over 0.
    weight: f64,
}

impl WeightedCluster {
    /// The time at which the cluster's clock rings for a key: exponentially distributed, with the
    /// weight as its rate. The first clock to ring decides, which is each with the probability
    /// of its share of the weights.
    fn arrival(&self, key: &[u8]) -> f64 {
        const MANTISSA_BITS: u32 = f64::MANTISSA_DIGITS;
        let hash = xxh3_64_with_seed(key, xxh3_64_with_seed(self.name.as_bytes(), 0));
        // Uniform in (0, 1].
        let numerator = (hash >> (u64::BITS - MANTISSA_BITS)) + 1;
        let uniform = numerator as f64 / (1u64 << MANTISSA_BITS) as f64;
        -uniform.ln() / self.weight
    }
}

impl ClusterSplit {
    /// Clusters by name with their weights; those with weight 0 are left out. None if that leaves
    /// no cluster.
    pub fn new(weights: impl IntoIterator<Item = (String, u32)>) -> Option<Self> {
        let weights = weights.into_iter().filter(|(_, weight)| *weight > 0);
        let clusters: Vec<WeightedCluster> = weights
            .map(|(name, weight)| WeightedCluster { name, weight: f64::from(weight) })
            .collect();
        (!clusters.is_empty()).then_some(ClusterSplit { clusters })
    }

    /// One cluster only.
    pub fn only(name: &str) -> Self {
        let cluster = WeightedCluster { name: name.to_string(), weight: 1.0 };
        ClusterSplit { clusters: vec![cluster] }
    }

    /// The cluster for a key. For a request without one the caller passes any bytes, best random.
    pub fn pick(&self, key: &[u8]) -> &str {
        if let [only] = &self.clusters[..] {
            return &only.name;
        }
        let first = self
            .clusters
            .iter()
            .min_by(|one, other| one.arrival(key).total_cmp(&other.arrival(key)));
        first.map_or("", |cluster| &cluster.name)
    }

    /// The clusters that may be picked.
    pub fn clusters(&self) -> impl Iterator<Item = &str> {
        self.clusters.iter().map(|cluster| cluster.name.as_str())
    }
}
