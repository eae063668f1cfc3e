//! Measures how long datagrams wait on this host's link and in its event loop before they are handled.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::HashMap;

/// Time over which the smallest transit times are kept: half of it at least, all of it at most. Longer
/// than a busy period, since a queue that is as long all the time cannot be told from distance.
const BASE_TIME: Duration = Duration::from_secs(60);

/// Time for which a measurement counts.
const FRESH_TIME: Duration = Duration::from_millis(1_000);

/// Number of other routers whose datagrams have to agree: the clock of one that was suspended is behind.
const SENDERS_MIN: usize = 2;

/// Transit times from another router, all with the same unknown difference between the two clocks.
#[derive(Debug, Clone, Copy)]
struct Transit {
    /// Random number of the sender's process, whose clock it is.
    process: u64,
    /// Smallest transit time in the current half of the base time, in milliseconds.
    least: i64,
    /// The same in the half before.
    least_before: i64,
    /// When the current half began.
    began_at: Timestamp,
    /// Transit time of the last datagram above the smallest, in milliseconds.
    excess: i64,
    /// When it arrived.
    at: Timestamp,
}

/// The delay of what arrives: by how much the transit times of other routers' datagrams exceed the
/// smallest ones, as LEDBAT (RFC 6817) measures queues. The clocks need not agree.
#[derive(Debug, Default)]
pub struct ArrivalDelay {
    /// Transit times by the sender's name.
    transits: HashMap<Arc<str>, Transit>,
}

impl ArrivalDelay {
    /// Records a datagram that arrived at `now` and that its sender sent at `sent_ms` by the clock of its
    /// process.
    pub fn record(&mut self, sender: &Arc<str>, process: u64, sent_ms: u64, now: Timestamp) {
        let sent = i64::try_from(sent_ms).unwrap_or(i64::MAX);
        let transit = i64::try_from(now.0 / 1_000).unwrap_or(i64::MAX).saturating_sub(sent);
        let new = Transit {
            process,
            least: transit,
            least_before: transit,
            began_at: now,
            excess: 0,
            at: now,
        };
        let known = self.transits.entry(sender.clone()).or_insert(new);
        if known.process != process {
            *known = new;
        }
        if now.since(known.began_at) >= BASE_TIME / 2 {
            known.least_before = known.least;
            known.least = transit;
            known.began_at = now;
        }
        known.least = known.least.min(transit);
        known.excess = transit - known.least.min(known.least_before);
        known.at = now;
    }

    /// Returns the delay: the smallest that a router's last datagram shows. Zero if too few have arrived
    /// of late.
    pub fn get(&self, now: Timestamp) -> Duration {
        let fresh = self.transits.values().filter(|it| now.since(it.at) <= FRESH_TIME);
        let excesses: Vec<i64> = fresh.map(|it| it.excess).collect();
        if excesses.len() < SENDERS_MIN {
            return Duration::ZERO;
        }
        let least = excesses.into_iter().min().unwrap_or_default();
        Duration::from_millis(u64::try_from(least).unwrap_or_default())
    }

    /// Forgets routers of which nothing has arrived within the base time.
    pub fn expire(&mut self, now: Timestamp) {
        self.transits.retain(|_, it| now.since(it.at) < BASE_TIME);
    }
}
