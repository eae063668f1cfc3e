//! Grant rows.

use std::collections::BTreeMap;

use platform::Key;
use serde::{Deserialize, Serialize};
use types::{AccountName, RouterId, Tokens};

/// What one router process may spend of one account.
///
/// Invariant in the table: the account's `granted` is the sum of `unspent` over its
/// grant rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRow {
    /// The router process.
    pub router: RouterId,
    /// Number of the router's last write of this row.
    pub write: u64,
    /// Tokens that the router may still spend.
    pub unspent: Tokens,
    /// Tokens that ever left the row as bills and moved loans. Never shrinks.
    pub spent: Tokens,
    /// Peer that bounds what the router spends, if any.
    pub witness: Option<RouterId>,
    /// Number of the present witness, counted up with each change.
    pub epoch: u64,
    /// Ceiling that the row itself acknowledges, in tokens that ever left the row.
    pub ceiling: Tokens,
    /// Wall clock at which the witness closed the row, in milliseconds of Unix time;
    /// `None` while it is open. For operators; no decision rests on the value.
    pub closed_unix_ms: Option<u64>,
    /// Tokens moved to each borrower, in all. Never shrink.
    pub moved: BTreeMap<String, Tokens>,
    /// Tokens moved from each lender, in all. Never shrink.
    pub received: BTreeMap<String, Tokens>,
}

impl GrantRow {
    /// Creates the empty row of `router`.
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

    /// Tells whether the row is closed.
    pub fn is_closed(&self) -> bool {
        self.closed_unix_ms.is_some()
    }

    /// Returns the tokens that were moved to `borrower`.
    pub fn moved_to(&self, borrower: &RouterId) -> Tokens {
        self.moved.get(&borrower.to_string()).copied().unwrap_or_default()
    }

    /// Returns the tokens that were moved from `lender`.
    pub fn received_from(&self, lender: &RouterId) -> Tokens {
        self.received.get(&lender.to_string()).copied().unwrap_or_default()
    }

    /// Takes `tokens` out of the row as spent; false, and no change, where it has fewer.
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

    /// Moves a loan from `self` to `borrower`, up to `total` in all and as far as the
    /// unspent tokens of `self` reach; returns the tokens moved.
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

/// Returns the prefix of the keys of all grant rows of `account`.
pub fn grant_prefix(account: &AccountName) -> String {
    format!("grant/{account}/")
}
