//! Bills on their way into the table, and bills held for other routers.

use std::collections::{BTreeMap, BTreeSet};

use errors::{Error, ErrorKind};
use platform::Commit;
use protocol::{BilledRequest, BillsHeld, BudgetBody, ForgetBills, HoldBills};
use types::{RequestKey, RouterId, RouterName, Timestamp};

use super::Account;
use crate::{
    Answer, Bill, BudgetPeer, HeldBill, ReservationId, SettleOutcome, Ticket, ledger::LedgerContext,
};

/// Peers that hold a bill before it counts as durable.
const HOLDERS_PER_BILL: usize = 2;

/// Most bills in one message.
const HOLD_BATCH_MAX: usize = 200;

/// Conflicts on the rows beside a bill after which it is committed without them.
const ATTACHED_CONFLICTS_MAX: u32 = 3;

/// A bill that is not known to be in the table.
#[derive(Debug)]
pub(super) struct PendingBill {
    /// The bill and what is written beside it.
    pub(super) held: HeldBill,
    /// Since when it is pending.
    since: Timestamp,
    /// Requests that wait until it is durable.
    waiters: Vec<SettleWaiter>,
    /// Peers that were asked to hold it.
    holders: BTreeMap<RouterId, Holder>,
    /// Conflicts on the rows beside it.
    attached_conflicts: u32,
}

#[derive(Debug)]
struct SettleWaiter {
    /// For the answer.
    ticket: Ticket,
    /// When the answer is due at the latest.
    deadline: Timestamp,
    /// Outcome once the bill is durable.
    outcome: SettleOutcome,
}

#[derive(Debug)]
struct Holder {
    /// When the bill was last sent to it.
    sent: Timestamp,
    /// Whether it has said that it holds the bill.
    has_acknowledged: bool,
}

impl Account {
    /// Turns a reservation into a bill.
    pub(crate) fn settle(
        &mut self,
        cx: &mut LedgerContext,
        ticket: Ticket,
        reservation: ReservationId,
        held: HeldBill,
        deadline: Timestamp,
    ) {
        let Some(reserved) = self.release(cx, reservation) else {
            let error = Error::new(ErrorKind::Internal, "there is no such reservation");
            return cx.answer(ticket, Answer::Settled(Err(error)));
        };
        let bill = &held.bill;
        if bill.request.account != self.name || bill.tokens > reserved {
            let message = format!(
                "the bill of {} tokens for {} does not fit into {reserved} tokens of {}",
                bill.tokens, bill.request, self.name
            );
            return cx
                .answer(ticket, Answer::Settled(Err(Error::new(ErrorKind::Internal, message))));
        }
        self.rate.record(bill.tokens, cx.now);
        self.add_bill(cx.now, ticket, held, deadline);
    }

    fn add_bill(&mut self, now: Timestamp, ticket: Ticket, held: HeldBill, deadline: Timestamp) {
        let key = held.bill.request.clone();
        if let Some(seq) = self.seq_by_request.get(&key)
            && let Some(pending) = self.bills.get_mut(seq)
        {
            let outcome = SettleOutcome::AlreadyBilled;
            pending.waiters.push(SettleWaiter { ticket, deadline, outcome });
            return;
        }
        let seq = self.next_bill_seq;
        self.next_bill_seq += 1;
        self.bills_total = self.bills_total.saturating_add(held.bill.tokens);
        self.seq_by_request.insert(key, seq);
        let waiters = vec![SettleWaiter { ticket, deadline, outcome: SettleOutcome::Billed }];
        let pending = PendingBill {
            held,
            since: now,
            waiters,
            holders: BTreeMap::new(),
            attached_conflicts: 0,
        };
        self.bills.insert(seq, pending);
        self.under_replicated.insert(seq);
    }

    /// Ends a pending bill: its row is in the table.
    pub(super) fn finish_bill(&mut self, cx: &mut LedgerContext, seq: u64, committed: &Bill) {
        let Some(pending) = self.bills.remove(&seq) else { return };
        let bill = pending.held.bill;
        let is_own = bill == *committed;
        self.under_replicated.remove(&seq);
        self.seq_by_request.remove(&bill.request);
        self.bills_total = self.bills_total.saturating_sub(bill.tokens);
        for waiter in pending.waiters {
            let outcome = if is_own { waiter.outcome } else { SettleOutcome::AlreadyBilled };
            cx.answer(waiter.ticket, Answer::Settled(Ok(outcome)));
        }
        for holder in pending.holders.into_keys() {
            self.pending_forgets
                .entry(holder.name)
                .or_default()
                .push(billed_request(&bill.request));
        }
    }

    /// Tells the holders which bills are committed.
    pub(super) fn send_forgets(&mut self, cx: &mut LedgerContext) {
        for (holder, requests) in std::mem::take(&mut self.pending_forgets) {
            cx.send(&holder, BudgetBody::Forget(ForgetBills { requests }));
        }
    }

    /// Answers the requests whose bill did not become durable in time. The bill stays
    /// pending, since the request has run.
    pub(super) fn expire_settle_waiters(&mut self, cx: &mut LedgerContext) {
        for seq in &self.under_replicated {
            let Some(pending) = self.bills.get_mut(seq) else { continue };
            let mut index = 0;
            while let Some(waiter) = pending.waiters.get(index) {
                if cx.now < waiter.deadline {
                    index += 1;
                    continue;
                }
                let message = "neither the table nor two peers took the bill in time";
                let error = Error::new(ErrorKind::BillNotDurable, message);
                cx.answer(waiter.ticket, Answer::Settled(Err(error)));
                pending.waiters.remove(index);
            }
        }
    }

    /// Asks peers to hold the bills that the table has not newly_granted for a while.
    pub(super) fn replicate_bills(&mut self, cx: &mut LedgerContext) {
        let oldest = self.under_replicated.first().and_then(|seq| self.bills.get(seq));
        if oldest.is_none_or(|it| cx.now.since(it.since) < cx.settings.hold_after) {
            return;
        }
        let candidates: Vec<BudgetPeer> =
            cx.peers.candidates(&cx.local, &self.name).into_iter().cloned().collect();
        let mut batches: BTreeMap<RouterName, Vec<String>> = BTreeMap::new();
        for seq in &self.under_replicated {
            let Some(pending) = self.bills.get_mut(seq) else { continue };
            if cx.now.since(pending.since) < cx.settings.hold_after {
                continue;
            }
            for peer in choose_holders(&candidates, &cx.local) {
                let is_due = pending.holders.get(&peer.id).is_none_or(|holder| {
                    let age = cx.now.since(holder.sent);
                    !holder.has_acknowledged && age >= cx.settings.resend_after
                });
                let batch = batches.entry(peer.id.name.clone()).or_default();
                if !is_due || batch.len() >= HOLD_BATCH_MAX {
                    continue;
                }
                let Ok(text) = serde_json::to_string(&pending.held) else { continue };
                batch.push(text);
                let holder = Holder { sent: cx.now, has_acknowledged: false };
                pending.holders.insert(peer.id.clone(), holder);
            }
        }
        for (name, bills) in batches.into_iter().filter(|(_, bills)| !bills.is_empty()) {
            cx.send(&name, BudgetBody::Hold(HoldBills { bills }));
        }
    }

    /// Takes note that `holder` holds a bill.
    pub(crate) fn on_held(
        &mut self,
        cx: &mut LedgerContext,
        holder: &RouterId,
        request: &RequestKey,
    ) {
        let Some(seq) = self.seq_by_request.get(request).copied() else { return };
        let Some(pending) = self.bills.get_mut(&seq) else { return };
        if let Some(entry) = pending.holders.get_mut(holder) {
            entry.has_acknowledged = true;
        }
        if !is_replicated(pending, cx) {
            return;
        }
        self.under_replicated.remove(&seq);
        for waiter in pending.waiters.drain(..) {
            cx.answer(waiter.ticket, Answer::Settled(Ok(waiter.outcome)));
        }
    }

    /// Looks for bills whose holders have died.
    pub(crate) fn recheck_holders(&mut self, cx: &LedgerContext) {
        for (seq, pending) in &self.bills {
            if !is_replicated(pending, cx) {
                self.under_replicated.insert(*seq);
            }
        }
    }

    /// Holds a bill for `owner`.
    pub(crate) fn hold_bill_for(&mut self, owner: &RouterId, held: HeldBill) {
        let bills = self.held_bills.entry(owner.clone()).or_default();
        bills.entry(held.bill.request.clone()).or_insert(held);
    }

    /// Forgets a bill that `owner` has committed.
    pub(crate) fn forget_held_bill(&mut self, owner: &RouterId, request: &RequestKey) {
        if let Some(bills) = self.held_bills.get_mut(owner) {
            bills.remove(request);
            if bills.is_empty() {
                self.held_bills.remove(owner);
            }
        }
    }

    /// Takes note that `key`, written beside one of the bills of `seqs`, did not have
    /// the expected revision.
    pub(super) fn count_attached_conflict(&mut self, key: &platform::Key, seqs: &[u64]) {
        for seq in seqs {
            let Some(pending) = self.bills.get_mut(seq) else { continue };
            let with = &pending.held.with;
            if with.preconditions.iter().any(|it| it.key() == key) {
                pending.attached_conflicts += 1;
            }
            if pending.attached_conflicts >= ATTACHED_CONFLICTS_MAX {
                log::warn!(
                    request_id:% = pending.held.bill.request;
                    "rows beside the bill have changed; the bill is committed without them"
                );
                pending.held.with = Commit::default();
            }
        }
    }
}

/// Chooses the peers that hold bills: in different failure domains, none in that of
/// the owner.
fn choose_holders<'a>(
    candidates: &'a [BudgetPeer],
    local: &BudgetPeer,
) -> impl Iterator<Item = &'a BudgetPeer> {
    let mut domains = BTreeSet::from([local.failure_domain.clone()]);
    candidates
        .iter()
        .filter(move |peer| domains.insert(peer.failure_domain.clone()))
        .take(HOLDERS_PER_BILL)
}

/// Tells whether enough live peers in different failure domains hold the bill.
fn is_replicated(pending: &PendingBill, cx: &LedgerContext) -> bool {
    let acknowledged = pending.holders.iter().filter(|(_, holder)| holder.has_acknowledged);
    let live = acknowledged.filter_map(|(id, _)| cx.peers.find(id));
    let domains: BTreeSet<_> = live
        .map(|peer| &peer.failure_domain)
        .filter(|domain| **domain != cx.local.failure_domain)
        .collect();
    domains.len() >= HOLDERS_PER_BILL
}

/// Returns the answer of a holder.
pub(crate) fn bills_held_message(owner: &RouterId, requests: &[RequestKey]) -> BudgetBody {
    BudgetBody::Held(BillsHeld {
        owner_incarnation: owner.incarnation.0,
        requests: requests.iter().map(billed_request).collect(),
    })
}

fn billed_request(request: &RequestKey) -> BilledRequest {
    BilledRequest { account: request.account.to_string(), id: request.id.to_string() }
}
