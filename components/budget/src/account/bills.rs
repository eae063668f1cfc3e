//! Bills that are not yet committed to the table, and bills held for other routers.

use std::collections::{BTreeMap, BTreeSet};

use errors::{Error, ErrorKind};
use platform::Commit;
use protocol::{BilledRequest, BillsHeld, BudgetBody, ForgetBills, HoldBills};
use types::{RequestKey, RouterId, RouterName, Timestamp};

use super::Account;
use crate::{
    Answer, Bill, BudgetPeer, HeldBill, ReservationId, SettleOutcome, Ticket, ledger::LedgerContext,
};

/// Number of peers that must hold a bill before it counts as durable.
const HOLDERS_PER_BILL: usize = 2;

/// Maximum number of bills in one message to a holder.
const HOLD_BATCH_MAX: usize = 200;

/// Number of conflicts on the rows written along with a bill after which the bill is committed
/// without them.
const ATTACHED_CONFLICTS_MAX: u32 = 3;

/// A bill that is not known to be in the table.
#[derive(Debug)]
pub(super) struct PendingBill {
    /// The bill and the writes to commit along with it.
    pub(super) held: HeldBill,
    /// When the bill became pending.
    since: Timestamp,
    /// Requests that wait for the bill to become durable.
    waiters: Vec<SettleWaiter>,
    /// Peers that were asked to hold the bill.
    holders: BTreeMap<RouterId, Holder>,
    /// Number of conflicts on the rows written along with the bill.
    attached_conflicts: u32,
}

#[derive(Debug)]
struct SettleWaiter {
    /// Identifies the request in the answer.
    ticket: Ticket,
    /// Deadline for the answer.
    deadline: Timestamp,
    /// Outcome to report once the bill is durable.
    outcome: SettleOutcome,
}

#[derive(Debug)]
struct Holder {
    /// When the bill was last sent to this holder.
    sent: Timestamp,
    /// Whether the peer has confirmed that it holds the bill.
    has_acknowledged: bool,
}

impl Account {
    /// Ends a reservation with a bill.
    pub(crate) fn settle(
        &mut self,
        cx: &mut LedgerContext,
        ticket: Ticket,
        reservation: ReservationId,
        held: HeldBill,
        deadline: Timestamp,
    ) {
        let Some(reserved) = self.release(cx, reservation) else {
            let error = Error::new(ErrorKind::Internal, "the reservation does not exist");
            return cx.answer(ticket, Answer::Settled(Err(error)));
        };
        let bill = &held.bill;
        if bill.request.account != self.name || bill.tokens > reserved {
            let message = format!(
                "the bill of {} tokens for request {} does not match the reservation of {reserved} \
                 tokens of account {}",
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

    /// Removes a pending bill once its row is in the table. `committed` is the bill in that row.
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

    /// Tells the holders which bills are committed, so that they stop holding them.
    pub(super) fn send_forgets(&mut self, cx: &mut LedgerContext) {
        for (holder, requests) in std::mem::take(&mut self.pending_forgets) {
            cx.send(&holder, BudgetBody::Forget(ForgetBills { requests }));
        }
    }

    /// Answers requests with an error if their bill did not become durable in time. The bill stays
    /// pending, because the request has run.
    pub(super) fn expire_settle_waiters(&mut self, cx: &mut LedgerContext) {
        for seq in &self.under_replicated {
            let Some(pending) = self.bills.get_mut(seq) else { continue };
            let mut index = 0;
            while let Some(waiter) = pending.waiters.get(index) {
                if cx.now < waiter.deadline {
                    index += 1;
                    continue;
                }
                let message = "neither the table nor two peers stored the bill before the deadline";
                let error = Error::new(ErrorKind::BillNotDurable, message);
                cx.answer(waiter.ticket, Answer::Settled(Err(error)));
                pending.waiters.remove(index);
            }
        }
    }

    /// Asks peers to hold the bills that have been pending for `hold_after` or longer.
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

    /// Records that `holder` holds a bill, and answers the waiting requests if it is durable now.
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

    /// After a change of the live peers, marks the bills that too few of them hold.
    pub(crate) fn recheck_holders(&mut self, cx: &LedgerContext) {
        for (seq, pending) in &self.bills {
            if !is_replicated(pending, cx) {
                self.under_replicated.insert(*seq);
            }
        }
    }

    /// Holds a bill on behalf of `owner`.
    pub(crate) fn hold_bill_for(&mut self, owner: &RouterId, held: HeldBill) {
        let bills = self.held_bills.entry(owner.clone()).or_default();
        bills.entry(held.bill.request.clone()).or_insert(held);
    }

    /// Drops a held bill that `owner` has committed.
    pub(crate) fn forget_held_bill(&mut self, owner: &RouterId, request: &RequestKey) {
        if let Some(bills) = self.held_bills.get_mut(owner) {
            bills.remove(request);
            if bills.is_empty() {
                self.held_bills.remove(owner);
            }
        }
    }

    /// Counts a conflict on `key` for each bill in `seqs` that has a precondition on that row
    /// attached. After too many conflicts, drops the writes attached to the bill.
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
                    "rows written along with the bill have changed; committing it without them"
                );
                pending.held.with = Commit::default();
            }
        }
    }
}

/// Chooses the peers that hold bills, in different failure domains and none in the failure domain
/// of the owner.
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

/// Returns whether enough live peers in different failure domains hold the bill.
fn is_replicated(pending: &PendingBill, cx: &LedgerContext) -> bool {
    let acknowledged = pending.holders.iter().filter(|(_, holder)| holder.has_acknowledged);
    let live = acknowledged.filter_map(|(id, _)| cx.peers.find(id));
    let domains: BTreeSet<_> = live
        .map(|peer| &peer.failure_domain)
        .filter(|domain| **domain != cx.local.failure_domain)
        .collect();
    domains.len() >= HOLDERS_PER_BILL
}

/// Creates the message that confirms to `owner` that its bills are held.
pub(crate) fn bills_held_message(owner: &RouterId, requests: &[RequestKey]) -> BudgetBody {
    BudgetBody::Held(BillsHeld {
        owner_incarnation: owner.incarnation.0,
        requests: requests.iter().map(billed_request).collect(),
    })
}

fn billed_request(request: &RequestKey) -> BilledRequest {
    BilledRequest { account: request.account.to_string(), id: request.id.to_string() }
}
