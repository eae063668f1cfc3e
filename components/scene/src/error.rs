//! Errors of scenes.

use std::io;

use errors::Error;
use router::StartError;
use thiserror::Error;
use types::RouterName;

/// Failure to start or end a scene or a part of it.
#[derive(Debug, Error)]
pub enum SceneError {
    /// A stand-in could not listen on its address.
    #[error("stand-in did not start: {0}")]
    StandIn(#[from] io::Error),
    /// A router did not start.
    #[error("router did not start: {0}")]
    Router(#[from] StartError),
    /// A router did not become ready in time after its start.
    #[error("router {0} did not become ready in time")]
    NotReady(RouterName),
    /// The scene has no router of this name, or the router is not running.
    #[error("router {0} is not running")]
    NoRouter(RouterName),
    /// A router did not shut down gracefully.
    #[error("router did not shut down gracefully: {0}")]
    NotGraceful(#[from] Error),
}
