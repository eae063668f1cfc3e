//! The changes between recently active versions.

use std::{collections::VecDeque, sync::Arc};

use config::{Change, Config, combine_changes, diff_configs};
use types::ConfigVersion;

/// Maximum number of steps in the history. Routers whose version is in the history receive
/// only changes.
const HISTORY_MAX_STEPS: usize = 8;

/// The changes between the versions that were recently active on this router.
///
/// Only the latest version is stored in full, and shared with the active configuration.
#[derive(Debug, Default)]
pub(super) struct ConfigHistory {
    /// Latest version.
    latest: Option<Arc<Config>>,
    /// Steps that led to the latest version, the oldest first.
    steps: VecDeque<Step>,
}

/// Step from one active version to the next.
#[derive(Debug)]
struct Step {
    /// Version before the step.
    from: ConfigVersion,
    /// Changes to the next version.
    changes: Vec<Change>,
}

impl ConfigHistory {
    /// Adds a version that has become active.
    pub(super) fn push(&mut self, cfg: Arc<Config>) {
        if let Some(latest) = self.latest.replace(cfg.clone()) {
            if self.steps.len() == HISTORY_MAX_STEPS {
                self.steps.pop_front();
            }
            let changes = diff_configs(&latest, &cfg);
            self.steps.push_back(Step { from: latest.version, changes });
        }
    }

    /// Returns the changes from version `base` to `current`; `None` if the history does not
    /// contain both.
    pub(super) fn changes(&self, base: ConfigVersion, current: &Config) -> Option<Vec<Change>> {
        self.latest.as_ref().filter(|it| it.version == current.version)?;
        let first = self.steps.iter().position(|it| it.from == base)?;
        Some(combine_changes(self.steps.iter().skip(first).flat_map(|it| &it.changes)))
    }
}
