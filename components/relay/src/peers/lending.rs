//! Loans of tokens between routers.

use std::net::SocketAddr;

use super::{LoanMessage, PeerContent, gossip::encode, witnessing};
use crate::{
    allowance::{LoanStep, Role},
    context::RelayContext,
};

/// Asks the lender at this place to lend tokens of `account`. Returns the number of the
/// request; `None` where there is no lender at this place or after it.
pub(crate) async fn ask_lender(
    cx: &RelayContext,
    account: &str,
    tokens: u64,
    place: usize,
) -> Option<u64> {
    let lenders = cx.lock_allowances().lenders(account);
    let lender = {
        let roster = cx.lock_roster();
        lenders.iter().skip(place).find_map(|it| roster.peer_address(it))?
    };
    let number = cx.gossip.lock_loans().begin(cx.now(), &mut cx.lock_rng());
    let (for_use, spent) = {
        let mut book = cx.lock_allowances();
        (book.role_for(account) == Role::Borrower, book.take_unreported(account))
    };
    let account = account.to_owned();
    let message = LoanMessage { number, account, tokens, for_use, spent, undrawn: 0 };
    cx.gossip.send(&encode(PeerContent::LoanRequest(message)), lender).await;
    Some(number)
}

/// Lends tokens to a router that asks. Where they must not leave before a declaration, or
/// are to be drawn, that is done first and the request is kept until then.
pub(super) async fn lend(cx: &RelayContext, request: LoanMessage, borrower: SocketAddr) {
    let now = cx.now();
    if !cx.gossip.lock_loans().record_arrival(request.number, now) {
        return;
    }
    let step = {
        let mut book = cx.lock_allowances();
        book.report_for_borrower(&request.account, request.spent);
        book.prepare_loan(&request.account, request.tokens, request.for_use, now)
    };
    match step {
        LoanStep::Lend => send_loan(cx, request, borrower).await,
        LoanStep::Declare => {
            cx.gossip.lock_loans().keep(request, borrower, now);
            witnessing::declare(cx).await;
        }
        LoanStep::Draw => {
            cx.gossip.lock_loans().keep(request, borrower, now);
            cx.allowance_wanted.notify_one();
        }
    }
}

/// Serves the requests that waited for a commit or a declaration.
pub(crate) async fn serve_deferred_loans(cx: &RelayContext) {
    let kept = cx.gossip.lock_loans().take_kept(cx.now());
    for (request, borrower) in kept {
        send_loan(cx, request, borrower).await;
    }
}

/// Lends what is available. The tokens are taken out before the answer is sent.
async fn send_loan(cx: &RelayContext, request: LoanMessage, borrower: SocketAddr) {
    let (tokens, spent, undrawn) = {
        let mut book = cx.lock_allowances();
        let account = &request.account;
        let tokens = book.lend(account, request.tokens, request.for_use, cx.now());
        (tokens, book.known_spent(account), book.known_undrawn(account))
    };
    log::info!(account = request.account.as_str(), tokens, wanted = request.tokens, borrower:% = borrower; "tokens lent");
    metrics::counter!(telemetry::LOANED_TOKENS_TOTAL, "direction" => "lent").increment(tokens);
    let loan = LoanMessage { tokens, spent, undrawn, ..request };
    cx.gossip.send(&encode(PeerContent::Loan(loan)), borrower).await;
}

/// Takes in a loan that this router has asked for.
pub(super) fn borrow(cx: &RelayContext, loan: &LoanMessage, lender: SocketAddr) {
    if !cx.gossip.lock_loans().take(loan.number) {
        log::warn!(account = loan.account.as_str(), tokens = loan.tokens, lender:% = lender; "loan that was not asked for, or came twice, ignored");
        return;
    }
    log::info!(account = loan.account.as_str(), tokens = loan.tokens, lender:% = lender; "tokens borrowed");
    take_in(cx, loan);
    if loan.for_use {
        cx.lock_allowances().hear_row(&loan.account, loan.spent, loan.undrawn);
    }
    cx.allowance_changed.notify_waiters();
}

/// Gives back what this router has borrowed and has no use for.
pub(super) async fn return_surplus(cx: &RelayContext) {
    let now = cx.now();
    let surplus = cx.lock_allowances().take_surplus(now);
    for (account, tokens) in surplus {
        let (lender, spent) = {
            let mut book = cx.lock_allowances();
            let lender = book.lenders(&account).first().cloned();
            (lender, book.take_unreported(&account))
        };
        let address = lender.and_then(|it| cx.lock_roster().peer_address(&it));
        let Some(address) = address else {
            log::warn!(account:% = account, tokens; "tokens kept: the address of their lender is not known");
            cx.lock_allowances().borrow(&account, tokens);
            cx.lock_allowances().report_for_borrower(&account, spent);
            continue;
        };
        let number = rand::Rng::random(&mut *cx.lock_rng());
        log::info!(account:% = account, tokens, lender:% = address; "tokens given back");
        let account = account.to_string();
        let message = LoanMessage { number, account, tokens, spent, ..LoanMessage::default() };
        cx.gossip.send(&encode(PeerContent::Return(message)), address).await;
    }
}

/// Takes in tokens that another router gives back.
pub(super) fn take_back(cx: &RelayContext, returned: &LoanMessage, borrower: SocketAddr) {
    if !cx.gossip.lock_loans().record_arrival(returned.number, cx.now()) {
        log::warn!(account = returned.account.as_str(), tokens = returned.tokens, borrower:% = borrower; "tokens given back twice ignored");
        return;
    }
    take_in(cx, returned);
    cx.lock_allowances().report_for_borrower(&returned.account, returned.spent);
    cx.allowance_changed.notify_waiters();
}

fn take_in(cx: &RelayContext, loan: &LoanMessage) {
    metrics::counter!(telemetry::LOANED_TOKENS_TOTAL, "direction" => "borrowed")
        .increment(loan.tokens);
    cx.lock_allowances().borrow(&loan.account, loan.tokens);
}
