//! Measures the usual gap between the events of a stream.

use types::Timestamp;

/// Number of gaps of which the median is taken.
const GAPS: usize = 5;

/// Takes the median of each few gaps. Single long ones, while the endpoint processes a prompt or the
/// caller does not read, and the short ones after them have no effect on it.
#[derive(Debug, Default)]
pub struct GapMeter {
    /// When data last arrived.
    arrived_at: Option<Timestamp>,
    /// When the last event was complete.
    event_at: Option<Timestamp>,
    /// Gaps since the last median, in milliseconds.
    gaps: Vec<f64>,
}

impl GapMeter {
    /// Records that data has arrived.
    pub fn record_arrival(&mut self, now: Timestamp) {
        self.arrived_at = Some(now);
    }

    /// Records that the last arrival completed `events` events. Returns the median gap, in
    /// milliseconds, whenever enough have been observed.
    pub fn record_events(&mut self, events: u64) -> Option<f64> {
        let now = self.arrived_at.filter(|_| events > 0)?;
        if let Some(before) = self.event_at.replace(now) {
            let gap_ms = now.since(before).as_secs_f64() * 1_000.0 / events as f64;
            let count = usize::try_from(events).unwrap_or(GAPS).min(GAPS - self.gaps.len());
            self.gaps.extend(std::iter::repeat_n(gap_ms, count));
        }
        if self.gaps.len() < GAPS {
            return None;
        }
        self.gaps.sort_by(f64::total_cmp);
        let median = self.gaps[GAPS / 2];
        self.gaps.clear();
        Some(median)
    }
}
