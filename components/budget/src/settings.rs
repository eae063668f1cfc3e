//! Settings of the ledger.

use std::time::Duration;

use types::Tokens;

/// How the unspent tokens in the grant of a dead router are recovered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantRecoveryPolicy {
    /// Grants are small. The unspent tokens of a dead router are in doubt until an operator
    /// resolves them.
    SmallGrants,
    /// A router spends only up to a ceiling that a peer, its witness, has acknowledged. When the
    /// router dies, the tokens above the ceiling return to the budget.
    WitnessedCeilings,
}

/// Target size of a router's grant for one client account.
#[derive(Debug, Clone, Copy)]
pub struct GrantSize {
    /// Time for which a grant lasts at the current spend rate.
    pub cover: Duration,
    /// Minimum size, in tokens. Applies also while the spend rate is unknown.
    pub min: Tokens,
}

/// Settings of the ledger.
#[derive(Debug, Clone)]
pub struct BudgetSettings {
    /// How the unspent tokens in the grant of a dead router are recovered.
    pub policy: GrantRecoveryPolicy,
    /// Size of a grant with a witness.
    pub witnessed_grant: GrantSize,
    /// Size of a grant without a witness.
    pub small_grant: GrantSize,
    /// Time for which the headroom below the ceiling lasts at the current spend rate, while the
    /// table is available.
    pub ceiling_cover: Duration,
    /// Minimum time between two commits of one account on one router.
    pub commit_gap: Duration,
    /// Mean time between two reads of an account without urgent work.
    pub idle_gap: Duration,
    /// Age of an uncommitted bill at which peers are asked to hold it.
    pub hold_after: Duration,
    /// Time after which an unanswered message is sent again.
    pub resend_after: Duration,
    /// Minimum time between the starts of two rounds of asking peers for loans.
    pub ask_gap: Duration,
    /// Wall clock time at timestamp zero, in milliseconds of Unix time. Used only for times shown
    /// to operators.
    pub start_unix_ms: u64,
}

impl BudgetSettings {
    /// Returns the default settings for `policy`.
    pub fn new(policy: GrantRecoveryPolicy) -> BudgetSettings {
        BudgetSettings {
            policy,
            witnessed_grant: GrantSize { cover: Duration::from_secs(1_200), min: Tokens(50_000) },
            small_grant: GrantSize { cover: Duration::from_secs(20), min: Tokens(10_000) },
            ceiling_cover: Duration::from_secs(1),
            commit_gap: Duration::from_millis(200),
            idle_gap: Duration::from_secs(1),
            hold_after: Duration::from_millis(300),
            resend_after: Duration::from_millis(50),
            ask_gap: Duration::from_millis(200),
            start_unix_ms: 0,
        }
    }
}
