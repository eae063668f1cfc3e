//! Client of the administration API.

mod admin_client;
mod admin_client_error;

pub use self::{admin_client::AdminClient, admin_client_error::AdminClientError};
