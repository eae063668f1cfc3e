//! Actions of the ledger.

use platform::{Commit, Key};
use protocol::BudgetMessage;
use types::RouterName;

use crate::{Answer, CallId, Ticket};

/// What a router's ledger wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read rows of the table at one moment.
    Read {
        /// Number of the call.
        call: CallId,
        /// Keys.
        keys: Vec<Key>,
    },
    /// Commit.
    Commit {
        /// Number of the call.
        call: CallId,
        /// The commit.
        commit: Commit,
    },
    /// Send a message to a peer. It may be lost.
    Send {
        /// The peer.
        to: RouterName,
        /// The message.
        message: BudgetMessage,
    },
    /// Answer a request.
    Answer {
        /// Its ticket.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Everything is returned; the router may end.
    Drained,
}
