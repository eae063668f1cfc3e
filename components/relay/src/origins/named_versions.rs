//! The versions of a service that its row in the store names. A stream that its caller may take up
//! begins only at a named version, so that a router that starts later knows of every version that a
//! stream may have begun at, even if all routers that saw its endpoints have ended.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Time after which the versions in a row are written again while there are several, so that those
/// that are gone can be told from the others.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which a version stays named after its last endpoint: longer than a caller may take to come
/// back, and than the row may be outdated.
const GONE_TIME: Duration = Duration::from_secs(70);

/// Time from naming a further version of a service until streams begin there. Longer than the maximum age of
/// a trusted list of endpoints, so that every trusted list contains the version by then.
const NAMING_LEAD: Duration = Duration::from_millis(2_500);

/// Row that names the versions at which streams of a service may begin.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersionsRow {
    /// Versions, each with the time of the store, in milliseconds, at which a router last knew
    /// endpoints of it. The time is outdated if the row names a single version.
    pub versions: BTreeMap<Arc<str>, u64>,
    /// When versions that joined others were named, by the time of the store in milliseconds. Rows of
    /// earlier builds lack it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub joined: BTreeMap<Arc<str>, u64>,
}

impl NamedVersionsRow {
    /// Returns the row with the versions that endpoints have now added, and without those that are gone
    /// for long.
    pub fn updated(&self, present: &[Arc<str>], now_ms: u64) -> NamedVersionsRow {
        let mut versions = self.versions.clone();
        if versions.len() > 1 {
            versions.retain(|_, seen_ms| is_recent(*seen_ms, now_ms));
        } else {
            // It was in use until now: no other version has been.
            versions.values_mut().for_each(|seen_ms| *seen_ms = now_ms);
        }
        let mut joined = self.joined.clone();
        if !self.versions.is_empty() {
            let new = present.iter().filter(|it| !versions.contains_key(*it));
            joined.extend(new.map(|it| (it.clone(), now_ms)));
        }
        versions.extend(present.iter().map(|it| (it.clone(), now_ms)));
        joined.retain(|version, _| versions.contains_key(version));
        NamedVersionsRow { versions, joined }
    }

    /// Returns the time until streams may begin at a version.
    pub fn time_until_use(&self, version: &str, now_ms: u64) -> Duration {
        let named_ms = self.joined.get(version).filter(|_| self.versions.len() > 1);
        let age = named_ms.map(|it| Duration::from_millis(now_ms.saturating_sub(*it)));
        age.map_or(Duration::ZERO, |it| NAMING_LEAD.saturating_sub(it))
    }

    /// Returns the versions at which a stream may have begun that a caller takes up now.
    pub fn in_memory(&self, now_ms: u64) -> Vec<Arc<str>> {
        let is_single = self.versions.len() == 1;
        let recent = self.versions.iter().filter(|it| is_single || is_recent(*it.1, now_ms));
        recent.map(|it| it.0.clone()).collect()
    }

    /// Returns whether the row names all of the versions.
    pub fn names(&self, versions: &[Arc<str>]) -> bool {
        versions.iter().all(|it| self.versions.contains_key(it))
    }
}

fn is_recent(seen_ms: u64, now_ms: u64) -> bool {
    u128::from(now_ms.saturating_sub(seen_ms)) < GONE_TIME.as_millis()
}
