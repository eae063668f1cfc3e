//! The configuration in force on this router.

mod handle;
mod poller;
mod spread;
mod store;

pub(crate) use self::spread::CONFIRMED_SPAN;
pub(crate) use self::store::{read_row, store_corrupt, store_error};
pub use self::{
    handle::ConfigHandle,
    poller::{poll_interval, run_config_poller},
    spread::start_config_spread,
    store::{StoredConfig, read_config, read_versions, version_key},
};
