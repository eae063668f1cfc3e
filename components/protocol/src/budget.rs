//! Messages about budgets: loans of tokens, witnesses of grants, and bills held for peers.
//!
//! Messages may be lost, delayed or duplicated. Amounts are therefore running totals, and the
//! receiver keeps the highest value.

use prost::{Message, Oneof};

/// Envelope of the messages about budgets.
#[derive(Clone, PartialEq, Message)]
pub struct BudgetMessage {
    /// The message; `None` if a newer version sent a kind unknown to this version.
    #[prost(oneof = "BudgetBody", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<BudgetBody>,
}

/// Kinds of messages about budgets.
#[derive(Clone, PartialEq, Oneof)]
pub enum BudgetBody {
    /// Sent by the owner of a grant to its witness.
    #[prost(message, tag = "1")]
    Raise(RaiseCeiling),
    /// Sent by the witness to the owner of the grant.
    #[prost(message, tag = "2")]
    Raised(CeilingRaised),
    /// Sent by the owner of bills to the peer that holds them.
    #[prost(message, tag = "3")]
    Hold(HoldBills),
    /// Sent by the peer that holds bills to their owner.
    #[prost(message, tag = "4")]
    Held(BillsHeld),
    /// Sent by the owner of bills to the peer that holds them.
    #[prost(message, tag = "5")]
    Forget(ForgetBills),
    /// Sent by the borrower to the lender.
    #[prost(message, tag = "6")]
    Ask(LoanRequest),
    /// Sent by the lender to the borrower.
    #[prost(message, tag = "7")]
    Loan(LoanTotal),
    /// Sent by the borrower to the lender.
    #[prost(message, tag = "8")]
    Credited(LoanCredited),
}

/// Asks the witness to acknowledge a higher ceiling of a grant.
#[derive(Clone, PartialEq, Message)]
pub struct RaiseCeiling {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Incarnation of the witness, as named in the grant row.
    #[prost(uint64, tag = "2")]
    pub witness_incarnation: u64,
    /// Epoch of the grant row.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Requested ceiling, as a limit of the total of tokens that have left the grant row.
    #[prost(uint64, tag = "4")]
    pub ceiling: u64,
}

/// Acknowledges a ceiling, or reports that the epoch is closed.
#[derive(Clone, PartialEq, Message)]
pub struct CeilingRaised {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Incarnation of the owner of the grant.
    #[prost(uint64, tag = "2")]
    pub owner_incarnation: u64,
    /// Epoch of the grant row.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Ceiling that the witness has recorded.
    #[prost(uint64, tag = "4")]
    pub ceiling: u64,
    /// Whether the witness has closed the epoch.
    #[prost(bool, tag = "5")]
    pub is_closed: bool,
}

/// Asks a peer to hold bills until they are committed.
#[derive(Clone, PartialEq, Message)]
pub struct HoldBills {
    /// The bills, each a `HeldBill` of the budget crate as JSON.
    #[prost(string, repeated, tag = "1")]
    pub bills: Vec<String>,
}

/// Reports which bills a peer holds.
#[derive(Clone, PartialEq, Message)]
pub struct BillsHeld {
    /// Incarnation of the owner of the bills.
    #[prost(uint64, tag = "1")]
    pub owner_incarnation: u64,
    /// Requests whose bills are held.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<BilledRequest>,
}

/// Reports bills that are committed and no longer need to be held.
#[derive(Clone, PartialEq, Message)]
pub struct ForgetBills {
    /// Requests whose bills are committed.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<BilledRequest>,
}

/// Key of a billed request.
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
    /// Time for which the first request in the borrower's queue has waited, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub waited_ms: u64,
}

/// Reports the total that the lender has lent to the borrower.
#[derive(Clone, PartialEq, Message)]
pub struct LoanTotal {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Incarnation of the borrower.
    #[prost(uint64, tag = "2")]
    pub borrower_incarnation: u64,
    /// Total of tokens lent. Never decreases.
    #[prost(uint64, tag = "3")]
    pub total: u64,
}

/// Acknowledges a loan.
#[derive(Clone, PartialEq, Message)]
pub struct LoanCredited {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Incarnation of the lender.
    #[prost(uint64, tag = "2")]
    pub lender_incarnation: u64,
    /// Total of tokens credited to the borrower.
    #[prost(uint64, tag = "3")]
    pub total: u64,
}
