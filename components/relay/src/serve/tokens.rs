//! Reserves a request's tokens: waits a little for those that are being drawn or lent.

use std::time::Duration;

use errors::{Error, ErrorKind};
use tokio::time::Instant;
use utils::jitter;

use super::run::Run;
use crate::{
    allowance::{Reservation, Role, Shortage},
    context::RelayContext,
    peers::{ask_for_loan, ask_lenders},
};

/// Longest time for which a request waits for tokens that are being drawn: a few commits.
const TOKENS_WAIT: Duration = Duration::from_millis(120);

/// Time that the store has to give tokens before other routers are asked.
const STORE_WAIT: Duration = Duration::from_millis(15);

/// Time that a holder has to answer before the others are asked: a commit and two messages.
const HOLDER_WAIT: Duration = Duration::from_millis(30);

/// Part of the latency target for which a request waits for tokens at most, as a divisor.
const TOKENS_WAIT_DIVISOR: u32 = 9;

/// Time after which a caller may return to an account that has no tokens left that any
/// router could give, until an operator adds some.
const TOKENS_RETURN_LATE: Duration = Duration::from_secs(20);

/// Time after which a caller may return whose tokens other routers hold: they return idle
/// tokens within this time.
const TOKENS_RETURN: Duration = Duration::from_millis(800);

/// Whom a waiting request asks next, and from when on.
struct NextAsk {
    /// Holders that were asked.
    asked: usize,
    /// When the next ones are asked; `None` where all were.
    at: Option<Instant>,
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
    let mut next = NextAsk { asked: 0, at: Some(cx.instant(cx.now() + first_wait)) };
    loop {
        let changed = cx.allowance_changed.notified();
        let reserved = cx.lock_allowances().reserve(name, needed, cx.now());
        match reserved {
            Ok(reservation) => return Ok(Some(reservation)),
            Err(Shortage::Exhausted) => return Err(exhausted()),
            Err(Shortage::NoneInSight) => return Err(out_of_reach(run, TOKENS_RETURN_LATE)),
            Err(Shortage::OutOfReach) => {}
        }
        if is_borrower {
            ask_holders(cx, name, needed, &mut next).await;
        } else {
            ask_others(cx, name, needed, &mut next).await;
        }
        let wait_until = next.at.unwrap_or(until).min(until);
        if tokio::time::timeout_at(wait_until, changed).await.is_err() && Instant::now() >= until {
            let is_in_sight = cx.lock_allowances().note_refusal(name, needed, cx.now());
            let delay = if is_in_sight { TOKENS_RETURN } else { TOKENS_RETURN_LATE };
            return Err(out_of_reach(run, delay));
        }
    }
}

/// Asks one holder for what is missing, then, where it has not given enough in time, all
/// others and the store.
async fn ask_holders(cx: &RelayContext, name: &str, needed: u64, next: &mut NextAsk) {
    let Some(at) = next.at else { return };
    if Instant::now() < at {
        return;
    }
    let missing = cx.lock_allowances().missing(name, needed, cx.now());
    if next.asked == 0 {
        next.asked = ask_lenders(cx, name, missing, (0, 1)).await;
        next.at = Some(Instant::now() + HOLDER_WAIT);
        if next.asked > 0 {
            return;
        }
    }
    next.asked += ask_lenders(cx, name, missing, (next.asked, usize::MAX)).await;
    next.at = None;
    cx.lock_allowances().draw_alone(name);
    cx.allowance_wanted.notify_one();
}

/// Draws tokens from the store, and asks other routers where it does not give them in time.
async fn ask_others(cx: &RelayContext, name: &str, needed: u64, next: &mut NextAsk) {
    cx.allowance_wanted.notify_one();
    if cx.lock_allowances().needs_declaration(name, cx.now()) {
        cx.gossip.declare_to_witness(cx).await;
    }
    let Some(at) = next.at else { return };
    if cx.lock_allowances().needs_loan(name, needed) || Instant::now() >= at {
        next.at = None;
        ask_for_loan(cx, name, needed).await;
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
