//! Messages about budgets: lending, witnesses, bills held for peers.

use prost::Message;

/// Messages about budgets: lending, witnesses, bills held for peers.
#[derive(Clone, PartialEq, Message)]
pub struct BudgetMessage {}
