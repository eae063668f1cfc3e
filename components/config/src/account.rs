//! Client accounts.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use types::{ActionName, ModelName};

use crate::{KeyHash, ModelAccess, ShortagePolicy};

/// A client account. Its deposits are not part of the configuration: they are
/// counted in the account's budget row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Hashes of the API keys of its callers.
    pub keys: Vec<KeyHash>,
    /// Models it may use, by the model name that its callers write.
    ///
    /// The name may be an alias, so that one model serves requests that wait and
    /// requests that cannot under two names.
    pub models: BTreeMap<ModelName, ModelAccess>,
    /// Actions it may call.
    pub actions: BTreeSet<ActionName>,
    /// What happens when its budget is short.
    pub shortage: ShortagePolicy,
    /// Share of the queue and of the endpoints' time, relative to other accounts.
    /// At least 1; zero is read as 1.
    pub weight: u32,
}
