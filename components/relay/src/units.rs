//! Conversions to the units used in logs.

use std::time::Duration;

/// Returns a duration in whole milliseconds, rounded down.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
