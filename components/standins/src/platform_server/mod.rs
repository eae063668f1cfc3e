//! Stand-in of the platform's services over HTTP with JSON.

mod server;
mod state;

pub use self::{server::PlatformServer, state::PlatformState};
