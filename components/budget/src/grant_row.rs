//! Grant rows of the table.

use std::collections::BTreeMap;

use platform::Key;
use serde::{Deserialize, Serialize};
use types::{AccountName, RouterId, Tokens};

/// Tokens of one client account that one router process may spend.
///
/// Invariant: `granted` in the budget row is the sum of `unspent` over all grant rows of the
/// account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRow {
    /// Router process that owns the row.
    pub router: RouterId,
    /// Number of the owner's last write of this row.
    pub write: u64,
    /// Tokens that the owner may still spend.
    pub unspent: Tokens,
    /// Total of the tokens that have left the row as bills or moved loans. Never decreases.
    pub spent: Tokens,
    /// Peer that acknowledges the ceiling; `None` if spending is limited only by `unspent`.
    pub witness: Option<RouterId>,
    /// Incremented whenever the witness changes and whenever a closed row is reopened.
    pub epoch: u64,
    /// Ceiling acknowledged by the row itself: an upper limit for `spent`.
    pub ceiling: Tokens,
    /// Wall clock time at which the row was closed, in milliseconds of Unix time; `None` while it
    /// is open. The value is only shown to operators; decisions depend only on whether it is set.
    pub closed_unix_ms: Option<u64>,
    /// Total of the tokens moved to each borrower. Totals never decrease.
    pub moved: BTreeMap<String, Tokens>,
    /// Total of the tokens moved from each lender. Totals never decrease.
    pub received: BTreeMap<String, Tokens>,
}

impl GrantRow {
    /// Creates an empty row of `router`.
    pub fn new(router: RouterId) -> GrantRow {
        GrantRow {
            router,
            write: 0,
            unspent: Tokens::ZERO,
            spent: Tokens::ZERO,
            witness: None,
            epoch: 0,
            ceiling: Tokens::ZERO,
            closed_unix_ms: None,
            moved: BTreeMap::new(),
            received: BTreeMap::new(),
        }
    }

    /// Returns whether the row was closed by its witness or by an operator.
    pub fn is_closed(&self) -> bool {
        self.closed_unix_ms.is_some()
    }

    /// Returns the total of the tokens moved to `borrower`.
    pub fn moved_to(&self, borrower: &RouterId) -> Tokens {
        self.moved.get(&borrower.to_string()).copied().unwrap_or_default()
    }

    /// Returns the total of the tokens moved from `lender`.
    pub fn received_from(&self, lender: &RouterId) -> Tokens {
        self.received.get(&lender.to_string()).copied().unwrap_or_default()
    }

    /// Moves `tokens` from unspent to spent. Returns false and changes nothing if fewer tokens are
    /// unspent.
    pub(crate) fn spend(&mut self, tokens: Tokens) -> bool {
        let (Some(unspent), Some(spent)) =
            (self.unspent.checked_sub(tokens), self.spent.checked_add(tokens))
        else {
            return false;
        };
        self.unspent = unspent;
        self.spent = spent;
        true
    }

    /// Moves a loan from this row to `borrower`, until the total moved is `total` or this row has
    /// no unspent tokens left. Returns the tokens moved.
    pub(crate) fn move_loan(&mut self, borrower: &mut GrantRow, total: Tokens) -> Tokens {
        let received = borrower.received_from(&self.router);
        let tokens = total.saturating_sub(received).min(self.unspent);
        let (Some(unspent), Some(moved)) =
            (borrower.unspent.checked_add(tokens), received.checked_add(tokens))
        else {
            return Tokens::ZERO;
        };
        if tokens == Tokens::ZERO || !self.spend(tokens) {
            return Tokens::ZERO;
        }
        self.moved.insert(borrower.router.to_string(), moved);
        borrower.received.insert(self.router.to_string(), moved);
        borrower.unspent = unspent;
        tokens
    }
}

/// Returns the key of the grant row of `router` for `account`.
pub fn grant_key(account: &AccountName, router: &RouterId) -> Key {
    let incarnation = router.incarnation.to_string();
    Key::from_parts(&["grant", account.as_str(), router.name.as_str(), &incarnation])
}

/// Returns the common prefix of the keys of all grant rows of `account`.
pub fn grant_prefix(account: &AccountName) -> String {
    format!("grant/{account}/")
}
