//! The list of hosts, which may be out of date.

use std::net::IpAddr;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use types::FailureDomain;

use crate::PlatformError;

/// State of a host, as the list reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is up.
    Live,
    /// The host will be removed soon.
    Leaving,
}

/// Entry of one host in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// IP address of the host.
    pub address: IpAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// State of the host.
    pub state: HostState,
}

/// The platform's list of hosts. It may be out of date and gives hints only.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    /// If the service was not reached or refused the call.
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}
