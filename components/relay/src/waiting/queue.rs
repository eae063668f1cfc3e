//! Queue of the requests that wait for a place at the endpoints of one service.

use std::{sync::Arc, time::Duration};

use routing::{FairQueue, QueuedRequest, WaiterId};
use types::Timestamp;
use utils::HashMap;

use super::{class::WaitingClass, returns::Returns, round::Round, start_time::StartTime};
use crate::rate::Rate;

/// Time over which the rate of places is averaged.
const PLACES_WINDOW: Duration = Duration::from_secs(1);

/// Interval between places that is assumed as long as no longer one is observed, at most. A router
/// with few requests gets places rarely because it rarely asks for one.
const INTERVAL_MAX: Duration = Duration::from_millis(50);

/// Requests of each level that try to get a place in one round, in case the endpoints with room
/// do not suit the first ones.
const HEADS_TRIED: usize = 4;

/// Maximum number of waiting requests of one service.
const QUEUE_MAX: usize = 256;

/// The latency target divided by this is the time after which the wait is estimated again, and
/// for which a request that is late when it arrives waits.
const CHECK_DIVISOR: u32 = 8;

/// The latency target divided by this is the time for which a request waits on after it can no
/// longer be on time, if its turn is expected by then.
const LATE_WAIT_DIVISOR: u32 = 4;

/// A caller's time left divided by this is the longest retry delay that it is told.
const RETRY_DELAY_DIVISOR: u32 = 3;

/// A waiting request.
#[derive(Debug)]
struct Waiting {
    /// What decides its order.
    class: WaitingClass,
    /// When it joined the queue.
    joined_at: Timestamp,
    /// Last moment at which a start still meets the latency target.
    start_by: Timestamp,
    /// When the request is refused at the latest.
    give_up_at: Timestamp,
}

/// Why a request is refused, and when its caller may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the caller is expected to be served.
    pub retry_delay: Duration,
    /// Number of waiting requests that go before it.
    pub ahead: usize,
    /// Expected time between two places.
    pub interval: Duration,
    /// Expected time until its turn.
    pub turn: Duration,
    /// Time for which it has waited.
    pub waited: Duration,
}

/// Requests that wait for a place at the endpoints of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    /// Waiting requests in the order in which they are placed.
    queue: FairQueue<Arc<str>>,
    /// The same requests by identifier.
    waiting: HashMap<WaiterId, Waiting>,
    /// Refusals that have not been passed on to the requests.
    refused: HashMap<WaiterId, Refusal>,
    /// Attempts to get places that may have become free.
    round: Round,
    /// Rate at which this router gets places, in places per second.
    places: Rate,
    /// When it last got a place, or when the queue last became non-empty.
    placed_at: Timestamp,
    /// Callers that were told when to return.
    returns: Returns,
    /// Time before which no further caller is told to return.
    next_return: Timestamp,
    /// Time that endpoints need, keyed by level and whether the answer is a stream.
    start_times: HashMap<(u32, bool), StartTime>,
    /// Identifier that was last given to a request.
    last_id: u64,
}

impl Default for ServiceQueue {
    fn default() -> ServiceQueue {
        ServiceQueue {
            queue: FairQueue::default(),
            waiting: HashMap::default(),
            refused: HashMap::default(),
            round: Round::default(),
            places: Rate::new(PLACES_WINDOW),
            placed_at: Timestamp::ZERO,
            returns: Returns::default(),
            next_return: Timestamp::ZERO,
            start_times: HashMap::default(),
            last_id: 0,
        }
    }
}

impl ServiceQueue {
    /// Adds a request, and refuses those that can no longer be served in time, which may include the
    /// new one. Returns its identifier and the others that were refused.
    pub fn join(
        &mut self,
        class: WaitingClass,
        spread: f64,
        now: Timestamp,
    ) -> (WaiterId, Vec<WaiterId>) {
        self.last_id += 1;
        let id = WaiterId(self.last_id);
        if self.queue.is_empty() {
            self.placed_at = now;
        }
        let target = class.latency_target;
        let start_time = self.start_times.entry((class.level, class.is_stream)).or_default();
        let start_by = class.received_at + target.saturating_sub(start_time.reserve(target));
        let give_up_at = if start_by > now {
            start_by + target / LATE_WAIT_DIVISOR
        } else {
            now + target / CHECK_DIVISOR
        };
        let give_up_at = give_up_at.min(class.deadline);
        let is_returned = self.returns.take(&class.account, &class.route, now);
        let request = QueuedRequest {
            id,
            account: class.account.clone(),
            weight: 1,
            level: class.level,
            cost: class.cost,
            start_by,
            deadline: class.deadline,
            is_returned,
        };
        self.queue.push(&request, now);
        self.waiting.insert(id, Waiting { class, joined_at: now, start_by, give_up_at });
        let mut refused = self.refuse_hopeless(spread, now);
        refused.retain(|it| *it != id);
        (id, refused)
    }

    /// Refuses the requests whose turn is not expected in time. Returns them.
    pub fn refuse_hopeless(&mut self, spread: f64, now: Timestamp) -> Vec<WaiterId> {
        self.queue.defer_late(now);
        let interval = self.interval(now);
        let mut refused = Vec::new();
        let mut ahead = 0;
        for id in self.queue.order(usize::MAX, now) {
            let waiting = &self.waiting[&id];
            let turn = now + interval.saturating_mul(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
            let is_in_time = if ahead == 0 {
                now < waiting.give_up_at
            } else if waiting.start_by > now {
                turn <= waiting.start_by
            } else {
                turn <= waiting.give_up_at
            };
            if is_in_time && ahead < QUEUE_MAX {
                ahead += 1;
                continue;
            }
            self.refuse(id, ahead, interval, spread, now);
            refused.push(id);
        }
        refused
    }

    fn refuse(
        &mut self,
        id: WaiterId,
        ahead: usize,
        interval: Duration,
        spread: f64,
        now: Timestamp,
    ) {
        let Some(Waiting { class, joined_at, .. }) = self.waiting.remove(&id) else { return };
        self.queue.remove(id);
        let turn = interval.saturating_mul(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
        let longest = class.deadline.since(now) / RETRY_DELAY_DIVISOR;
        let return_at = self.next_return.max(now + turn);
        let retry_delay = if return_at.since(now) <= longest {
            self.next_return = return_at + interval;
            return_at.since(now)
        } else {
            longest.mul_f64(spread)
        };
        self.returns.expect(&class.account, &class.route, now + retry_delay, now);
        let waited = now.since(joined_at);
        self.refused.insert(id, Refusal { retry_delay, ahead, interval, turn, waited });
    }

    /// Returns the expected time between two places: as observed, but not less than the time
    /// since the last one.
    fn interval(&self, now: Timestamp) -> Duration {
        let rate = self.places.get(now);
        let mean_s = if rate > 0.0 { 1.0 / rate } else { INTERVAL_MAX.as_secs_f64() };
        let mean = Duration::from_secs_f64(mean_s.min(INTERVAL_MAX.as_secs_f64()));
        if self.queue.is_empty() { mean } else { mean.max(now.since(self.placed_at)) }
    }

    /// Returns the refusal of a request that has been refused, once.
    pub fn take_refusal(&mut self, id: WaiterId) -> Option<Refusal> {
        self.refused.remove(&id)
    }

    /// Returns when the wait of a request has to be estimated again; `None` if it does not wait.
    pub fn check_at(&self, id: WaiterId, now: Timestamp) -> Option<Timestamp> {
        let waiting = self.waiting.get(&id)?;
        let check_at = waiting.joined_at + waiting.class.latency_target / CHECK_DIVISOR;
        let times = [check_at, waiting.start_by, waiting.give_up_at];
        Some(times.into_iter().filter(|it| *it > now).min().unwrap_or(now))
    }

    /// Begins a round after places may have become free. Returns the request that is to try.
    pub fn begin_round(&mut self, now: Timestamp) -> Option<WaiterId> {
        if self.queue.is_empty() || !self.round.begin(now) {
            return None;
        }
        self.next(now)
    }

    /// Begins a round after a report of another router, unless there was one a short while ago.
    pub fn begin_round_by_report(&mut self, now: Timestamp) -> Option<WaiterId> {
        if self.round.is_due(now) { self.begin_round(now) } else { None }
    }

    fn next(&mut self, now: Timestamp) -> Option<WaiterId> {
        self.queue.defer_late(now);
        let levels = self.queue.grant_order(now);
        let heads = levels.into_iter().flat_map(|it| self.queue.heads(it, HEADS_TRIED));
        let heads: Vec<WaiterId> = heads.collect();
        self.round.next(&heads)
    }

    /// Records that a request found no place. Returns the one that is to try next.
    pub fn record_no_place(&mut self, id: WaiterId, now: Timestamp) -> Option<WaiterId> {
        if self.round.end_attempt(id, false, now) { self.next(now) } else { None }
    }

    /// Removes a request that got a place. Returns the one that is to try next.
    pub fn record_place(&mut self, id: WaiterId, now: Timestamp) -> Option<WaiterId> {
        self.queue.grant(id, now);
        self.waiting.remove(&id);
        self.refused.remove(&id);
        self.record_direct_place(now);
        if self.round.end_attempt(id, true, now) { self.next(now) } else { None }
    }

    /// Removes a request that left. Returns the one that is to try next.
    pub fn leave(&mut self, id: WaiterId, now: Timestamp) -> Option<WaiterId> {
        self.queue.remove(id);
        self.waiting.remove(&id);
        self.refused.remove(&id);
        self.record_no_place(id, now)
    }

    /// Records that a request got a place without waiting.
    pub fn record_direct_place(&mut self, now: Timestamp) {
        self.places.add(1.0, now);
        self.placed_at = now;
    }

    /// Records the time from sending a request to its answer or its first event.
    pub fn record_start_time(&mut self, level: u32, is_stream: bool, time: Duration) {
        self.start_times.entry((level, is_stream)).or_default().record(time);
    }

    /// Reports whether requests wait that go before new ones of this level.
    pub fn has_waiters(&self, level: u32) -> bool {
        self.queue.has_waiters(level)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Reports whether a request is waiting and has not been refused.
    pub fn is_waiting(&self, id: WaiterId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Reports whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
