//! Bills with what is written beside them.

use platform::Commit;
use serde::{Deserialize, Serialize};

use crate::Bill;

/// A bill and the writes that take effect in its commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBill {
    /// The bill.
    pub bill: Bill,
    /// Writes of other subsystems that belong to the bill.
    pub with: Commit,
}
