//! Stand-in for a plain service that logs each run.

mod record;
mod server;

pub use self::{
    record::RunRecord,
    server::{ServiceServer, ServiceState},
};
