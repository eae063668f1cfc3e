//! Violations.

use thiserror::Error;
use types::{AccountName, RequestKey, Tokens};

use crate::CallId;

/// What a history violates.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// More was billed than had been deposited.
    #[error("account {account} was billed {billed} of {deposited} deposited tokens")]
    Overspend {
        /// Account.
        account: AccountName,
        /// Tokens billed.
        billed: Tokens,
        /// Tokens deposited before.
        deposited: Tokens,
    },
    /// A request was billed more than once.
    #[error("request {0} was billed more than once")]
    DuplicateBill(RequestKey),
    /// A caller got a whole answer that nobody was billed for.
    #[error("request {0} was answered and not billed")]
    MissingBill(RequestKey),
    /// A request was billed that never ran.
    #[error("request {0} was billed and did not run")]
    BillWithoutRun(RequestKey),
    /// A non-idempotent request ran more than once.
    #[error("non-idempotent request {0} ran more than once")]
    DuplicateRun(RequestKey),
    /// A caller got the answer of another request.
    #[error("call {call:?} of request {request} got the answer of {other}")]
    ForeignAnswer {
        /// Call.
        call: CallId,
        /// Its request.
        request: RequestKey,
        /// Request that the answer belongs to.
        other: RequestKey,
    },
    /// A caller got an answer that no endpoint produced as a whole.
    #[error("call {call:?} of request {request} got an answer that is not whole")]
    IncompleteAnswer {
        /// Call.
        call: CallId,
        /// Its request.
        request: RequestKey,
    },
    /// A request was refused as "not run" and had run, or ran without being sent again.
    #[error("call {call:?} of request {request} was refused as not run, but it ran")]
    NotRunThatRan {
        /// Call.
        call: CallId,
        /// Its request.
        request: RequestKey,
    },
    /// The calls of a non-idempotent request do not agree on one run.
    #[error("the calls of non-idempotent request {0} do not agree on one run")]
    NotLinearizable(RequestKey),
    /// An event names a call that was not made.
    #[error("there is no call {0:?}")]
    UnknownCall(CallId),
}
