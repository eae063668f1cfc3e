//! Measures the usual pause between the events of a stream.

use types::Timestamp;

/// Number of pauses of which the median is taken.
const PAUSES: usize = 5;

/// Takes the median of each few pauses. Single long ones, while the endpoint processes a prompt or the
/// caller does not read, and the short ones after them have no effect on it.
#[derive(Debug, Default)]
pub struct PauseMeter {
    /// When data last arrived.
    arrived_at: Option<Timestamp>,
    /// When the last event was complete.
    event_at: Option<Timestamp>,
    /// Pauses since the last median, in milliseconds.
    pauses: Vec<f64>,
}

impl PauseMeter {
    /// Records that data has arrived.
    pub fn record_arrival(&mut self, now: Timestamp) {
        self.arrived_at = Some(now);
    }

    /// Records that the last arrival completed `events` events. Returns the median pause, in
    /// milliseconds, whenever enough have been observed.
    pub fn record_events(&mut self, events: u64) -> Option<f64> {
        let now = self.arrived_at.filter(|_| events > 0)?;
        if let Some(before) = self.event_at.replace(now) {
            let pause_ms = now.since(before).as_secs_f64() * 1_000.0 / events as f64;
            let count = usize::try_from(events).unwrap_or(PAUSES).min(PAUSES - self.pauses.len());
            self.pauses.extend(std::iter::repeat_n(pause_ms, count));
        }
        if self.pauses.len() < PAUSES {
            return None;
        }
        self.pauses.sort_by(f64::total_cmp);
        let median = self.pauses[PAUSES / 2];
        self.pauses.clear();
        Some(median)
    }
}
