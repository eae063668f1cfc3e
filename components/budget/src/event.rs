//! Events handled by the ledger.

use errors::Result;
use platform::{Commit, CommitOutcome, PlatformError, Row};
use protocol::BudgetMessage;
use types::{AccountName, RouterId, Timestamp, Tokens};

use crate::{Bill, BudgetPeer, SettleOutcome};

/// Number that the caller of the ledger gives to a request. The answer carries the same number.
pub type Ticket = u64;

/// Number of a reservation, unique within one router process.
pub type ReservationId = u64;

/// Number of a call to the table, unique within one router process.
pub type CallId = u64;

/// Input of a router's ledger.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request asks to reserve the maximum number of tokens that it may use.
    Reserve {
        /// Returned with the answer.
        ticket: Ticket,
        /// Client account that pays.
        account: AccountName,
        /// Maximum number of tokens that the request may use.
        tokens: Tokens,
        /// Deadline of the wait for tokens.
        wait_until: Timestamp,
    },
    /// A request no longer waits for its reservation.
    Cancel {
        /// Client account that would have paid.
        account: AccountName,
        /// Ticket that the reservation was requested with.
        ticket: Ticket,
    },
    /// A request needs fewer tokens than are reserved for it.
    Shrink {
        /// Client account that pays.
        account: AccountName,
        /// Reservation to lower.
        reservation: ReservationId,
        /// Tokens that remain reserved.
        tokens: Tokens,
    },
    /// A request ended without a bill.
    Release {
        /// Client account that pays.
        account: AccountName,
        /// Reservation to end.
        reservation: ReservationId,
    },
    /// A request ended with a bill.
    Settle {
        /// Returned with the answer.
        ticket: Ticket,
        /// Client account that pays.
        account: AccountName,
        /// Reservation to end.
        reservation: ReservationId,
        /// Bill to commit, of at most the reserved tokens.
        bill: Bill,
        /// Preconditions and writes that are committed along with the bill.
        with: Commit,
        /// Deadline for the answer.
        deadline: Timestamp,
    },
    /// Time has passed; work may be due.
    Tick,
    /// A commit has completed.
    Committed {
        /// Number of the call.
        call: CallId,
        /// Result of the commit.
        outcome: CommitOutcome,
    },
    /// A read has completed.
    RowsRead {
        /// Number of the call.
        call: CallId,
        /// Rows in the order of the requested keys; `None` for a missing row.
        rows: Result<Vec<Option<Row>>, PlatformError>,
    },
    /// A peer has sent a message.
    Message {
        /// Sender.
        from: RouterId,
        /// Content of the message.
        message: BudgetMessage,
    },
    /// The set of live peers has changed. Known peers that are not in it count as dead.
    Peers(Vec<BudgetPeer>),
    /// The router is about to exit and has to return all tokens.
    Drain,
}

/// Answer to [`Event::Reserve`] or [`Event::Settle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Answer to [`Event::Reserve`].
    Reserved(Result<ReservationId>),
    /// Answer to [`Event::Settle`].
    Settled(Result<SettleOutcome>),
}
