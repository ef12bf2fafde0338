//! The limits with which crowds are played.

/// Memory that the code of an optimized program takes, with a margin.
pub(crate) const PROGRAM_MB: f64 = 6.0;

/// The limits of a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) memory_mb: usize,
    pub(crate) descriptors: usize,
}

/// The limits with which each crowd is played: the smallest memory with few and many descriptors,
/// and larger memory.
pub(crate) const LIMITS: [Limits; 4] = [
    Limits { memory_mb: 32, descriptors: 1024 },
    Limits { memory_mb: 32, descriptors: 256 },
    Limits { memory_mb: 64, descriptors: 1024 },
    Limits { memory_mb: 192, descriptors: 1024 },
];
