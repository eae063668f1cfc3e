//! State machine of a process that competes for a lease.

use platform::{Commit, CommitOutcome, Key, Precondition, Revision, Write};
use types::{FencingNumber, RouterId, Timestamp};

use crate::{LeaseRow, LeaseSettings, lease_key};

/// State machine of a process that competes for a lease. The caller reads the row of the lease
/// every few seconds, passes it in, and performs the commit that is returned.
#[derive(Debug, Clone)]
pub struct LeaseContender {
    /// Key of the row of the lease.
    key: Key,
    /// This process.
    local: RouterId,
    settings: LeaseSettings,
    /// Last row of another holder.
    observed: Option<ObservedRow>,
    /// Lease held by this process.
    held: Option<HeldLease>,
    /// Write whose outcome is not known yet.
    pending_write: Option<PendingWrite>,
}

/// Row of another holder.
#[derive(Debug, Clone)]
struct ObservedRow {
    /// Content of the row when it was last read.
    row: LeaseRow,
    /// When this content was first seen.
    since: Timestamp,
}

/// Lease held by this process.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    /// Fencing number to act under.
    fencing: FencingNumber,
    /// When the permission to act ends.
    until: Timestamp,
}

/// Write returned to the caller as a commit.
#[derive(Debug, Clone)]
struct PendingWrite {
    /// Row to write.
    row: LeaseRow,
    /// Revision that the write replaces; `None` if it inserts the row.
    base: Option<Revision>,
    /// When the commit was first returned. An unchanged repetition keeps this time.
    at: Timestamp,
}

impl LeaseContender {
    /// Creates a contender for the lease of `job`. `local` is this process.
    pub fn new(job: &str, local: RouterId, settings: LeaseSettings) -> LeaseContender {
        LeaseContender {
            key: lease_key(job),
            local,
            settings,
            observed: None,
            held: None,
            pending_write: None,
        }
    }

    /// Returns the key of the row of the lease.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Returns the fencing number under which this process may act at `now`, or `None` if it does
    /// not hold the lease then. Must be called before every action, because the process may have
    /// been paused since the last call.
    pub fn held(&self, now: Timestamp) -> Option<FencingNumber> {
        self.held.filter(|held| now < held.until).map(|held| held.fencing)
    }

    /// Handles the row of the lease, which must have been read after `now`. Returns the commit that
    /// acquires or renews the lease, if one is due. Its outcome must be passed to
    /// [`on_outcome`](LeaseContender::on_outcome).
    pub fn on_read(&mut self, now: Timestamp, row: Option<(LeaseRow, Revision)>) -> Option<Commit> {
        self.resolve_pending_write(row.as_ref());
        let Some((row, revision)) = row else {
            return Some(self.write(now, None, FencingNumber(1), 1));
        };
        if row.holder == self.local && !row.released {
            self.observed = None;
            return Some(self.write(now, Some(revision), row.fencing, row.heartbeat + 1));
        }
        self.held = None;
        let is_same = self.observed.as_ref().is_some_and(|observed| observed.row == row);
        if !is_same {
            self.observed = Some(ObservedRow { row: row.clone(), since: now });
        }
        let since = self.observed.as_ref().map_or(now, |observed| observed.since);
        let is_expired = now.since(since) >= self.settings.duration + self.settings.margin;
        if !row.released && !is_expired {
            return None;
        }
        let fencing = FencingNumber(row.fencing.0 + 1);
        Some(self.write(now, Some(revision), fencing, 1))
    }

    /// Handles the outcome of the commit that was returned last.
    pub fn on_outcome(&mut self, outcome: &CommitOutcome) {
        match outcome {
            CommitOutcome::Committed(_) => {
                if let Some(pending_write) = self.pending_write.take() {
                    self.record_held(&pending_write);
                }
            }
            CommitOutcome::Conflict(_) | CommitOutcome::NotApplied(_) => self.pending_write = None,
            // The next read shows whether the commit took effect.
            CommitOutcome::Unknown => {}
        }
    }

    /// Stops holding the lease immediately. Returns the commit that lets others acquire it without
    /// waiting; `None` if the row is missing, names another holder or is already released.
    pub fn release(&mut self, row: Option<(LeaseRow, Revision)>) -> Option<Commit> {
        (self.held, self.pending_write) = (None, None);
        let (row, revision) = row.filter(|(row, _)| row.holder == self.local && !row.released)?;
        let released = LeaseRow { released: true, ..row };
        Some(Commit {
            preconditions: vec![Precondition::Revision(self.key.clone(), revision)],
            writes: vec![Write::put(self.key.clone(), &released)],
        })
    }

    /// Determines from the row that was read whether a write whose answer was lost took effect.
    fn resolve_pending_write(&mut self, row: Option<&(LeaseRow, Revision)>) {
        let Some(pending_write) = self.pending_write.take() else { return };
        if row.is_some_and(|(row, _)| *row == pending_write.row) {
            self.record_held(&pending_write);
        } else if row.map(|(_, revision)| *revision) == pending_write.base {
            // The write may still take effect.
            self.pending_write = Some(pending_write);
        }
    }

    fn record_held(&mut self, pending_write: &PendingWrite) {
        let until = pending_write.at + self.settings.duration;
        self.held = Some(HeldLease { fencing: pending_write.row.fencing, until });
    }

    fn write(
        &mut self,
        now: Timestamp,
        base: Option<Revision>,
        fencing: FencingNumber,
        heartbeat: u64,
    ) -> Commit {
        let row = LeaseRow { holder: self.local.clone(), fencing, heartbeat, released: false };
        let precondition = match base {
            Some(revision) => Precondition::Revision(self.key.clone(), revision),
            None => Precondition::Absent(self.key.clone()),
        };
        let commit = Commit {
            preconditions: vec![precondition],
            writes: vec![Write::put(self.key.clone(), &row)],
        };
        // If the same write is repeated, the first commit may be the one that takes effect, so the
        // lease counts from then.
        let earlier = self
            .pending_write
            .take()
            .filter(|pending_write| pending_write.row == row && pending_write.base == base);
        let at = earlier.map_or(now, |pending_write| pending_write.at);
        self.pending_write = Some(PendingWrite { row, base, at });
        commit
    }
}
