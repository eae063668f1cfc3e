//! Events of the ledger.

use errors::Result;
use platform::{Commit, CommitOutcome, PlatformError, Row};
use protocol::BudgetMessage;
use types::{AccountName, RouterId, Timestamp, Tokens};

use crate::{Bill, BudgetPeer, SettleOutcome};

/// Number that its sender gives to a request to the ledger, for the answer.
pub type Ticket = u64;

/// Number of a reservation on its router.
pub type ReservationId = u64;

/// Number of a call to the table.
pub type CallId = u64;

/// What happens to a router's ledger.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request wants to reserve its worst case.
    Reserve {
        /// For the answer.
        ticket: Ticket,
        /// Client account that pays.
        account: AccountName,
        /// Worst case.
        tokens: Tokens,
        /// End of the longest wait.
        wait_until: Timestamp,
    },
    /// A request no longer waits for its answer.
    Cancel {
        /// Client account that would have paid.
        account: AccountName,
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// A request needs less than was reserved.
    Shrink {
        /// Client account that pays.
        account: AccountName,
        /// Reservation.
        reservation: ReservationId,
        /// What it still needs.
        tokens: Tokens,
    },
    /// A request ends without a bill.
    Release {
        /// Client account that pays.
        account: AccountName,
        /// Reservation.
        reservation: ReservationId,
    },
    /// A request ends with a bill.
    Settle {
        /// For the answer.
        ticket: Ticket,
        /// Client account that pays.
        account: AccountName,
        /// Reservation.
        reservation: ReservationId,
        /// Bill.
        bill: Bill,
        /// Writes that take effect in the commit of the bill.
        with: Commit,
        /// When the answer is due at the latest.
        deadline: Timestamp,
    },
    /// Time has passed.
    Tick,
    /// A commit has ended.
    Committed {
        /// Number of the call.
        call: CallId,
        /// Its outcome.
        outcome: CommitOutcome,
    },
    /// A read has ended.
    RowsRead {
        /// Number of the call.
        call: CallId,
        /// The rows, in the order of the keys.
        rows: Result<Vec<Option<Row>>, PlatformError>,
    },
    /// A peer has sent a message.
    Message {
        /// The peer.
        from: RouterId,
        /// The message.
        message: BudgetMessage,
    },
    /// The live peers are known anew. Whoever is not among them counts as dead.
    Peers(Vec<BudgetPeer>),
    /// The router ends: return everything.
    Drain,
}

/// Answer to a request to the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Answer to [`Event::Reserve`].
    Reserved(Result<ReservationId>),
    /// Answer to [`Event::Settle`].
    Settled(Result<SettleOutcome>),
}
