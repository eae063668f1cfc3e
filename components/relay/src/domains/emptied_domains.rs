//! The failure domains that are emptied, as the operators' table says and as routers tell each other.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use platform::Era;
use types::Timestamp;

use crate::{ports::Cursor, units::millis};

/// Time within which operators write their rows again after the store has come back from an older
/// copy. Until then a missing row does not end an emptying, and one that was removed does not begin it.
const REWRITE_TIME: Duration = Duration::from_secs(3);

/// A failure domain that operators have emptied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EmptiedDomain {
    /// Name of the failure domain.
    pub domain: Arc<str>,
    /// Revision of the row by which it was emptied.
    pub revision: u64,
}

/// The emptied domains at one moment of the store. Of two views the one with the higher position is
/// newer: a view holds all of the table, so nothing has to be remembered of what was taken back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainsView {
    /// Era of the store; zero if it states none.
    pub era: u64,
    /// Revision of the store.
    pub revision: u64,
    /// Emptied domains, each with the revision of its row.
    pub emptied: BTreeMap<Arc<str>, u64>,
}

impl DomainsView {
    fn position(&self) -> (u64, u64) {
        (self.era, self.revision)
    }
}

/// The failure domains that are emptied.
///
/// A view that was read from the store or reported by another router replaces an older one. A router that
/// loses the store keeps its view and learns of changes from the others.
#[derive(Debug, Default)]
pub struct EmptiedDomains {
    /// Newest view; `None` before the first one.
    view: Option<DomainsView>,
    /// When each emptied domain took effect on this router.
    since: BTreeMap<Arc<str>, Timestamp>,
    /// When the whole table has to be read again because it came from an older copy.
    reread_at: Option<Timestamp>,
    /// Before this time the view may lack what operators are about to write again, and is not reported.
    settles_at: Timestamp,
    /// Whether any domain was emptied since the process started.
    has_emptied: bool,
}

impl EmptiedDomains {
    /// Reports whether nothing new may be sent to endpoints of this domain.
    pub fn is_emptied(&self, domain: &str) -> bool {
        self.view.as_ref().is_some_and(|it| it.emptied.contains_key(domain))
    }

    /// Returns the number of emptied domains.
    pub fn count(&self) -> usize {
        self.view.as_ref().map_or(0, |it| it.emptied.len())
    }

    /// Applies a read of the whole table, which ended at `cursor`.
    ///
    /// In an era that is new to this router, rows may be missing that operators write again, and there
    /// may be rows of emptyings that were taken back. What was known before holds until the table is
    /// read again, [`REWRITE_TIME`] later; only domains of which nothing was known are added.
    pub fn apply_read(&mut self, read: Vec<EmptiedDomain>, cursor: Cursor, now: Timestamp) {
        let era = era_of(cursor.era);
        let was_due = self.needs_read(now);
        let mut emptied: BTreeMap<Arc<str>, u64> =
            read.into_iter().map(|it| (it.domain, it.revision)).collect();
        if let Some(known) = self.view.as_ref().filter(|it| it.era < era) {
            log::info!(era, emptied = known.emptied.len(); "the operators' table comes from an older copy of the store; emptied failure domains are kept for now");
            self.reread_at = Some(now + REWRITE_TIME);
            self.settles_at = now + REWRITE_TIME;
            emptied.retain(|domain, revision| {
                known.emptied.contains_key(domain) || *revision > known.revision
            });
            for (domain, revision) in &known.emptied {
                emptied.entry(domain.clone()).or_insert(*revision);
            }
        } else if self.reread_at.is_some_and(|at| now < at) {
            let known = self.view.iter().flat_map(|it| &it.emptied);
            for (domain, revision) in known {
                emptied.entry(domain.clone()).or_insert(*revision);
            }
        } else {
            self.reread_at = None;
        }
        if self.view.is_none() && era > 0 {
            self.settles_at = now + REWRITE_TIME;
        }
        let view = DomainsView { era, revision: cursor.revision, emptied };
        // Of two views with the same position, the one that was read later has nothing kept.
        if was_due || self.is_newer(&view) {
            self.replace(view, "store", now);
        }
    }

    /// Applies the rows that changed up to `cursor`: domains that were emptied or taken back.
    pub fn apply_changes(
        &mut self,
        changes: impl IntoIterator<Item = (EmptiedDomain, bool)>,
        cursor: Cursor,
        now: Timestamp,
    ) {
        let mut view = self.view.clone().unwrap_or_default();
        let known = view.position();
        view.era = era_of(cursor.era);
        view.revision = cursor.revision;
        for (it, is_emptied) in changes {
            // Another router may have reported a later state of the row.
            if (view.era, it.revision) <= known {
                continue;
            }
            if is_emptied {
                view.emptied.insert(it.domain, it.revision);
            } else {
                view.emptied.remove(&it.domain);
            }
        }
        if self.is_newer(&view) {
            self.replace(view, "store", now);
        }
    }

    /// Applies what another router reports.
    pub fn apply_report(&mut self, view: DomainsView, now: Timestamp) {
        if self.is_newer(&view) {
            self.reread_at = None;
            self.replace(view, "router", now);
        }
    }

    /// Returns what other routers are told; `None` if no domain was emptied since the process started,
    /// or while the view may lack what operators are about to write again.
    pub fn report(&self, now: Timestamp) -> Option<&DomainsView> {
        self.view.as_ref().filter(|_| self.has_emptied && now >= self.settles_at)
    }

    /// Reports whether the whole table has to be read again.
    pub fn needs_read(&self, now: Timestamp) -> bool {
        self.reread_at.is_some_and(|at| at <= now)
    }

    fn is_newer(&self, view: &DomainsView) -> bool {
        self.view.as_ref().is_none_or(|it| it.position() < view.position())
    }

    fn replace(&mut self, view: DomainsView, source: &'static str, now: Timestamp) {
        let former = self.view.as_ref().map(|it| it.emptied.clone()).unwrap_or_default();
        for (domain, revision) in &view.emptied {
            if !former.contains_key(domain) {
                self.since.insert(domain.clone(), now);
                self.has_emptied = true;
                log::info!(failure_domain:% = domain, revision, source; "failure domain emptied");
            }
        }
        for (domain, revision) in &former {
            if !view.emptied.contains_key(domain) {
                let since = self.since.remove(domain).unwrap_or(now);
                log::info!(failure_domain:% = domain, revision, source, after_ms = millis(now.since(since)); "failure domain no longer emptied");
            }
        }
        self.view = Some(view);
    }
}

fn era_of(era: Option<Era>) -> u64 {
    era.map_or(0, |it| it.0)
}
