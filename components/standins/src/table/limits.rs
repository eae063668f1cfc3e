//! Limits on the rate of calls.

use std::time::Duration;

use types::Timestamp;

/// Limits on the rate of calls, as token buckets that hold one second's worth.
#[derive(Debug, Clone)]
pub struct CallLimits {
    /// Limit on reads and scans.
    pub reads: Bucket,
    /// Limit on commits.
    pub writes: Bucket,
}

/// A token bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    /// Calls a second.
    rate: f64,
    /// Calls that may be made now. At most one second's worth.
    available: f64,
    /// When `available` was last brought up to date.
    updated: Timestamp,
}

impl CallLimits {
    /// Creates limits of `reads` and `writes` calls a second.
    pub fn new(reads: u32, writes: u32) -> CallLimits {
        CallLimits { reads: Bucket::new(reads), writes: Bucket::new(writes) }
    }
}

impl Bucket {
    /// Creates a bucket of `rate` calls a second, full.
    pub fn new(rate: u32) -> Bucket {
        let rate = f64::from(rate);
        Bucket { rate, available: rate, updated: Timestamp::ZERO }
    }

    /// Takes one call from the bucket; false where the limit is reached.
    pub fn take(&mut self, now: Timestamp) -> bool {
        let elapsed: Duration = now.since(self.updated);
        self.updated = now;
        self.available = (self.available + elapsed.as_secs_f64() * self.rate).min(self.rate);
        let is_allowed = self.available >= 1.0;
        if is_allowed {
            self.available -= 1.0;
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bucket_allows_its_rate_and_no_more() {
        let mut bucket = Bucket::new(10);
        let allowed = |bucket: &mut Bucket, millis| {
            (0..100).filter(|_| bucket.take(Timestamp::from_millis(millis))).count()
        };
        assert_eq!(allowed(&mut bucket, 0), 10);
        assert_eq!(allowed(&mut bucket, 500), 5);
        assert_eq!(allowed(&mut bucket, 60_000), 10);
    }
}
