//! Stand-in for the platform's services, over HTTP with JSON bodies.

mod server;
mod state;

pub use self::{server::PlatformServer, state::PlatformState};
