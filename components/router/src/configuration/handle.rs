//! Handle of the active configuration.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::{ArcSwap, Guard};
use config::Config;
use tokio::time::Instant;
use types::ConfigVersion;

/// Handle of the active configuration; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ConfigHandle {
    /// Active configuration. Its version never decreases.
    current: Arc<ArcSwap<Config>>,
    /// When the table last confirmed that no later version is accepted.
    confirmed_at: Arc<Mutex<Option<Instant>>>,
}

impl ConfigHandle {
    /// Creates a handle with the empty configuration, version 0.
    pub fn new() -> ConfigHandle {
        ConfigHandle::default()
    }

    /// Returns a guard of the active configuration, which must be held only briefly.
    pub fn load(&self) -> Guard<Arc<Config>> {
        self.current.load()
    }

    /// Returns the active configuration.
    pub fn load_full(&self) -> Arc<Config> {
        self.current.load_full()
    }

    /// Returns the version of the active configuration.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().version
    }

    /// Activates `cfg` if its version is higher than the active one. Returns whether it did.
    pub fn advance(&self, cfg: impl Into<Arc<Config>>) -> bool {
        let cfg = cfg.into();
        let previous = self.current.rcu(|current| {
            if cfg.version > current.version { cfg.clone() } else { current.clone() }
        });
        let is_newer = cfg.version > previous.version;
        if is_newer {
            log::info!(version:% = cfg.version; "configuration activated");
            metrics::gauge!(telemetry::CONFIG_VERSION).set(cfg.version.0 as f64);
        }
        is_newer
    }

    /// Records that the table has just confirmed that no later version is accepted.
    pub fn mark_confirmed(&self) {
        *self.confirmed_at.lock().expect("the lock is not poisoned") = Some(Instant::now());
    }

    /// Returns the time since the table last confirmed that no later version is accepted; `None`
    /// if it never has.
    pub fn confirmed_age(&self) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.lock().expect("the lock is not poisoned");
        confirmed_at.map(|at| at.elapsed())
    }
}

#[cfg(test)]
#[path = "handle_tests.rs"]
mod tests;
