//! The router as a process: its threads, its start and its end.

mod assembly;
mod control_thread;
mod process;
mod request_counter;
mod settings;
mod start_error;

pub use self::{
    process::RouterProcess, request_counter::RequestCounter, settings::RouterSettings,
    start_error::StartError,
};
