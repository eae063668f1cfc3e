//! Counts of answered requests by what they contained.

use std::time::Duration;

use types::Timestamp;
use utils::HashMap;

use super::ContentKey;

/// Maximum number of keys. Callers choose the parts of their prompts, so their number is not
/// limited otherwise.
const KEYS_MAX: usize = 16_384;

/// Time after which all counts are halved.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Counts how often requests with some key were answered. Counts are halved from time to time and
/// when there are too many keys; what was seen only once is dropped first.
#[derive(Debug, Default)]
pub(super) struct SurvivalCounts {
    counts: HashMap<ContentKey, u32>,
    halved_at: Timestamp,
}

impl SurvivalCounts {
    /// Counts an answered request.
    pub(super) fn add(&mut self, key: ContentKey, now: Timestamp) {
        if now.since(self.halved_at) >= HALF_LIFE {
            self.halve(now);
        }
        let count = self.counts.entry(key).or_default();
        *count = count.saturating_add(1);
        while self.counts.len() > KEYS_MAX {
            self.halve(now);
        }
    }

    /// Returns the count of a key.
    pub(super) fn get(&self, key: ContentKey) -> u32 {
        self.counts.get(&key).copied().unwrap_or(0)
    }

    fn halve(&mut self, now: Timestamp) {
        self.halved_at = now;
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }
}
