//! Handling of messages from peers.

use std::collections::BTreeMap;

use protocol::{BilledRequest, BudgetBody, BudgetMessage, HoldBills};
use types::{AccountName, RequestId, RequestKey, RouterId, Tokens};

use super::Ledger;
use crate::{HeldBill, account::bills_held_message};

impl Ledger {
    /// Handles a message. Malformed messages and messages to another incarnation of this router
    /// have no effect on the accounts.
    pub(super) fn on_message(&mut self, from: &RouterId, message: &BudgetMessage) {
        self.cx.peers.record_message(from, self.cx.now);
        let local = self.cx.local.id.incarnation.0;
        match &message.body {
            Some(BudgetBody::Raise(body)) => {
                self.with_account_named(&body.account, |it, cx| it.on_raise(cx, from, body));
            }
            Some(BudgetBody::Raised(body)) if body.owner_incarnation == local => {
                self.with_account_named(&body.account, |it, _| it.on_raised(from, body));
            }
            Some(BudgetBody::Hold(body)) => self.on_hold(from, body),
            Some(BudgetBody::Held(body)) if body.owner_incarnation == local => {
                for request in body.requests.iter().filter_map(request_key) {
                    self.with_account(&request.account, |it, cx| it.on_held(cx, from, &request));
                }
            }
            Some(BudgetBody::Forget(body)) => {
                for request in body.requests.iter().filter_map(request_key) {
                    self.with_account(&request.account, |it, _| {
                        it.forget_held_bill(from, &request)
                    });
                }
            }
            Some(BudgetBody::Ask(body)) => {
                self.with_account_named(&body.account, |it, cx| it.on_ask(cx, from, body));
            }
            Some(BudgetBody::Loan(body)) if body.borrower_incarnation == local => {
                let total = Tokens(body.total);
                self.with_account_named(&body.account, |it, cx| it.on_loan(cx, from, total));
            }
            Some(BudgetBody::Credited(body)) if body.lender_incarnation == local => {
                let total = Tokens(body.total);
                self.with_account_named(&body.account, |it, _| it.on_credited(from, total));
            }
            _ => {}
        }
    }

    fn with_account_named(
        &mut self,
        name: &str,
        f: impl FnOnce(&mut crate::account::Account, &mut super::LedgerContext),
    ) {
        match AccountName::new(name) {
            Ok(name) => self.with_account(&name, f),
            Err(error) => log::warn!("a peer sent a message with an invalid account name: {error}"),
        }
    }

    fn on_hold(&mut self, from: &RouterId, message: &HoldBills) {
        let mut requests: BTreeMap<AccountName, Vec<RequestKey>> = BTreeMap::new();
        for text in &message.bills {
            let held = match serde_json::from_str::<HeldBill>(text) {
                Ok(held) if held.bill.router == *from => held,
                Ok(_) => continue,
                Err(error) => {
                    log::warn!("a peer sent a malformed bill: {error}");
                    continue;
                }
            };
            let key = held.bill.request.clone();
            self.with_account(&key.account, |it, _| it.hold_bill_for(from, held));
            requests.entry(key.account.clone()).or_default().push(key);
        }
        for requests in requests.values() {
            self.cx.send(&from.name, bills_held_message(from, requests));
        }
    }
}

fn request_key(request: &BilledRequest) -> Option<RequestKey> {
    let account = AccountName::new(&request.account).ok()?;
    let id = RequestId::new(&request.id).ok()?;
    Some(RequestKey::new(account, id))
}
