//! Handle of the configuration in force.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use config::Config;
use types::ConfigVersion;

/// Handle of the configuration in force; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ConfigHandle {
    /// Present configuration. Its version never shrinks.
    current: Arc<ArcSwap<Config>>,
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
    pub fn advance(&self, cfg: Config) -> bool {
        let cfg = Arc::new(cfg);
        let previous = self.current.rcu(|current| {
            if cfg.version > current.version { cfg.clone() } else { current.clone() }
        });
        cfg.version > previous.version
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
