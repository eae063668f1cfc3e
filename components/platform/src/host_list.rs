//! The lagging list of hosts.

use std::net::IpAddr;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use types::FailureDomain;

use crate::PlatformError;

/// State of a host in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is up.
    Live,
    /// The host will be taken away soon.
    Leaving,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// IP number of the host.
    pub address: IpAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// State of the host.
    pub state: HostState,
}

/// The platform's list of hosts. It lags behind the truth: it gives hints only.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    /// Where the service was not reached or refused the call.
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}
