//! What a router knows of its own room, and what it refuses.

use std::time::Duration;

use types::Timestamp;

use super::{ArrivalDelay, BodyTimes, Bound, RoomMeter, RoomSample, RouterRoom};
use crate::units::millis;

/// Delay above which requests of lower priority are refused. A caller is served sooner by another router.
const REFUSE_LOW_PRIORITY_DELAY: Duration = Duration::from_millis(250);

/// Delay above which all new requests are refused: what is carried already takes all there is.
const REFUSE_ALL_DELAY: Duration = Duration::from_millis(500);

/// Share of the link in use below which a delay has another cause, such as the clocks of
/// other routers, and nothing is refused.
const BUSY_SHARE: f64 = 0.5;

/// The room of this router.
#[derive(Debug)]
pub struct RoomBook {
    room: RouterRoom,
    meter: RoomMeter,
    /// Delay of what arrives.
    pub delay: ArrivalDelay,
    /// Times that bodies of requests took to arrive.
    pub bodies: BodyTimes,
    /// Whether the hosts of the fleet differ, so that room counts.
    pub is_in_use: bool,
    /// Whether the last readings led to refusals.
    is_refusing: bool,
}

impl RoomBook {
    /// Creates the book of a process on a host with the limits in `room`.
    pub fn new(room: RouterRoom) -> RoomBook {
        RoomBook {
            room,
            meter: RoomMeter::default(),
            delay: ArrivalDelay::default(),
            bodies: BodyTimes::default(),
            is_in_use: false,
            is_refusing: false,
        }
    }

    /// Returns the current room.
    pub fn room(&self) -> RouterRoom {
        self.room
    }

    /// Adds readings of the counters.
    pub fn update(&mut self, sample: RoomSample, now: Timestamp) {
        let arrival_delay = self.delay.get(now).max(self.bodies.take());
        self.delay.expire(now);
        self.meter.update(RoomSample { arrival_delay, ..sample }, now, &mut self.room);
        let refused = self.refuses(u32::MAX);
        if refused.is_some() != self.is_refusing {
            self.is_refusing = refused.is_some();
            let (used, bound) = self.used_resource();
            log::info!(refusing = self.is_refusing, used:% = format!("{used:.2}"), bound = bound.label(), delay_ms = millis(self.room.delay); "router refuses requests because it is full, or no longer does");
        }
    }

    /// Returns how long a request that has been read now has waited on the way; zero unless the host is
    /// busy.
    pub fn arrival_wait(&self) -> Duration {
        if self.is_busy() { self.room.delay } else { Duration::ZERO }
    }

    /// Returns what bounds this router if it refuses a new request of this priority, of which 0 is the
    /// most urgent; `None` if it accepts the request.
    pub fn refuses(&self, priority: u32) -> Option<Bound> {
        let limit = if priority == 0 { REFUSE_ALL_DELAY } else { REFUSE_LOW_PRIORITY_DELAY };
        (self.is_busy() && self.room.delay >= limit).then(|| self.used_resource().1)
    }

    /// Returns the share of the link in use, leaving the delay out.
    fn used_resource(&self) -> (f64, Bound) {
        RouterRoom { delay: Duration::ZERO, ..self.room }.used_share()
    }

    fn is_busy(&self) -> bool {
        self.is_in_use && self.used_resource().0 >= BUSY_SHARE
    }
}
