//! Quarantine of content that crashes endpoints.
//!
//! Content means the content of a request, identified by its digest. It is said to run while
//! a request with this content runs on an endpoint.

use std::{collections::BTreeSet, time::Duration};

use types::{EndpointName, Timestamp};
use utils::{Digest, HashMap, HashSet};

/// Lost endpoints after which content is quarantined if it ran alone at one of the losses.
const LOSSES_MIN: usize = 2;

/// Lost endpoints after which content is quarantined even if it never ran alone.
const LOSSES_MAX: usize = 4;

/// Time without a change after which a crash record is dropped, unless its content is
/// quarantined.
const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// Crash records kept. Beyond that, the oldest of those not quarantined is dropped first.
const RECORDS_MAX: usize = 4_096;

/// Whether requests with some content may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The content may run normally.
    Clear,
    /// An endpoint was lost while the content ran; it must run alone on an endpoint next.
    Suspect,
    /// Requests with the content are refused.
    Quarantined,
}

/// Endpoints that were lost while some content ran on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Digest of the content.
    pub fingerprint: Digest,
    /// Endpoints lost while the content ran; at most `LOSSES_MAX`.
    pub endpoints: BTreeSet<EndpointName>,
    /// Whether the content was the only one on the endpoint at one of the losses.
    pub was_alone: bool,
    /// Whether an endpoint was lost before the first token, so that the content must run
    /// alone next.
    pub needs_trial: bool,
}

impl CrashRecord {
    /// Returns the verdict based on this record alone, without the operators' lists.
    pub fn verdict(&self) -> Verdict {
        let losses = self.endpoints.len();
        if losses >= LOSSES_MAX || (losses >= LOSSES_MIN && self.was_alone) {
            Verdict::Quarantined
        } else if self.needs_trial || losses >= LOSSES_MIN {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }

    fn new(fingerprint: Digest) -> CrashRecord {
        CrashRecord {
            fingerprint,
            endpoints: BTreeSet::new(),
            was_alone: false,
            needs_trial: false,
        }
    }

    /// Merges `other` into this record. Merging is commutative and idempotent.
    fn merge(&mut self, other: &CrashRecord) {
        self.endpoints.extend(other.endpoints.iter().cloned());
        while self.endpoints.len() > LOSSES_MAX {
            self.endpoints.pop_last();
        }
        self.was_alone |= other.was_alone;
        self.needs_trial |= other.needs_trial;
    }
}

/// Crash records, observed by this router or received from its peers, and the operators'
/// lists.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Crash records with the time of their last change.
    records: HashMap<Digest, (CrashRecord, Timestamp)>,
    /// Digests of content quarantined by operators.
    listed: HashSet<Digest>,
    /// Digests of content released by operators.
    released: HashSet<Digest>,
}

impl Quarantine {
    /// Replaces the operators' lists. The crash records of released content are dropped, so
    /// that losses before the release do not quarantine it again.
    pub fn set_operator_lists(&mut self, listed: HashSet<Digest>, released: HashSet<Digest>) {
        self.records.retain(|fingerprint, _| !released.contains(fingerprint));
        self.listed = listed;
        self.released = released;
    }

    /// Reports whether there are neither crash records nor content quarantined by
    /// operators.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.listed.is_empty()
    }

    /// Returns the verdict on some content. The operators' lists override the crash records.
    pub fn verdict(&self, fingerprint: &Digest) -> Verdict {
        if self.listed.contains(fingerprint) {
            return Verdict::Quarantined;
        }
        if self.released.contains(fingerprint) {
            return Verdict::Clear;
        }
        self.records.get(fingerprint).map_or(Verdict::Clear, |(record, _)| record.verdict())
    }

    /// Records that `endpoint` was lost while the content ran. `had_first_token` means
    /// that the endpoint had processed the prompt without crashing. Returns the crash
    /// record if it changed; the caller sends it to the other routers.
    pub fn on_loss(
        &mut self,
        fingerprint: Digest,
        endpoint: &EndpointName,
        had_first_token: bool,
        was_alone: bool,
        now: Timestamp,
    ) -> Option<CrashRecord> {
        let mut loss = CrashRecord::new(fingerprint);
        loss.endpoints.insert(endpoint.clone());
        loss.was_alone = was_alone;
        loss.needs_trial = !had_first_token;
        self.merge(&loss, now).then(|| self.records[&fingerprint].0.clone())
    }

    /// Records that the content ran without losing its endpoint. Removes its crash record,
    /// unless the content is quarantined.
    pub fn on_survived(&mut self, fingerprint: &Digest) {
        if self.verdict(fingerprint) != Verdict::Quarantined {
            self.records.remove(fingerprint);
        }
    }

    /// Merges the crash record of another router. Returns whether it changed the local
    /// record.
    pub fn merge(&mut self, record: &CrashRecord, now: Timestamp) -> bool {
        if self.released.contains(&record.fingerprint) {
            return false;
        }
        let fresh = || (CrashRecord::new(record.fingerprint), now);
        let entry = self.records.entry(record.fingerprint).or_insert_with(fresh);
        let before = entry.0.clone();
        entry.0.merge(record);
        let changed = entry.0 != before;
        if changed {
            entry.1 = now;
        }
        self.evict_excess_records(now);
        changed && self.records.contains_key(&record.fingerprint)
    }

    /// Returns the crash records of quarantined content, sorted by fingerprint. Content
    /// that only operators have listed is not included.
    pub fn quarantined(&self) -> Vec<CrashRecord> {
        let records = self.records.values().map(|(record, _)| record);
        let mut found: Vec<CrashRecord> =
            records.filter(|it| it.verdict() == Verdict::Quarantined).cloned().collect();
        found.sort_by_key(|it| it.fingerprint);
        found
    }

    /// Drops the crash records that have not changed for `SUSPICION_TIME`, except those
    /// of quarantined content.
    pub fn expire(&mut self, now: Timestamp) {
        self.records.retain(|_, (record, changed_at)| {
            record.verdict() == Verdict::Quarantined || now.since(*changed_at) < SUSPICION_TIME
        });
    }

    fn evict_excess_records(&mut self, now: Timestamp) {
        if self.records.len() <= RECORDS_MAX {
            return;
        }
        self.expire(now);
        // Records of content that is not quarantined are dropped first, the oldest first.
        let order = |(record, at): &(CrashRecord, Timestamp)| (record.verdict(), *at);
        let oldest = self.records.iter().min_by_key(|(_, entry)| order(entry));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint)
            && self.records.len() > RECORDS_MAX
        {
            self.records.remove(&fingerprint);
        }
    }
}

#[cfg(test)]
#[path = "quarantine_tests.rs"]
mod tests;
