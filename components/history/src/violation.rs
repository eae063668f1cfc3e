//! Violations of the guarantees that histories are checked for.

use thiserror::Error;
use types::{AccountName, RequestKey, Tokens};

use crate::CallId;

/// Violation found in a history.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// An account was billed for more tokens than had been deposited.
    #[error("account {account} was billed {billed} of {deposited} deposited tokens")]
    Overspend {
        /// Account that was overspent.
        account: AccountName,
        /// Tokens billed so far, including the bill that exceeds the deposits.
        billed: Tokens,
        /// Tokens deposited before that bill.
        deposited: Tokens,
    },
    /// A request was billed more than once.
    #[error("request {0} was billed more than once")]
    DuplicateBill(RequestKey),
    /// A caller received a complete answer, but its request was not billed.
    #[error("request {0} was answered and not billed")]
    MissingBill(RequestKey),
    /// A request was billed but never ran.
    #[error("request {0} was billed and did not run")]
    BillWithoutRun(RequestKey),
    /// A non-idempotent request ran more than once.
    #[error("non-idempotent request {0} ran more than once")]
    DuplicateRun(RequestKey),
    /// A caller received the answer to another request.
    #[error("call {call:?} of request {request} received the answer to request {other}")]
    ForeignAnswer {
        /// Call that received the answer.
        call: CallId,
        /// Request of that call.
        request: RequestKey,
        /// Request that the answer belongs to.
        other: RequestKey,
    },
    /// A caller received an answer that is not the complete answer of any run.
    #[error("call {call:?} of request {request} received an incomplete answer")]
    IncompleteAnswer {
        /// Call that received the answer.
        call: CallId,
        /// Request of that call.
        request: RequestKey,
    },
    /// A call was refused with the statement that the request did not run, but the request had
    /// already run, or ran later without another call.
    #[error("call {call:?} of request {request} was refused as not run, but it ran")]
    RanDespiteRefusal {
        /// Call that was refused.
        call: CallId,
        /// Request of that call.
        request: RequestKey,
    },
    /// The responses to the calls of a non-idempotent request are not consistent with one run.
    #[error("the calls of non-idempotent request {0} do not agree on one run")]
    NotLinearizable(RequestKey),
    /// An event refers to a call that was never made.
    #[error("call {0:?} was never made")]
    UnknownCall(CallId),
}
