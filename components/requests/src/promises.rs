//! Promises of routers not to run requests without asking the home router.

use std::time::Duration;

use types::{RouterId, RouterName, Timestamp};
use utils::HashMap;

use crate::EARLIER_ATTEMPT_WINDOW;

/// Time for which a promise is valid, counted from when the home router asked for it.
pub const PROMISE_DURATION: Duration = Duration::from_secs(2);

/// Time that a router waits after its last promise before it runs requests without asking the home
/// router. Twice the validity of a promise, to allow for clocks that run at different speeds.
pub const PROMISE_EXPIRY_WAIT: Duration = Duration::from_secs(4);

/// Maximum number of other routers from which a home router collects promises. If there are more,
/// it never confirms that an attempt is the first one.
pub const PROMISES_MAX: usize = 64;

/// Promises given and received by one router.
///
/// A home router confirms that an attempt is the first one of its request id only while it has
/// valid promises of all other routers. A router that has given a promise asks the home router
/// before it runs one of the home router's requests. If it cannot reach the home router, it gives
/// no new promise for [`EARLIER_ATTEMPT_WINDOW`] and lets the last one expire before it runs the
/// request.
#[derive(Debug, Clone, Default)]
pub struct Promises {
    /// When this router asked for the latest promise received from each router.
    received: HashMap<RouterId, Timestamp>,
    /// When this router last gave a promise to each home router.
    given: HashMap<RouterName, Timestamp>,
    /// Until when this router gives no promises to a home router.
    refused_until: HashMap<RouterName, Timestamp>,
}

impl Promises {
    /// Records a promise that was asked for at `asked_at`.
    pub fn on_promise(&mut self, from: &RouterId, asked_at: Timestamp) {
        let last = self.received.entry(from.clone()).or_default();
        *last = asked_at.max(*last);
    }

    /// Returns whether a promise can be given to `home` now, and records it if so.
    pub fn try_give(&mut self, home: &RouterName, now: Timestamp) -> bool {
        let is_refused = self.refused_until.get(home).is_some_and(|until| now < *until);
        if !is_refused {
            self.given.insert(home.clone(), now);
        }
        !is_refused
    }

    /// Stops giving promises to `home`, which is unreachable. Returns the time from which this
    /// router may run requests without asking it.
    pub fn refuse(&mut self, home: &RouterName, now: Timestamp) -> Timestamp {
        self.refused_until.insert(home.clone(), now + EARLIER_ATTEMPT_WINDOW);
        self.given.get(home).map_or(now, |given| *given + PROMISE_EXPIRY_WAIT)
    }

    /// Returns whether the promises of all `others` are valid at `now`.
    pub fn are_all_valid(&self, others: &[RouterId], now: Timestamp) -> bool {
        let is_valid = |id: &RouterId| {
            self.received.get(id).is_some_and(|asked| now.since(*asked) < PROMISE_DURATION)
        };
        others.len() <= PROMISES_MAX && others.iter().all(is_valid)
    }

    /// Removes the promises received from routers that are not in `others`.
    pub fn retain(&mut self, others: &[RouterId]) {
        self.received.retain(|id, _| others.contains(id));
    }
}

#[cfg(test)]
#[path = "promises_tests.rs"]
mod tests;
