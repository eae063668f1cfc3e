//! Actions that a ledger requests from its caller.

use platform::{Commit, Key};
use protocol::BudgetMessage;
use types::RouterName;

use crate::{Answer, CallId, Ticket};

/// Action that a ledger requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read rows of the table, all as of the same point in time.
    Read {
        /// Number of the call, to be passed back with its result.
        call: CallId,
        /// Keys of the rows.
        keys: Vec<Key>,
    },
    /// Commit to the table.
    Commit {
        /// Number of the call, to be passed back with its result.
        call: CallId,
        /// Preconditions and writes.
        commit: Commit,
    },
    /// Send a message to a peer. Delivery is not guaranteed.
    Send {
        /// Name of the peer.
        to: RouterName,
        /// Content of the message.
        message: BudgetMessage,
    },
    /// Answer a request.
    Answer {
        /// Ticket that the request was made with.
        ticket: Ticket,
        /// Content of the answer.
        answer: Answer,
    },
    /// All tokens are returned to the budgets; the router may exit.
    Drained,
}
