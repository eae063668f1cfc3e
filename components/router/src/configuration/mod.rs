//! The configuration that is active on this router.

mod handle;
mod poller;
mod spread;
mod store;

pub(crate) use self::spread::CONFIRMATION_MAX_AGE;
pub(crate) use self::store::{corrupt_row_error, read_row, store_error};
pub use self::{
    handle::ConfigHandle,
    poller::{poll_interval, run_config_poller},
    spread::start_config_spread,
    store::{StoredConfig, read_config, read_versions, version_key},
};
