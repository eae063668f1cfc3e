//! Reservation of prepaid tokens and billing of requests.

mod grant;
mod in_doubt_gauge;
mod ledger_task;
mod reservation;

use async_trait::async_trait;
use budget::{Bill, SettleOutcome};
use errors::Result;
use platform::Commit;
use types::{Timestamp, Tokens};

pub use self::{
    grant::GrantAccounting,
    in_doubt_gauge::read_in_doubt_grants,
    reservation::{Reservation, ReserveRequest},
};

/// Reserves tokens for requests and bills them.
#[async_trait]
pub trait Accounting: Send + Sync {
    /// Reserves the maximum number of tokens that a request can use, before it runs. If too few
    /// tokens are available, waits as long as the account's policy allows.
    ///
    /// # Errors
    /// `BudgetExhausted`, `BudgetShort` or `StoreUnavailable`; nothing is reserved then.
    async fn reserve(&self, req: &ReserveRequest) -> Result<Reservation>;

    /// Lowers a reservation to `tokens`, once that is known to suffice; does nothing if it is
    /// not larger.
    fn shrink(&self, reservation: &mut Reservation, tokens: Tokens);

    /// Releases the reservation of a request that is not billed.
    fn release(&self, reservation: Reservation);

    /// Bills a request and releases the rest of its reservation. Returns once the bill is
    /// durable. `intent_commit` is committed together with the bill; it is empty for a request
    /// without an intent row.
    ///
    /// # Errors
    /// `BillNotDurable` if the bill is not known to be durable at `deadline`.
    async fn settle(
        &self,
        reservation: Reservation,
        bill: Bill,
        intent_commit: Commit,
        deadline: Timestamp,
    ) -> Result<SettleOutcome>;

    /// Settles all open bills and returns all unspent grants, before the process ends.
    ///
    /// # Errors
    /// `StoreUnavailable` if not all of this was done by `deadline`.
    async fn drain(&self, deadline: Timestamp) -> Result<()>;
}
