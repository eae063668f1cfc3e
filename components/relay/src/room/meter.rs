//! Computes a router's room from counters.

use std::time::Duration;

use types::Timestamp;

use super::RouterRoom;

/// Time constant over which use is averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(600);

/// Readings of the counters of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoomSample {
    /// Bytes received since the start.
    pub received_bytes: u64,
    /// Bytes sent since the start.
    pub sent_bytes: u64,
    /// Time by which a timer was late.
    pub timer_late: Duration,
    /// Delay of what arrives; see [`ArrivalDelay`](super::ArrivalDelay).
    pub arrival_delay: Duration,
}

/// Averages the use of a router's host.
#[derive(Debug, Default)]
pub struct RoomMeter {
    /// The last readings, and when they were taken.
    last: Option<(RoomSample, Timestamp)>,
    bytes_per_s: f64,
}

impl RoomMeter {
    /// Adds the readings of `now` and updates what `room` says is in use.
    pub fn update(&mut self, sample: RoomSample, now: Timestamp, room: &mut RouterRoom) {
        if let Some((last, at)) = self.last {
            let seconds = now.since(at).as_secs_f64().max(0.001);
            let weight = 1.0 - (-seconds / AVERAGING_TIME.as_secs_f64()).exp();
            let received = sample.received_bytes.saturating_sub(last.received_bytes);
            let sent = sample.sent_bytes.saturating_sub(last.sent_bytes);
            self.bytes_per_s += ((received + sent) as f64 / seconds - self.bytes_per_s) * weight;
        }
        self.last = Some((sample, now));
        room.used_bytes_per_s = self.bytes_per_s;
        room.delay = sample.arrival_delay.max(sample.timer_late);
    }
}
