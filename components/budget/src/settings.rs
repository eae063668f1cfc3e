//! Settings of the decisions about budgets.

use std::time::Duration;

use types::Tokens;

/// How the unspent grant of a dead router is recovered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantRecoveryPolicy {
    /// Grants are small, and what is left of a dead router's grant is in doubt until an
    /// operator decides.
    SmallGrants,
    /// A router spends only up to a ceiling that a peer has acknowledged; what is above
    /// the ceiling returns to the account when the router dies.
    WitnessedCeilings,
}

/// How much a router takes of an account.
#[derive(Debug, Clone, Copy)]
pub struct GrantSize {
    /// Time for which a grant lasts at the present spend rate.
    pub cover: Duration,
    /// Grant of an account whose spend rate is not known yet.
    pub min: Tokens,
}

/// Settings of the decisions about budgets.
#[derive(Debug, Clone)]
pub struct BudgetSettings {
    /// How the unspent grant of a dead router is recovered.
    pub policy: GrantRecoveryPolicy,
    /// Size of a grant that has a witness.
    pub witnessed_grant: GrantSize,
    /// Size of a grant that has none.
    pub small_grant: GrantSize,
    /// Time for which the ceiling lasts at the present spend rate while the table answers.
    pub ceiling_cover: Duration,
    /// Least time between two commits of one account on one router.
    pub commit_gap: Duration,
    /// Time between two looks at an account that needs nothing urgently.
    pub idle_gap: Duration,
    /// Age of an uncommitted bill from which on peers are asked to hold it.
    pub hold_after: Duration,
    /// Time after which an unanswered message is sent again.
    pub resend_after: Duration,
    /// Time between two rounds of asking the peers for loans.
    pub ask_gap: Duration,
    /// Wall clock at timestamp zero, in milliseconds of Unix time; for operators only.
    pub start_unix_ms: u64,
}

impl BudgetSettings {
    /// Returns the settings that go with `policy`.
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
