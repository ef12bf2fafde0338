//! How many seeds a simulation plays.

/// Number of seeds to play: `MINTSHELF_SEEDS`, or a default.
pub fn seed_count(default: u64) -> u64 {
    let configured = std::env::var("MINTSHELF_SEEDS").ok();
    configured.and_then(|count| count.parse().ok()).unwrap_or(default)
}
