//! Time that the bodies of requests take to arrive.
//!
//! On a full link, datagrams are dropped rather than delayed, so that the delay of what arrives does not show
//! the queue. Bodies of requests wait in it.

use std::time::Duration;

/// Number of bodies in a round from which the shortest time counts. Fewer may all come from slow callers.
const BODIES_MIN: u32 = 4;

/// Times that bodies took to arrive since the last round.
#[derive(Debug, Clone, Copy, Default)]
pub struct BodyTimes {
    /// Number of bodies.
    count: u32,
    /// Shortest time; zero if there was none.
    shortest: Duration,
}

impl BodyTimes {
    /// Records a body that took `time` from the head of its request to its end.
    pub fn record(&mut self, time: Duration) {
        self.shortest = if self.count == 0 { time } else { self.shortest.min(time) };
        self.count += 1;
    }

    /// Ends the round. Returns the time that each body took at least; zero if there were few.
    pub fn take(&mut self) -> Duration {
        let round = std::mem::take(self);
        if round.count >= BODIES_MIN { round.shortest } else { Duration::ZERO }
    }
}
