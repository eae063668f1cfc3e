//! Refused callers and when they were told to return.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::HashMap;

/// Time before and after the stated moment in which a caller counts as returning.
const EARLY_MAX: Duration = Duration::from_millis(20);
const LATE_MAX: Duration = Duration::from_millis(250);

/// Maximum number of expected returns.
const RETURNS_MAX: usize = 256;

/// Expected returns by account and route, as a request has another id when it returns.
#[derive(Debug, Default)]
pub(super) struct Returns {
    /// Moments, keyed by account and route.
    expected: HashMap<(Arc<str>, Arc<str>), Vec<Timestamp>>,
    /// Number of moments.
    len: usize,
}

impl Returns {
    /// Records that a caller was told to return at `at`.
    pub(super) fn expect(
        &mut self,
        account: &Arc<str>,
        route: &Arc<str>,
        at: Timestamp,
        now: Timestamp,
    ) {
        if self.len >= RETURNS_MAX {
            self.expire(now);
        }
        if self.len < RETURNS_MAX {
            self.expected.entry((account.clone(), route.clone())).or_default().push(at);
            self.len += 1;
        }
    }

    /// Reports whether a request of this account and route was told to return about now; one
    /// request for each that was told so.
    pub(super) fn take(&mut self, account: &Arc<str>, route: &Arc<str>, now: Timestamp) -> bool {
        if self.len == 0 {
            return false;
        }
        let key = (account.clone(), route.clone());
        let Some(moments) = self.expected.get_mut(&key) else { return false };
        let is_due = |at: &Timestamp| *at <= now + EARLY_MAX && now <= *at + LATE_MAX;
        let Some(index) = moments.iter().position(is_due) else { return false };
        moments.swap_remove(index);
        self.len -= 1;
        if moments.is_empty() {
            self.expected.remove(&key);
        }
        true
    }

    fn expire(&mut self, now: Timestamp) {
        self.expected.retain(|_, moments| {
            moments.retain(|at| now <= *at + LATE_MAX);
            !moments.is_empty()
        });
        self.len = self.expected.values().map(Vec::len).sum();
    }
}
