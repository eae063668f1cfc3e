//! Memory that a value holds.

use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Counts the bytes that are allocated from now on and not freed.
#[derive(Debug)]
pub(super) struct HeldMemory {
    /// Allocations from the start on, of all threads.
    region: Region<'static, System>,
}

impl HeldMemory {
    /// Starts to count.
    pub(super) fn start() -> HeldMemory {
        HeldMemory { region: Region::new(ALLOCATOR) }
    }

    /// Returns the bytes allocated and not freed.
    pub(super) fn bytes(&self) -> f64 {
        let change = self.region.change();
        change.bytes_allocated as f64 - change.bytes_deallocated as f64
    }
}
