//! The configuration in force on this router.

mod handle;
mod poller;

pub use self::{handle::ConfigHandle, poller::run_config_poller};
