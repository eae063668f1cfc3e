//! Limits on the bodies of all requests together.

/// Size in bytes up to which a body is small.
pub(crate) const SMALL_BODY_BYTES: usize = 64 * 1_024;

/// Share of the memory of the host for bodies, in percent. The rest is for the process itself, its
/// connections, and memory that the allocator keeps.
const MEMORY_PERCENT: u64 = 25;

/// Share of the memory for bodies that large bodies may take, in percent. The rest is kept for small ones, so
/// that usual requests are served beside many large ones.
const LARGE_PERCENT: usize = 75;

/// Limits on the bodies of all requests together, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Limit on all bodies.
    pub all_bytes: usize,
    /// Limit on the bodies that are larger than 64 KiB; at most `all_bytes`.
    pub large_bytes: usize,
}

impl BodyLimits {
    /// No limit.
    pub const UNLIMITED: BodyLimits = BodyLimits { all_bytes: usize::MAX, large_bytes: usize::MAX };

    /// Returns the limits for a total of `all_bytes`.
    pub fn new(all_bytes: usize) -> BodyLimits {
        BodyLimits { all_bytes, large_bytes: all_bytes / 100 * LARGE_PERCENT }
    }

    /// Returns the limits for a process that may use `memory_bytes`; none if that is not stated.
    pub fn for_memory(memory_bytes: Option<u64>) -> BodyLimits {
        let all = memory_bytes.map(|it| it / 100 * MEMORY_PERCENT);
        all.and_then(|it| usize::try_from(it).ok()).map_or(BodyLimits::UNLIMITED, BodyLimits::new)
    }
}
