//! The changes between the versions that were in force lately.

use std::{collections::VecDeque, sync::Arc};

use config::{Change, Config, combine_changes, diff_configs};
use types::ConfigVersion;

/// Steps that are remembered, so that routers which have a version before one of them get
/// changes only.
const REMEMBERED_STEPS: usize = 8;

/// The changes between the versions that were in force lately on this router.
///
/// Only the latest version is held as a whole, and shared with the one in force.
#[derive(Debug, Default)]
pub(super) struct ConfigHistory {
    /// The latest version.
    latest: Option<Arc<Config>>,
    /// The steps that led to it, the last one at the end.
    steps: VecDeque<Step>,
}

/// Step from one version to the next that was in force.
#[derive(Debug)]
struct Step {
    /// The version before.
    from: ConfigVersion,
    /// What changed.
    changes: Vec<Change>,
}

impl ConfigHistory {
    /// Adds a version that has come into force.
    pub(super) fn push(&mut self, cfg: Arc<Config>) {
        if let Some(latest) = self.latest.replace(cfg.clone()) {
            if self.steps.len() == REMEMBERED_STEPS {
                self.steps.pop_front();
            }
            let changes = diff_configs(&latest, &cfg);
            self.steps.push_back(Step { from: latest.version, changes });
        }
    }

    /// Returns the changes from version `base` to `current`, where both are known.
    pub(super) fn changes(&self, base: ConfigVersion, current: &Config) -> Option<Vec<Change>> {
        self.latest.as_ref().filter(|it| it.version == current.version)?;
        let first = self.steps.iter().position(|it| it.from == base)?;
        Some(combine_changes(self.steps.iter().skip(first).flat_map(|it| &it.changes)))
    }
}
