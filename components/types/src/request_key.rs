//! Key that identifies a request across all client accounts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AccountName, RequestId};

/// Key that identifies a request across all client accounts. Bills, intent rows and kept
/// answers are looked up by it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// Client account that sent the request.
    pub account: AccountName,
    /// Id that the caller chose.
    pub id: RequestId,
}

impl RequestKey {
    /// Creates the key of request `id` of `account`.
    pub fn new(account: AccountName, id: RequestId) -> RequestKey {
        RequestKey { account, id }
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.id)
    }
}
