//! Totals of the tokens of one account that a process has received and given away, by which a token
//! can be followed through logs and metrics.

/// Tokens of one account that this process has received and given away since its start.
///
/// `drawn + borrowed + taken_over = held + returning + spent + lent + returned`, where `held` and
/// `returning` are those of the account on this router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenLedger {
    /// Drawn from the account's row.
    pub drawn: u64,
    /// Received from other routers, as loans or given back.
    pub borrowed: u64,
    /// Taken over from the previous process of this router.
    pub taken_over: u64,
    /// Spent by requests that have ended.
    pub spent: u64,
    /// Lent or given back to other routers.
    pub lent: u64,
    /// Returned to the account's row.
    pub returned: u64,
}

impl TokenLedger {
    /// Returns the totals, each with its label for metrics.
    pub fn totals(&self) -> [(&'static str, u64); 6] {
        [
            ("drawn", self.drawn),
            ("borrowed", self.borrowed),
            ("taken_over", self.taken_over),
            ("spent", self.spent),
            ("lent", self.lent),
            ("returned", self.returned),
        ]
    }
}
