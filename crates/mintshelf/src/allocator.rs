//! The allocator of the program, which counts the bytes that are allocated.

use cap::Cap;
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the number of bytes that are allocated on the heap.
pub fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}
