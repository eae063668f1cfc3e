//! Plain services.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use types::EndpointName;

/// A plain service, which runs actions and serves no models.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Endpoints that run its actions.
    pub endpoints: BTreeSet<EndpointName>,
}
