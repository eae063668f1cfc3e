//! The versions that were in force lately.

use std::{collections::VecDeque, sync::Arc};

use config::Config;
use types::ConfigVersion;

/// Versions that are remembered, so that routers which have one of them get changes only.
const REMEMBERED_VERSIONS: usize = 8;

/// The versions that were in force lately on this router, the latest last.
#[derive(Debug, Default)]
pub(super) struct ConfigHistory {
    /// The versions; entries that did not change are not shared between them.
    versions: VecDeque<Arc<Config>>,
}

impl ConfigHistory {
    /// Adds a version that has come into force.
    pub(super) fn push(&mut self, cfg: Arc<Config>) {
        if self.versions.len() == REMEMBERED_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back(cfg);
    }

    /// Finds a version.
    pub(super) fn find(&self, version: ConfigVersion) -> Option<&Arc<Config>> {
        self.versions.iter().find(|it| it.version == version)
    }
}
