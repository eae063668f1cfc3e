//! Reserves a request's tokens: waits a little for those that are being drawn or lent.

use std::time::Duration;

use errors::{Error, ErrorKind};
use tokio::time::Instant;
use utils::jitter;

use super::run::Run;
use crate::{
    allowance::{Reservation, Role, Shortage},
    context::RelayContext,
    peers::ask_lender,
};

/// Longest time for which a request waits for tokens that are being drawn: a few commits.
const TOKENS_WAIT: Duration = Duration::from_millis(120);

/// Time that the store has to give tokens before other routers are asked.
const STORE_WAIT: Duration = Duration::from_millis(15);

/// Time that a lender has to answer before the next one is asked: a commit and two messages.
const HOLDER_WAIT: Duration = Duration::from_millis(30);

/// Part of the latency target for which a request waits for tokens at most, as a divisor.
const TOKENS_WAIT_DIVISOR: u32 = 9;

/// Time after which a caller may return to an account that has no tokens left that any
/// router could give, until an operator adds some.
const TOKENS_RETURN_LATE: Duration = Duration::from_secs(20);

/// Time after which a caller may return whose tokens other routers hold: they return idle
/// tokens within this time.
const TOKENS_RETURN: Duration = Duration::from_millis(800);

/// The loans that a waiting request has asked for, from one router after the other: a second
/// one is only asked where the first does not give enough, as what was lent in vain is
/// missing elsewhere.
struct LoanSearch {
    /// Lenders that were asked.
    asked: usize,
    /// Number of the last request for a loan.
    last: Option<u64>,
    /// When the next lender is asked, answer or not; `None` where all were.
    next_at: Option<Instant>,
}

/// Reserves the most tokens that the request may use; waits a little for tokens that are
/// being drawn or lent.
pub(super) async fn reserve_tokens(run: &Run) -> Result<Option<Reservation>, Error> {
    let (Some(tokens), Some(account)) = (run.head.tokens, &run.account) else { return Ok(None) };
    if account.prepaid_tokens.is_none() {
        return Ok(None);
    }
    let (cx, name, needed) = (&run.cx, &account.name, tokens.total());
    let wait = TOKENS_WAIT.min(run.route.latency_target / TOKENS_WAIT_DIVISOR);
    let until = cx.instant(cx.now() + wait);
    let is_borrower = cx.lock_allowances().role_for(name) == Role::Borrower;
    let first_wait = if is_borrower { Duration::ZERO } else { STORE_WAIT.min(wait / 2) };
    let next_at = Some(cx.instant(cx.now() + first_wait));
    let mut search = LoanSearch { asked: 0, last: None, next_at };
    loop {
        let changed = cx.allowance_changed.notified();
        let reserved = cx.lock_allowances().reserve(name, needed, cx.now());
        match reserved {
            Ok(reservation) => return Ok(Some(reservation)),
            Err(Shortage::Exhausted) => return Err(exhausted()),
            Err(Shortage::RecentlyRefused) => return Err(out_of_reach(run, TOKENS_RETURN_LATE)),
            Err(Shortage::OutOfReach) => {}
        }
        if !is_borrower {
            draw(cx, name, needed, &mut search).await;
        }
        ask_next(cx, name, needed, &mut search).await;
        let wait_until = search.next_at.unwrap_or(until).min(until);
        if tokio::time::timeout_at(wait_until, changed).await.is_err() && Instant::now() >= until {
            let is_in_sight = cx.lock_allowances().record_refusal(name, needed, cx.now());
            let delay = if is_in_sight { TOKENS_RETURN } else { TOKENS_RETURN_LATE };
            return Err(out_of_reach(run, delay));
        }
    }
}

/// Draws tokens from the store, or declares that held ones may leave. Where the store will
/// not give them, lenders are asked at once.
async fn draw(cx: &RelayContext, name: &str, needed: u64, search: &mut LoanSearch) {
    cx.allowance_wanted.notify_one();
    if cx.lock_allowances().needs_declaration(name, cx.now()) {
        cx.gossip.declare_to_witness(cx).await;
    }
    if search.asked == 0 && cx.lock_allowances().needs_loan(name, needed) {
        search.next_at = Some(Instant::now());
    }
}

/// Asks the next lender for what is missing where the last one has answered or is late.
/// After the last one, borrowers turn to the store.
async fn ask_next(cx: &RelayContext, name: &str, needed: u64, search: &mut LoanSearch) {
    let Some(next_at) = search.next_at else { return };
    let is_answered = search.last.is_some_and(|it| !cx.gossip.is_loan_open(it));
    if Instant::now() < next_at && !is_answered {
        return;
    }
    let missing = cx.lock_allowances().missing(name, needed, cx.now());
    search.last = ask_lender(cx, name, missing, search.asked).await;
    search.asked += 1;
    search.next_at = search.last.map(|_| Instant::now() + HOLDER_WAIT);
    if search.next_at.is_none() {
        cx.lock_allowances().allow_direct_draw(name);
        cx.allowance_wanted.notify_one();
    }
}

fn exhausted() -> Error {
    metrics::counter!(telemetry::BUDGET_REFUSALS_TOTAL, "reason" => "exhausted").increment(1);
    Error::new(ErrorKind::BudgetExhausted, "the prepaid tokens are spent")
}

fn out_of_reach(run: &Run, mean_delay: Duration) -> Error {
    metrics::counter!(telemetry::BUDGET_REFUSALS_TOTAL, "reason" => "out_of_reach").increment(1);
    let delay = jitter(mean_delay, &mut run.cx.lock_rng());
    let message = "the account's tokens are out of reach";
    Error::new(ErrorKind::BudgetShort, message).with_retry_delay(delay)
}
