//! Collects evidence and reaches verdicts.

use std::{cmp::Reverse, time::Duration};

use types::Timestamp;
use utils::{HashMap, HashSet};

use super::{
    ContentItem, ContentKey, CrashId, EvidenceReport,
    record::{Record, SURVIVALS_MAX},
    survival_counts::SurvivalCounts,
};

/// Maximum number of records.
const RECORDS_MAX: usize = 1_024;

/// Time without a change after which a record is dropped that does not condemn its key.
const SUSPICION_TIME: Duration = Duration::from_secs(60);

/// Time without a change after which a verdict is dropped.
const VERDICT_TIME: Duration = Duration::from_secs(6 * 3_600);

/// Time for which routers tell each other about a record after a change; verdicts are always told.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Maximum number of other suspects whose endpoints a suspect does not use.
const SUSPECTS_APART_MAX: usize = 32;

/// Maximum number of records in a message to other routers.
const REPORTS_MAX: usize = 128;

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against what it contains.
    Clear,
    /// It contains something that was at crashes and has not been answered since.
    Suspect(ContentItem),
    /// It contains something that crashes endpoints.
    Condemned(ContentItem),
}

/// A verdict that was reached or lifted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictChange {
    /// What the verdict is on.
    pub item: ContentItem,
    /// Whether it is condemned from now on.
    pub is_condemned: bool,
    /// Number of crashes at which it was present.
    pub crashes: usize,
    /// Number of answered requests that contained it, up to a limit.
    pub survivals: u32,
}

/// Evidence of this router and of its peers.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Records by key.
    records: HashMap<ContentKey, Record>,
    /// Keys of the records that condemn.
    condemned: HashSet<ContentKey>,
    /// Requests that were answered, also before their parts were suspected.
    survivals: SurvivalCounts,
}

impl CrashEvidence {
    /// Reports whether there is no evidence against anything.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Reports whether evidence on a whole content exists.
    pub fn has_whole_contents(&self) -> bool {
        self.records.values().any(|it| it.item.is_whole())
    }

    /// Returns the number of records, and of those that condemn.
    pub fn counts(&self) -> (usize, usize) {
        (self.records.len(), self.condemned.len())
    }

    /// Returns whether a request may run that contains `items`. Of several suspects the deepest one
    /// is returned, which is in the fewest requests.
    pub fn standing(&self, items: &[ContentItem]) -> Standing {
        if let Some(item) = items.iter().find(|it| self.condemned.contains(&it.key)) {
            return Standing::Condemned(*item);
        }
        let is_suspect =
            |it: &&ContentItem| self.records.get(&it.key).is_some_and(|it| it.weight() > 0);
        let deepest = items.iter().filter(is_suspect).max_by_key(|it| (!it.is_whole(), it.depth));
        deepest.map_or(Standing::Clear, |it| Standing::Suspect(*it))
    }

    /// Returns the suspects that come before `key`, the same on all routers with the same evidence, so
    /// that each suspect can be kept apart from the others.
    pub fn suspects_before(&self, key: ContentKey) -> Vec<ContentKey> {
        let suspects = self.records.values().filter(|it| it.weight() > 0);
        let mut ranked: Vec<_> =
            suspects.map(|it| (Reverse((!it.item.is_whole(), it.weight())), it.key())).collect();
        ranked.sort_unstable();
        let keys = ranked.into_iter().map(|it| it.1);
        keys.take_while(|it| *it != key).take(SUSPECTS_APART_MAX).collect()
    }

    /// Records that an endpoint crashed while it had a request with `items` that had not brought
    /// any of its answer. Returns the verdicts that changed.
    pub fn record_crash(
        &mut self,
        crash: CrashId,
        account: u64,
        items: &[ContentItem],
        now: Timestamp,
    ) -> Vec<VerdictChange> {
        let mut is_changed = false;
        for item in items {
            let survivals = self.survivals.get(item.key);
            let record =
                self.records.entry(item.key).or_insert_with(|| Record::new(*item, account, now));
            record.raise_survivals(survivals, now);
            is_changed |= record.add_crash(crash, Duration::ZERO, now);
        }
        if is_changed { self.update_verdicts(now) } else { Vec::new() }
    }

    /// Records that a request with `items` brought part of its answer. Returns the verdicts that
    /// changed.
    pub fn record_survival(&mut self, items: &[ContentItem], now: Timestamp) -> Vec<VerdictChange> {
        let mut is_changed = false;
        for item in items {
            if !item.is_whole() {
                self.survivals.add(item.key, now);
            }
            let Some(record) = self.records.get_mut(&item.key) else { continue };
            let (_, known) = record.counts();
            let count = if self.condemned.contains(&item.key) {
                record.acquitting_survivals()
            } else {
                self.survivals.get(item.key).max(known.saturating_add(1))
            };
            is_changed |= record.raise_survivals(count, now);
        }
        if is_changed { self.update_verdicts(now) } else { Vec::new() }
    }

    /// Merges the evidence of another router or of the table. Returns the verdicts that changed.
    pub fn merge<'a>(
        &mut self,
        reports: impl IntoIterator<Item = &'a EvidenceReport>,
        now: Timestamp,
    ) -> Vec<VerdictChange> {
        let mut is_changed = false;
        for report in reports {
            is_changed |= self.merge_report(report, now);
        }
        if is_changed { self.update_verdicts(now) } else { Vec::new() }
    }

    fn merge_report(&mut self, report: &EvidenceReport, now: Timestamp) -> bool {
        let (item, account) = (report.item, report.account);
        let is_known = self.records.contains_key(&item.key);
        let survivals = report.survivals.max(self.survivals.get(item.key));
        let record =
            self.records.entry(item.key).or_insert_with(|| Record::new(item, account, now));
        let mut is_changed = !is_known;
        for sighting in &report.crashes {
            is_changed |= record.add_crash(sighting.crash, sighting.age, now);
        }
        is_changed |= record.raise_survivals(survivals, now);
        record.trial.merge(report.trials, now - report.tested_age);
        is_changed
    }

    /// Begins a trial for a request that contains something condemned, if one is due for all that
    /// is. `is_first` tells whether this router is the one that should run the next trial.
    pub fn try_begin_trial(
        &mut self,
        items: &[ContentItem],
        is_first: impl Fn(ContentKey) -> bool,
        now: Timestamp,
    ) -> bool {
        let keys: Vec<ContentKey> =
            items.iter().map(|it| it.key).filter(|it| self.condemned.contains(it)).collect();
        let is_due = |key: &ContentKey| {
            let record = &self.records[key];
            let delay_factor = if is_first(*key) { 1.0 } else { 1.5 };
            record.trial.is_due(record.counts().1 > 0, delay_factor, now)
        };
        if keys.is_empty() || !keys.iter().all(is_due) {
            return false;
        }
        for key in keys {
            if let Some(record) = self.records.get_mut(&key) {
                record.trial.begin(now);
                record.changed_at = now;
            }
        }
        true
    }

    /// Returns what other routers are told: all verdicts, and what changed recently.
    pub fn reports(&self, now: Timestamp) -> Vec<EvidenceReport> {
        let is_told = |it: &&Record| {
            self.condemned.contains(&it.key()) || now.since(it.changed_at) < REPORT_TIME
        };
        let mut told: Vec<&Record> = self.records.values().filter(is_told).collect();
        told.sort_by_key(|it| (!self.condemned.contains(&it.key()), Reverse(it.changed_at)));
        told.truncate(REPORTS_MAX);
        told.into_iter().map(|it| it.report(now)).collect()
    }

    /// Returns the evidence on one key.
    pub fn report(&self, key: ContentKey, now: Timestamp) -> Option<EvidenceReport> {
        self.records.get(&key).map(|it| it.report(now))
    }

    /// Returns the keys that are condemned.
    pub fn condemned(&self) -> impl Iterator<Item = ContentKey> {
        self.condemned.iter().copied()
    }

    /// Drops outdated records. Returns the verdicts that ended.
    pub fn expire(&mut self, now: Timestamp) -> Vec<VerdictChange> {
        let before = self.records.len();
        let condemned = &self.condemned;
        self.records.retain(|key, record| {
            let time = if condemned.contains(key) { VERDICT_TIME } else { SUSPICION_TIME };
            now.since(record.changed_at) < time
        });
        if self.records.len() < before { self.update_verdicts(now) } else { Vec::new() }
    }

    /// Computes the verdicts anew and returns those that changed.
    fn update_verdicts(&mut self, now: Timestamp) -> Vec<VerdictChange> {
        self.evict_excess_records();
        let condemned = self.condemned_by_evidence();
        let changed: Vec<ContentKey> =
            self.condemned.symmetric_difference(&condemned).copied().collect();
        let mut changes = Vec::new();
        for key in changed {
            let Some(record) = self.records.get_mut(&key) else { continue };
            let is_condemned = condemned.contains(&key);
            if is_condemned && record.trial.trials == 0 {
                record.trial.tested_at = now;
            }
            let (crashes, survivals) = record.counts();
            changes.push(VerdictChange { item: record.item, is_condemned, crashes, survivals });
        }
        self.condemned = condemned;
        changes
    }

    /// Returns the keys that the evidence condemns. Of what was at the same crashes only the deepest
    /// is: it is in the fewest requests, and if the cause is less deep, a crash without the deepest
    /// shows it.
    fn condemned_by_evidence(&self) -> HashSet<ContentKey> {
        let conclusive = self.records.values().filter(|it| it.is_conclusive());
        let (contents, mut parts): (Vec<&Record>, Vec<&Record>) =
            conclusive.partition(|it| it.item.is_whole());
        parts.sort_by_key(|it| (Reverse(it.item.depth), it.key()));
        let mut explained: HashSet<CrashId> = HashSet::default();
        parts.retain(|part| {
            let is_single_content = contents.iter().any(|it| part.is_covered_by(it));
            let is_explained = part.crash_ids().all(|it| explained.contains(&it));
            let is_condemned = !is_single_content && !is_explained;
            if is_condemned {
                explained.extend(part.crash_ids());
            }
            is_condemned
        });
        let has_part = |content: &&&Record| parts.iter().any(|it| content.is_covered_by(it));
        let contents = contents.iter().filter(|it| !has_part(it)).map(|it| it.key());
        contents.chain(parts.iter().map(|it| it.key())).collect()
    }

    /// Drops excess records: from the account that has the most, those with the least weight first,
    /// so that no account can push out evidence against another one's requests.
    fn evict_excess_records(&mut self) {
        while self.records.len() > RECORDS_MAX {
            let mut numbers: HashMap<u64, usize> = HashMap::default();
            for record in self.records.values() {
                *numbers.entry(record.account).or_default() += 1;
            }
            let largest = numbers.into_iter().max_by_key(|it| (it.1, it.0)).map(|it| it.0);
            let of_largest = self.records.values().filter(|it| Some(it.account) == largest);
            let mut keys: Vec<_> =
                of_largest.map(|it| ((it.weight(), it.changed_at), it.key())).collect();
            keys.sort_unstable();
            let excess = self.records.len() - RECORDS_MAX;
            for (_, key) in keys.into_iter().take(excess.max(RECORDS_MAX / 16)) {
                self.records.remove(&key);
            }
        }
    }
}

const _: () = assert!(SURVIVALS_MAX > 16, "a survival count must be able to outweigh all crashes");
