//! Messages about budgets: lending, witnesses, bills held for peers.
//!
//! All of them may be lost, late or doubled: amounts are running totals, of which the
//! receiver keeps the highest.

use prost::{Message, Oneof};

/// Messages about budgets: lending, witnesses, bills held for peers.
#[derive(Clone, PartialEq, Message)]
pub struct BudgetMessage {
    /// The message; absent where a newer version sent another.
    #[prost(oneof = "BudgetBody", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<BudgetBody>,
}

/// One message about budgets.
#[derive(Clone, PartialEq, Oneof)]
pub enum BudgetBody {
    /// Owner to witness.
    #[prost(message, tag = "1")]
    Raise(RaiseCeiling),
    /// Witness to owner.
    #[prost(message, tag = "2")]
    Raised(CeilingRaised),
    /// Owner to holder.
    #[prost(message, tag = "3")]
    Hold(HoldBills),
    /// Holder to owner.
    #[prost(message, tag = "4")]
    Held(BillsHeld),
    /// Owner to holder.
    #[prost(message, tag = "5")]
    Forget(ForgetBills),
    /// Borrower to donor.
    #[prost(message, tag = "6")]
    Ask(LoanRequest),
    /// Donor to borrower.
    #[prost(message, tag = "7")]
    Loan(LoanTotal),
    /// Borrower to donor.
    #[prost(message, tag = "8")]
    Credited(LoanCredited),
}

/// Asks the witness to acknowledge a higher ceiling.
#[derive(Clone, PartialEq, Message)]
pub struct RaiseCeiling {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Incarnation of the witness that the grant row names.
    #[prost(uint64, tag = "2")]
    pub witness_incarnation: u64,
    /// Epoch of the grant row.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Ceiling, in tokens that have ever left the grant row.
    #[prost(uint64, tag = "4")]
    pub ceiling: u64,
}

/// Acknowledges a ceiling, or says that the epoch is closed.
#[derive(Clone, PartialEq, Message)]
pub struct CeilingRaised {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Incarnation of the owner.
    #[prost(uint64, tag = "2")]
    pub owner_incarnation: u64,
    /// Epoch of the grant row.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Ceiling that the witness keeps.
    #[prost(uint64, tag = "4")]
    pub ceiling: u64,
    /// Whether the witness has closed the epoch.
    #[prost(bool, tag = "5")]
    pub is_closed: bool,
}

/// Asks a peer to hold bills until they are committed.
#[derive(Clone, PartialEq, Message)]
pub struct HoldBills {
    /// The bills, each as JSON text of a held bill.
    #[prost(string, repeated, tag = "1")]
    pub bills: Vec<String>,
}

/// Says which bills a peer holds.
#[derive(Clone, PartialEq, Message)]
pub struct BillsHeld {
    /// Incarnation of the owner.
    #[prost(uint64, tag = "1")]
    pub owner_incarnation: u64,
    /// Requests whose bills are held.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<BilledRequest>,
}

/// Says which bills need not be held any more, since they are committed.
#[derive(Clone, PartialEq, Message)]
pub struct ForgetBills {
    /// Requests whose bills are committed.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<BilledRequest>,
}

/// Names a request that is billed.
#[derive(Clone, PartialEq, Message)]
pub struct BilledRequest {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Request id.
    #[prost(string, tag = "2")]
    pub id: String,
}

/// Asks a peer for unspent tokens.
#[derive(Clone, PartialEq, Message)]
pub struct LoanRequest {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Tokens that the borrower lacks.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Time that the first request in the borrower's queue has waited, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub waited_ms: u64,
}

/// Says how much the donor has lent to the borrower, in all.
#[derive(Clone, PartialEq, Message)]
pub struct LoanTotal {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Incarnation of the borrower.
    #[prost(uint64, tag = "2")]
    pub borrower_incarnation: u64,
    /// Tokens lent in all. Never shrinks.
    #[prost(uint64, tag = "3")]
    pub total: u64,
}

/// Acknowledges a loan.
#[derive(Clone, PartialEq, Message)]
pub struct LoanCredited {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Incarnation of the donor.
    #[prost(uint64, tag = "2")]
    pub donor_incarnation: u64,
    /// Tokens credited in all.
    #[prost(uint64, tag = "3")]
    pub total: u64,
}
