//! Token loans between routers.

use std::net::SocketAddr;

use super::{LoanMessage, PeerContent, gossip::encode, witnessing};
use crate::{
    allowance::{HolderStatement, LoanStep, Role},
    context::RelayContext,
};

/// Requests a loan of `tokens` of `account` from the first lender with a known address, starting
/// at the index `start`. Returns the number of the request; `None` if there is no such lender.
pub(crate) async fn ask_lender(
    cx: &RelayContext,
    account: &str,
    tokens: u64,
    start: usize,
) -> Option<u64> {
    let lenders = cx.lock_allowances().lenders(account);
    let lender = {
        let roster = cx.lock_roster();
        lenders.iter().skip(start).find_map(|it| roster.peer_address(it))?
    };
    let number = cx.gossip.lock_loans().begin(cx.now(), &mut cx.lock_rng());
    let (for_borrower, spent) = {
        let mut allowances = cx.lock_allowances();
        (allowances.role_for(account) == Role::Borrower, allowances.take_unreported(account))
    };
    let account = account.to_owned();
    let message =
        LoanMessage { number, account, tokens, for_borrower, spent, ..LoanMessage::default() };
    cx.gossip.send(&encode(PeerContent::LoanRequest(message)), lender).await;
    Some(number)
}

/// Lends tokens to a router that requests them. If they must be declared to the witnesses or
/// drawn from the store first, the request is deferred until that is done.
pub(super) async fn handle_loan_request(
    cx: &RelayContext,
    request: LoanMessage,
    borrower: SocketAddr,
) {
    let now = cx.now();
    if !cx.gossip.lock_loans().record_arrival(request.number, now) {
        return;
    }
    let step = {
        let mut allowances = cx.lock_allowances();
        allowances.report_for_borrower(&request.account, request.spent);
        allowances.prepare_loan(&request.account, request.tokens, request.for_borrower, now)
    };
    match step {
        LoanStep::Lend => send_loan(cx, request, borrower).await,
        LoanStep::Declare => {
            cx.gossip.lock_loans().defer(request, borrower, now);
            witnessing::send_declaration(cx).await;
        }
        LoanStep::Draw => {
            cx.gossip.lock_loans().defer(request, borrower, now);
            cx.allowance_wanted.notify_one();
        }
    }
}

/// Serves the loan requests that waited for a commit or a declaration.
pub(crate) async fn serve_deferred_loans(cx: &RelayContext) {
    let deferred = cx.gossip.lock_loans().take_deferred(cx.now());
    for (request, borrower) in deferred {
        send_loan(cx, request, borrower).await;
    }
}

/// Lends the available tokens. They are deducted before the answer is sent.
async fn send_loan(cx: &RelayContext, request: LoanMessage, borrower: SocketAddr) {
    let loan = {
        let mut allowances = cx.lock_allowances();
        let (account, now) = (&request.account, cx.now());
        let tokens = allowances.lend(account, request.tokens, request.for_borrower, now);
        let held = allowances.own_statement(account, now).map(|it| it.held);
        let (spent, undrawn) = (allowances.known_spent(account), allowances.known_undrawn(account));
        LoanMessage { tokens, spent, undrawn, held, ..request.clone() }
    };
    let tokens = loan.tokens;
    log::info!(account = request.account.as_str(), number = request.number, tokens, wanted = request.tokens, borrower:% = borrower; "tokens lent");
    metrics::counter!(telemetry::LOANED_TOKENS_TOTAL, "direction" => "lent").increment(tokens);
    cx.gossip.send(&encode(PeerContent::Loan(loan)), borrower).await;
}

/// Credits a loan that this router requested.
pub(super) fn handle_loan(cx: &RelayContext, loan: &LoanMessage, lender: SocketAddr) {
    if !cx.gossip.lock_loans().close(loan.number) {
        log::warn!(account = loan.account.as_str(), number = loan.number, tokens = loan.tokens, lender:% = lender; "unsolicited or duplicate loan ignored");
        return;
    }
    log::info!(account = loan.account.as_str(), number = loan.number, tokens = loan.tokens, lender:% = lender; "tokens borrowed");
    credit_loan(cx, loan);
    record_statement(cx, loan, lender);
    if loan.for_borrower {
        cx.lock_allowances().apply_holder_totals(&loan.account, loan.spent, loan.undrawn);
    }
    cx.allowance_changed.notify_waiters();
}

/// Records what the lender still has of the account.
fn record_statement(cx: &RelayContext, loan: &LoanMessage, lender: SocketAddr) {
    let Some(held) = loan.held else { return };
    let lenders = cx.lock_allowances().lenders(&loan.account);
    let holder = {
        let roster = cx.lock_roster();
        lenders.into_iter().find(|it| roster.peer_address(it) == Some(lender))
    };
    if let Some(holder) = holder {
        let statement = HolderStatement { held, undrawn: loan.undrawn };
        cx.lock_allowances().record_statement(&loan.account, holder, statement, cx.now());
    }
}

/// Gives borrowed tokens that this router does not need back to the first lender.
pub(super) async fn return_surplus(cx: &RelayContext) {
    let now = cx.now();
    let surplus = cx.lock_allowances().take_surplus(now);
    for (account, tokens) in surplus {
        let (lender, spent) = {
            let mut allowances = cx.lock_allowances();
            let lender = allowances.lenders(&account).first().cloned();
            (lender, allowances.take_unreported(&account))
        };
        let address = lender.and_then(|it| cx.lock_roster().peer_address(&it));
        let Some(address) = address else {
            log::warn!(account:% = account, tokens; "surplus tokens not returned: address of the lender unknown");
            cx.lock_allowances().credit(&account, tokens);
            cx.lock_allowances().report_for_borrower(&account, spent);
            continue;
        };
        let number = rand::Rng::random(&mut *cx.lock_rng());
        log::info!(account:% = account, number, tokens, lender:% = address; "tokens given back");
        let account = account.to_string();
        let message = LoanMessage { number, account, tokens, spent, ..LoanMessage::default() };
        cx.gossip.send(&encode(PeerContent::LoanReturn(message)), address).await;
    }
}

/// Credits tokens that another router returns.
pub(super) fn handle_return(cx: &RelayContext, returned: &LoanMessage, borrower: SocketAddr) {
    if !cx.gossip.lock_loans().record_arrival(returned.number, cx.now()) {
        log::warn!(account = returned.account.as_str(), number = returned.number, tokens = returned.tokens, borrower:% = borrower; "duplicate return of tokens ignored");
        return;
    }
    log::info!(account = returned.account.as_str(), number = returned.number, tokens = returned.tokens, borrower:% = borrower; "tokens received back");
    credit_loan(cx, returned);
    cx.lock_allowances().report_for_borrower(&returned.account, returned.spent);
    cx.allowance_changed.notify_waiters();
}

fn credit_loan(cx: &RelayContext, loan: &LoanMessage) {
    metrics::counter!(telemetry::LOANED_TOKENS_TOTAL, "direction" => "borrowed")
        .increment(loan.tokens);
    cx.lock_allowances().credit(&loan.account, loan.tokens);
}
