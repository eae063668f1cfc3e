//! Client accounts.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use types::{ActionName, ModelName};

use crate::{KeyHash, ModelAccess, ShortagePolicy};

/// A client account. Its deposits are not part of the configuration: the account's budget
/// row holds their sum.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Hashes of the API keys of its callers.
    pub keys: Vec<KeyHash>,
    /// Models that its callers may use, by the model name in their requests.
    ///
    /// The name may be an alias, so that one model can serve bulk and urgent requests
    /// under two names.
    pub models: BTreeMap<ModelName, ModelAccess>,
    /// Actions that its callers may call.
    pub actions: BTreeSet<ActionName>,
    /// Handling of requests while too few tokens are available.
    pub shortage: ShortagePolicy,
    /// Weight of the account's share of the queue and of the endpoints' time, relative to
    /// other accounts. At least 1; zero counts as 1.
    pub weight: u32,
}
