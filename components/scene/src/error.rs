//! Errors of scenes.

use std::io;

use errors::Error;
use router::StartError;
use thiserror::Error;
use types::RouterName;

/// Why a scene or a part of it did not start or end as asked.
#[derive(Debug, Error)]
pub enum SceneError {
    /// A stand-in did not start.
    #[error("stand-in not started: {0}")]
    StandIn(#[from] io::Error),
    /// A router did not start.
    #[error("router not started: {0}")]
    Router(#[from] StartError),
    /// A router is not ready in time.
    #[error("router {0} is not ready in time")]
    NotReady(RouterName),
    /// There is no such router.
    #[error("there is no running router {0}")]
    NoRouter(RouterName),
    /// A router did not end gracefully.
    #[error("router did not end gracefully: {0}")]
    NotGraceful(#[from] Error),
}
