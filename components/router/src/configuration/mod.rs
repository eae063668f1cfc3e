//! The configuration in force on this router.

mod handle;
mod poller;
mod store;

pub(crate) use self::store::{read_row, store_corrupt, store_error};
pub use self::{
    handle::ConfigHandle,
    poller::{poll_interval, run_config_poller},
    store::{StoredConfig, read_config, read_versions, version_key},
};
