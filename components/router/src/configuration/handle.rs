//! Handle of the configuration in force.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::{ArcSwap, Guard};
use config::Config;
use tokio::time::Instant;
use types::ConfigVersion;

/// Handle of the configuration in force; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ConfigHandle {
    /// Present configuration. Its version never shrinks.
    current: Arc<ArcSwap<Config>>,
    /// When the table last confirmed that no later version is accepted.
    confirmed: Arc<Mutex<Option<Instant>>>,
}

impl ConfigHandle {
    /// Creates a handle of the empty configuration.
    pub fn new() -> ConfigHandle {
        ConfigHandle::default()
    }

    /// Returns the configuration in force, for a short time.
    pub fn load(&self) -> Guard<Arc<Config>> {
        self.current.load()
    }

    /// Returns the configuration in force.
    pub fn load_full(&self) -> Arc<Config> {
        self.current.load_full()
    }

    /// Returns the version in force.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().version
    }

    /// Brings `cfg` into force if its version is higher than the present one; tells
    /// whether it did.
    pub fn advance(&self, cfg: impl Into<Arc<Config>>) -> bool {
        let cfg = cfg.into();
        let previous = self.current.rcu(|current| {
            if cfg.version > current.version { cfg.clone() } else { current.clone() }
        });
        let is_newer = cfg.version > previous.version;
        if is_newer {
            log::info!(version:% = cfg.version; "configuration is in force");
            metrics::gauge!(telemetry::CONFIG_VERSION).set(cfg.version.0 as f64);
        }
        is_newer
    }

    /// Records that the table has just confirmed that no later version is accepted.
    pub fn mark_confirmed(&self) {
        *self.confirmed.lock().expect("no holder of the lock panics") = Some(Instant::now());
    }

    /// Returns the time since the table confirmed that no later version is accepted;
    /// `None` where it never did.
    pub fn confirmed_age(&self) -> Option<Duration> {
        let confirmed = self.confirmed.lock().expect("no holder of the lock panics");
        confirmed.map(|at| at.elapsed())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn older_version_never_replaces_a_newer_one() {
        let handle = ConfigHandle::new();
        let version = |number| Config { version: ConfigVersion(number), ..Config::default() };
        assert!(handle.advance(version(2)));
        assert!(!handle.advance(version(1)));
        assert!(!handle.advance(version(2)));
        assert_eq!(handle.version(), ConfigVersion(2));
    }
}
