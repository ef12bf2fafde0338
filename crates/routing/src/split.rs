//! Divides the requests of a route between clusters by weight.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Clusters with weights, divided by weighted rendezvous hashing. While the weights are unchanged,
/// every sidecar assigns the same key to the same cluster; when one weight changes, as few keys as
/// possible are assigned to another cluster.
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
    /// The score of the cluster for a key: exponentially distributed, with the weight as its rate.
    /// The lowest score of several clusters is that of each with the probability of its share of the
    /// weights.
    fn score(&self, key: &[u8]) -> f64 {
        const MANTISSA_BITS: u32 = f64::MANTISSA_DIGITS;
        let hash = xxh3_64_with_seed(key, xxh3_64_with_seed(self.name.as_bytes(), 0));
        // Uniform in (0, 1].
        let numerator = (hash >> (u64::BITS - MANTISSA_BITS)) + 1;
        let uniform = numerator as f64 / (1u64 << MANTISSA_BITS) as f64;
        -uniform.ln() / self.weight
    }
}

impl ClusterSplit {
    /// Clusters by name with their weights, without those of weight 0. `None` if no cluster has a
    /// weight.
    pub fn new(weights: impl IntoIterator<Item = (String, u32)>) -> Option<Self> {
        let weights = weights.into_iter().filter(|(_, weight)| *weight > 0);
        let clusters: Vec<WeightedCluster> = weights
            .map(|(name, weight)| WeightedCluster { name, weight: f64::from(weight) })
            .collect();
        (!clusters.is_empty()).then_some(ClusterSplit { clusters })
    }

    /// A single cluster.
    #[must_use]
    pub fn only(name: &str) -> Self {
        let cluster = WeightedCluster { name: name.to_string(), weight: 1.0 };
        ClusterSplit { clusters: vec![cluster] }
    }

    /// The cluster for a key. For a request without a key the caller passes random bytes.
    #[must_use]
    pub fn pick(&self, key: &[u8]) -> &str {
        if let [only] = &self.clusters[..] {
            return &only.name;
        }
        let lowest =
            self.clusters.iter().min_by(|one, other| one.score(key).total_cmp(&other.score(key)));
        lowest.map_or("", |cluster| &cluster.name)
    }

    /// The clusters that may be picked.
    pub fn clusters(&self) -> impl Iterator<Item = &str> {
        self.clusters.iter().map(|cluster| cluster.name.as_str())
    }
}
