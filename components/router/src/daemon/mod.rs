//! The router process: its threads, startup and shutdown.

mod assembly;
mod control_thread;
mod http_limits;
mod process;
mod request_counter;
mod settings;
mod start_error;

pub use self::{
    http_limits::HttpLimits, process::RouterProcess, request_counter::RequestCounter,
    settings::RouterSettings, start_error::StartError,
};
