//! Promises not to run requests without their home router.

use std::time::Duration;

use types::{RouterId, RouterName, Timestamp};
use utils::HashMap;

use crate::EARLIER_ATTEMPT_WINDOW;

/// Time for which a promise holds, from when the home router asked for it.
pub const PROMISE_TIME: Duration = Duration::from_secs(2);

/// Time after its last promise from which on a router may run requests alone. Twice the
/// time of a promise, so that clocks may run at different speeds.
pub const PROMISE_WAIT: Duration = Duration::from_secs(4);

/// Most other routers whose promises a home router asks for. With more it vouches for
/// nothing.
pub const PROMISES_MAX: usize = 64;

/// Promises given and received by one router.
///
/// A home router vouches that an attempt is the first of its id only while it has the
/// promises of all others: each of them either asks it before it runs one of its ids, or
/// lets its promise run out first and gives none for [`EARLIER_ATTEMPT_WINDOW`].
#[derive(Debug, Clone, Default)]
pub struct Promises {
    /// When this router last asked each router that has promised.
    received: HashMap<RouterId, Timestamp>,
    /// When this router last promised each home router.
    given: HashMap<RouterName, Timestamp>,
    /// Until when this router promises nothing to a home router.
    refused_until: HashMap<RouterName, Timestamp>,
}

impl Promises {
    /// Notes a promise that was asked for at `asked_at`.
    pub fn on_promise(&mut self, from: &RouterId, asked_at: Timestamp) {
        let last = self.received.entry(from.clone()).or_default();
        *last = asked_at.max(*last);
    }

    /// Tells whether `home` may be given a promise now, and notes it.
    pub fn give(&mut self, home: &RouterName, now: Timestamp) -> bool {
        let is_refused = self.refused_until.get(home).is_some_and(|until| now < *until);
        if !is_refused {
            self.given.insert(home.clone(), now);
        }
        !is_refused
    }

    /// Gives no more promises to `home`, which is out of reach. Returns when this router
    /// may run requests without it.
    pub fn refuse(&mut self, home: &RouterName, now: Timestamp) -> Timestamp {
        self.refused_until.insert(home.clone(), now + EARLIER_ATTEMPT_WINDOW);
        self.given.get(home).map_or(now, |given| *given + PROMISE_WAIT)
    }

    /// Tells whether the promises of all `others` hold.
    pub fn hold(&self, others: &[RouterId], now: Timestamp) -> bool {
        let holds = |id: &RouterId| {
            self.received.get(id).is_some_and(|asked| now.since(*asked) < PROMISE_TIME)
        };
        others.len() <= PROMISES_MAX && others.iter().all(holds)
    }

    /// Forgets routers that are not among `others`.
    pub fn retain(&mut self, others: &[RouterId]) {
        self.received.retain(|id, _| others.contains(id));
    }
}

#[cfg(test)]
mod tests {
    use types::Incarnation;

    use super::*;

    #[test]
    fn router_runs_alone_only_after_its_promise_has_run_out() {
        let home = RouterName::new("home").unwrap();
        let other = RouterId::new(RouterName::new("other").unwrap(), Incarnation(1));
        let (mut at_home, mut at_other) = (Promises::default(), Promises::default());
        let asked = Timestamp::from_millis(10_000);
        assert!(!at_home.hold(std::slice::from_ref(&other), asked));
        assert!(at_other.give(&home, asked));
        at_home.on_promise(&other, asked);
        assert!(at_home.hold(std::slice::from_ref(&other), asked));
        let alone = at_other.refuse(&home, asked + PROMISE_TIME / 2);
        assert!(!at_other.give(&home, alone));
        assert!(!at_home.hold(&[other], alone));
    }
}
