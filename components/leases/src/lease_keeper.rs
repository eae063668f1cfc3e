//! The state machine of one contender for a lease.

use platform::{Commit, CommitOutcome, Key, Precondition, Revision, Write};
use types::{FencingNumber, RouterId, Timestamp};

use crate::{LeaseRow, LeaseSettings, lease_key};

/// One contender for a lease. Its carrier reads the lease's row every few seconds,
/// passes it in, and performs the commit that comes back.
#[derive(Debug, Clone)]
pub struct LeaseContender {
    /// Key of the lease's row.
    key: Key,
    /// This process.
    me: RouterId,
    /// Settings.
    settings: LeaseSettings,
    /// Row of another holder as it was last seen.
    observed: Option<Observed>,
    /// Lease held here.
    held: Option<Held>,
    /// Write whose effect is not known yet.
    sent: Option<SentWrite>,
}

/// Row of another holder as it was last seen.
#[derive(Debug, Clone)]
struct Observed {
    /// The row.
    row: LeaseRow,
    /// When it was first seen so.
    since: Timestamp,
}

/// Lease held here.
#[derive(Debug, Clone, Copy)]
struct Held {
    /// Fencing number.
    fencing: FencingNumber,
    /// Until when the holder may act.
    until: Timestamp,
}

/// A write that was handed out.
#[derive(Debug, Clone)]
struct SentWrite {
    /// The row written.
    row: LeaseRow,
    /// Revision that the write replaces; `None` where it inserts the row.
    base: Option<Revision>,
    /// When the write was handed out, or the first of several equal ones.
    at: Timestamp,
}

impl LeaseContender {
    /// Creates the contender `me` for the lease of `job`.
    pub fn new(job: &str, me: RouterId, settings: LeaseSettings) -> LeaseContender {
        LeaseContender { key: lease_key(job), me, settings, observed: None, held: None, sent: None }
    }

    /// Returns the key of the lease's row.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Returns the fencing number under which this process may act at `now`, if it holds
    /// the lease then. To be asked before every action, as the process may have been
    /// paused since it last knew.
    pub fn held(&self, now: Timestamp) -> Option<FencingNumber> {
        self.held.filter(|held| now < held.until).map(|held| held.fencing)
    }

    /// Takes the row as it was read after `now`; returns the commit that acquires or
    /// renews the lease, if it is to be tried. The outcome goes to
    /// [`on_outcome`](LeaseContender::on_outcome).
    pub fn on_read(&mut self, now: Timestamp, row: Option<(LeaseRow, Revision)>) -> Option<Commit> {
        self.settle_sent(row.as_ref());
        let Some((row, revision)) = row else {
            return Some(self.write(now, None, FencingNumber(1), 1));
        };
        if row.holder == self.me && !row.released {
            self.observed = None;
            return Some(self.write(now, Some(revision), row.fencing, row.heartbeat + 1));
        }
        self.held = None;
        let is_same = self.observed.as_ref().is_some_and(|observed| observed.row == row);
        if !is_same {
            self.observed = Some(Observed { row: row.clone(), since: now });
        }
        let since = self.observed.as_ref().map_or(now, |observed| observed.since);
        let is_lapsed = now.since(since) >= self.settings.duration + self.settings.margin;
        if !row.released && !is_lapsed {
            return None;
        }
        let fencing = FencingNumber(row.fencing.0 + 1);
        Some(self.write(now, Some(revision), fencing, 1))
    }

    /// Takes the outcome of the commit that was returned last.
    pub fn on_outcome(&mut self, outcome: &CommitOutcome) {
        match outcome {
            CommitOutcome::Committed(_) => {
                if let Some(sent) = self.sent.take() {
                    self.hold(&sent);
                }
            }
            CommitOutcome::Conflict(_) | CommitOutcome::NotApplied(_) => self.sent = None,
            // The next read tells.
            CommitOutcome::Unknown => {}
        }
    }

    /// Gives the lease up at once; returns the commit that lets others take it.
    pub fn release(&mut self, row: Option<(LeaseRow, Revision)>) -> Option<Commit> {
        (self.held, self.sent) = (None, None);
        let (row, revision) = row.filter(|(row, _)| row.holder == self.me && !row.released)?;
        let released = LeaseRow { released: true, ..row };
        Some(Commit {
            preconditions: vec![Precondition::Revision(self.key.clone(), revision)],
            writes: vec![Write::put(self.key.clone(), &released)],
        })
    }

    /// Finds out what became of a write whose answer was lost.
    fn settle_sent(&mut self, row: Option<&(LeaseRow, Revision)>) {
        let Some(sent) = self.sent.take() else { return };
        if row.is_some_and(|(row, _)| *row == sent.row) {
            self.hold(&sent);
        } else if row.map(|(_, revision)| *revision) == sent.base {
            // It may still take effect.
            self.sent = Some(sent);
        }
    }

    fn hold(&mut self, sent: &SentWrite) {
        let until = sent.at + self.settings.duration;
        self.held = Some(Held { fencing: sent.row.fencing, until });
    }

    fn write(
        &mut self,
        now: Timestamp,
        base: Option<Revision>,
        fencing: FencingNumber,
        heartbeat: u64,
    ) -> Commit {
        let row = LeaseRow { holder: self.me.clone(), fencing, heartbeat, released: false };
        let precondition = match base {
            Some(revision) => Precondition::Revision(self.key.clone(), revision),
            None => Precondition::Absent(self.key.clone()),
        };
        let commit = Commit {
            preconditions: vec![precondition],
            writes: vec![Write::put(self.key.clone(), &row)],
        };
        // Of two equal writes the first may be the one that takes effect.
        let earlier = self.sent.take().filter(|sent| sent.row == row && sent.base == base);
        let at = earlier.map_or(now, |sent| sent.at);
        self.sent = Some(SentWrite { row, base, at });
        commit
    }
}
