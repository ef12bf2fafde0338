//! Weighted split of the requests of a route between clusters.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Clusters with weights, selected by weighted rendezvous hashing. While the weights are unchanged,
/// every sidecar assigns a key to the same cluster. When a weight changes, as few keys as possible
/// are reassigned.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterSplit {
    clusters: Vec<WeightedCluster>,
}

#[derive(Debug, Clone, PartialEq)]
struct WeightedCluster {
    name: String,
    /// The relative share of requests for this cluster, greater than 0.
    weight: f64,
}

impl WeightedCluster {
    /// Returns the score of the cluster for a key, exponentially distributed with the weight as its
    /// rate. A cluster has the lowest score with a probability equal to its share of the total
    /// weight.
    fn score(&self, key: &[u8]) -> f64 {
        const MANTISSA_BITS: u32 = f64::MANTISSA_DIGITS;
        let hash = xxh3_64_with_seed(key, xxh3_64_with_seed(self.name.as_bytes(), 0));
        // A number uniformly distributed in (0, 1], which excludes 0 because its logarithm is
        // infinite.
        let numerator = (hash >> (u64::BITS - MANTISSA_BITS)) + 1;
        let uniform = numerator as f64 / (1u64 << MANTISSA_BITS) as f64;
        -uniform.ln() / self.weight
    }
}

impl ClusterSplit {
    /// Creates a split of clusters by name and weight. Clusters of weight 0 are left out; `None` if
    /// no cluster remains.
    pub fn new(weights: impl IntoIterator<Item = (String, u32)>) -> Option<Self> {
        let weights = weights.into_iter().filter(|(_, weight)| *weight > 0);
        let clusters: Vec<WeightedCluster> = weights
            .map(|(name, weight)| WeightedCluster { name, weight: f64::from(weight) })
            .collect();
        (!clusters.is_empty()).then_some(ClusterSplit { clusters })
    }

    /// Creates a split with a single cluster.
    #[must_use]
    pub fn only(name: &str) -> Self {
        let cluster = WeightedCluster { name: name.to_string(), weight: 1.0 };
        ClusterSplit { clusters: vec![cluster] }
    }

    /// Returns the cluster for a key. For a request without a key the caller passes random bytes.
    #[must_use]
    pub fn pick(&self, key: &[u8]) -> &str {
        if let [only] = &self.clusters[..] {
            return &only.name;
        }
        let lowest =
            self.clusters.iter().min_by(|left, right| left.score(key).total_cmp(&right.score(key)));
        lowest.map_or("", |cluster| &cluster.name)
    }

    /// Returns the names of all clusters that can be picked.
    pub fn clusters(&self) -> impl Iterator<Item = &str> {
        self.clusters.iter().map(|cluster| cluster.name.as_str())
    }
}
