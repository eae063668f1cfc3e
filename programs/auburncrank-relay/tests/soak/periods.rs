//! Periods in which something was disturbed.

use tokio::time::Instant;

/// Periods by what was disturbed, such as a router's address or an endpoint's id.
#[derive(Debug)]
pub(crate) struct Periods<K>(Vec<(K, Instant, Instant)>);

impl<K> Default for Periods<K> {
    fn default() -> Periods<K> {
        Periods(Vec::new())
    }
}

impl<K: PartialEq> Periods<K> {
    pub(crate) fn add(&mut self, of: K, from: Instant, until: Instant) {
        self.0.push((of, from, until));
    }

    /// Returns whether a period of `of` has any time between `from` and `until`.
    pub(crate) fn overlap(&self, of: &K, from: Instant, until: Instant) -> bool {
        self.0.iter().any(|it| it.0 == *of && it.1 <= until && it.2 >= from)
    }
}
