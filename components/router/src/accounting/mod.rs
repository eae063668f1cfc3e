//! Budgets and bills as requests see them.

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
    in_doubt_gauge::read_in_doubt,
    reservation::{Reservation, ReserveRequest},
};

/// Budgets and bills as requests see them.
#[async_trait]
pub trait Accounting: Send + Sync {
    /// Reserves the worst case of a request before it runs, waiting as the account's
    /// policy says.
    ///
    /// # Errors
    /// `BudgetExhausted`, `BudgetShort` or `StoreUnavailable`; nothing is reserved then.
    async fn reserve(&self, req: &ReserveRequest) -> Result<Reservation>;

    /// Lowers a reservation to `tokens`, once less is known to suffice.
    fn shrink(&self, reservation: &mut Reservation, tokens: Tokens);

    /// Gives back a reservation whose request is not billed.
    fn release(&self, reservation: Reservation);

    /// Bills a request and gives back the rest of its reservation. Returns once the
    /// bill is durable. The writes of `with` take effect in the commit of the bill.
    ///
    /// # Errors
    /// `BillNotDurable` where the bill is not known to be durable at `deadline`.
    async fn settle(
        &self,
        reservation: Reservation,
        bill: Bill,
        with: Commit,
        deadline: Timestamp,
    ) -> Result<SettleOutcome>;

    /// Settles what is open and returns all unspent grants, before the process ends.
    ///
    /// # Errors
    /// `StoreUnavailable` where some of it could not be done by `deadline`.
    async fn drain(&self, deadline: Timestamp) -> Result<()>;
}
