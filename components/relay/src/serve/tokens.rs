//! Reserves a request's prepaid tokens; waits briefly for tokens that are being drawn or lent.

use std::time::Duration;

use errors::{Error, ErrorKind};
use tokio::time::Instant;
use utils::jitter;

use super::run::ActiveRequest;
use crate::{
    allowance::{Reservation, Role, Shortage},
    context::RelayContext,
    peers::ask_lender,
};

/// Longest time for which a request waits for tokens; enough for a few commits to the store.
const TOKENS_WAIT: Duration = Duration::from_millis(120);

/// Time for which a request waits for tokens from the store before it asks other routers.
const STORE_DRAW_WAIT: Duration = Duration::from_millis(15);

/// Time that a lender may take to answer before the next one is asked: enough for a commit and
/// two messages.
const LENDER_WAIT: Duration = Duration::from_millis(50);

/// The wait for tokens is at most the latency target divided by this.
const TOKENS_WAIT_DIVISOR: u32 = 9;

/// Mean retry delay returned to callers if no router can provide tokens of the account until an
/// operator adds some.
const EXHAUSTED_RETRY_DELAY: Duration = Duration::from_secs(20);

/// Mean retry delay returned to callers if other routers hold the tokens: they return idle tokens
/// within this time.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(800);

/// State of a waiting request's search for loans. Lenders are asked one after the other, and the
/// next one only if the last one did not lend enough or is late, since tokens that are lent
/// unnecessarily are missing at the lender.
struct LoanSearch {
    /// Number of lenders that were asked.
    lenders_asked: usize,
    /// Number of the last loan request; `None` before the first one.
    last_loan: Option<u64>,
    /// When the next lender is asked even if the last one has not answered; `None` if all lenders
    /// were asked.
    ask_next_at: Option<Instant>,
}

/// Reserves the maximum number of tokens that the request may use; waits briefly for tokens that
/// are being drawn or lent. Returns `None` if no reservation is needed.
///
/// # Errors
/// Returns an error if the tokens are used up or do not arrive in time.
pub(super) async fn reserve_tokens(request: &ActiveRequest) -> Result<Option<Reservation>, Error> {
    let (Some(tokens), Some(account)) = (request.head.tokens, &request.account) else {
        return Ok(None);
    };
    if account.prepaid_tokens.is_none() {
        return Ok(None);
    }
    let (cx, name, needed) = (&request.cx, &account.name, tokens.total());
    let wait = TOKENS_WAIT.min(request.route.latency_target / TOKENS_WAIT_DIVISOR);
    let until = cx.instant(cx.now() + wait);
    let is_borrower = cx.lock_allowances().role_for(name) == Role::Borrower;
    let first_wait = if is_borrower { Duration::ZERO } else { STORE_DRAW_WAIT.min(wait / 2) };
    let ask_next_at = Some(cx.instant(cx.now() + first_wait));
    let mut search = LoanSearch { lenders_asked: 0, last_loan: None, ask_next_at };
    loop {
        let changed = cx.allowance_changed.notified();
        let reserved = cx.lock_allowances().reserve(name, needed, cx.now());
        match reserved {
            Ok(reservation) => return Ok(Some(reservation)),
            Err(Shortage::Exhausted) => return Err(exhausted_error()),
            Err(Shortage::RecentlyRefused) => {
                if cx.lock_allowances().is_unobtainable(name, needed, cx.now()) {
                    return Err(unobtainable_error());
                }
                return Err(out_of_reach_error(request, EXHAUSTED_RETRY_DELAY));
            }
            Err(Shortage::OutOfReach) => {}
        }
        if !is_borrower {
            draw_tokens(cx, name, needed, &mut search).await;
        }
        ask_next_lender(cx, name, needed, &mut search).await;
        let wait_until = search.ask_next_at.unwrap_or(until).min(until);
        if tokio::time::timeout_at(wait_until, changed).await.is_err() && Instant::now() >= until {
            if cx.lock_allowances().is_unobtainable(name, needed, cx.now()) {
                return Err(unobtainable_error());
            }
            let may_become_available = cx.lock_allowances().record_refusal(name, needed, cx.now());
            let delay =
                if may_become_available { SHORTAGE_RETRY_DELAY } else { EXHAUSTED_RETRY_DELAY };
            return Err(out_of_reach_error(request, delay));
        }
    }
}

/// Requests a draw of tokens from the store. If held tokens may not be spent before the next
/// declaration, declares them to the witness. If the store cannot provide enough, the first lender
/// is asked at once.
async fn draw_tokens(cx: &RelayContext, name: &str, needed: u64, search: &mut LoanSearch) {
    cx.allowance_wanted.notify_one();
    if cx.lock_allowances().needs_declaration(name, cx.now()) {
        cx.gossip.declare_to_witness(cx).await;
    }
    if search.lenders_asked == 0 && cx.lock_allowances().needs_loan(name, needed) {
        search.ask_next_at = Some(Instant::now());
    }
}

/// Asks the next lender for the missing tokens if the last one has answered or is late. If no
/// lender is left, a borrower draws from the store itself.
async fn ask_next_lender(cx: &RelayContext, name: &str, needed: u64, search: &mut LoanSearch) {
    let Some(ask_next_at) = search.ask_next_at else { return };
    let is_answered = search.last_loan.is_some_and(|it| !cx.gossip.is_loan_open(it));
    if Instant::now() < ask_next_at && !is_answered {
        return;
    }
    let missing = cx.lock_allowances().missing(name, needed, cx.now());
    search.last_loan = ask_lender(cx, name, missing, search.lenders_asked).await;
    search.lenders_asked += 1;
    search.ask_next_at = search.last_loan.map(|_| Instant::now() + LENDER_WAIT);
    if search.ask_next_at.is_none() {
        cx.lock_allowances().allow_direct_draw(name);
        cx.allowance_wanted.notify_one();
    }
}

fn exhausted_error() -> Error {
    metrics::counter!(telemetry::BUDGET_REFUSALS_TOTAL, "reason" => "exhausted").increment(1);
    Error::new(ErrorKind::BudgetExhausted, "the account's prepaid tokens are used up")
}

/// Returns the error for a request whose tokens no router has. They count as spent although some may
/// have been lost with a router.
fn unobtainable_error() -> Error {
    metrics::counter!(telemetry::BUDGET_REFUSALS_TOTAL, "reason" => "unobtainable").increment(1);
    Error::new(ErrorKind::BudgetExhausted, "no router holds enough of the account's prepaid tokens")
}

fn out_of_reach_error(request: &ActiveRequest, mean_delay: Duration) -> Error {
    metrics::counter!(telemetry::BUDGET_REFUSALS_TOTAL, "reason" => "out_of_reach").increment(1);
    let delay = jitter(mean_delay, &mut request.cx.lock_rng());
    let message = "the account's tokens are out of reach";
    Error::new(ErrorKind::BudgetShort, message).with_retry_delay(delay)
}
