//! Bills together with the writes to commit along with them.

use platform::Commit;
use serde::{Deserialize, Serialize};

use crate::Bill;

/// A bill and the writes to commit along with it. Peers store it in this form until it is
/// committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBill {
    /// Bill to commit.
    pub bill: Bill,
    /// Preconditions and writes of other subsystems that are committed along with the bill.
    pub with: Commit,
}
