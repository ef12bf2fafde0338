//! Which of a route's clusters a request goes to.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Clusters with weights. The same key goes to the same cluster, at every sidecar, for as
/// long as the weights stay; when one weight changes only the keys that must move do
/// (weighted rendezvous hashing).
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    parts: Vec<(String, f64)>,
}

impl Split {
    /// Clusters by name with their weights; those of weight 0 get nothing. `None` if that
    /// leaves no cluster.
    pub fn new(parts: impl IntoIterator<Item = (String, u32)>) -> Option<Self> {
        let parts: Vec<_> = parts
            .into_iter()
            .filter(|(_, weight)| *weight > 0)
            .map(|(name, weight)| (name, f64::from(weight)))
            .collect();
        (!parts.is_empty()).then_some(Split { parts })
    }

    /// One cluster and no other.
    pub fn only(name: &str) -> Self {
        Split { parts: vec![(name.to_string(), 1.0)] }
    }

    /// The cluster for a key. A request without one brings any bytes, best random.
    pub fn pick(&self, key: &[u8]) -> &str {
        if let [(only, _)] = &self.parts[..] {
            return only;
        }
        let wait = |(name, weight): &(String, f64)| {
            let hash = xxh3_64_with_seed(key, xxh3_64_with_seed(name.as_bytes(), 0));
            // Uniform in (0, 1]; the first of exponential clocks rings by weight.
            let uniform = ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64;
            -uniform.ln() / weight
        };
        let first = self.parts.iter().min_by(|a, b| wait(a).total_cmp(&wait(b)));
        first.map_or("", |(name, _)| name)
    }

    /// The clusters that may be picked.
    pub fn clusters(&self) -> impl Iterator<Item = &str> {
        self.parts.iter().map(|(name, _)| name.as_str())
    }
}
