//! Baseline policies: the all-knowing ledger, a static split, and one commit per request.

use std::collections::BTreeSet;

use types::Tokens;

use super::{
    driver::{Admission, BudgetPolicy, RequestContext},
    hosts::{DOMAINS, Hosts},
    truth::GroundTruth,
    workload::ACCOUNTS,
};

/// Decides from the [`GroundTruth`], as a single ledger that knows everything at once would.
pub(super) struct AllKnowingLedger;

impl BudgetPolicy for AllKnowingLedger {
    fn decide(&mut self, cx: &RequestContext<'_>, truth: &GroundTruth) -> Admission {
        if truth.can_admit(cx.req.account, cx.req.max_tokens) {
            Admission::Admitted
        } else if truth.is_exhausted(cx.req.account, cx.req.max_tokens) {
            Admission::Refused
        } else {
            Admission::Retry
        }
    }
}

/// Gives each router an equal share of every deposit; tokens never move between routers afterwards.
#[derive(Default)]
pub(super) struct StaticSplit {
    /// Remaining tokens of each router, including its reservations, by account.
    remaining: [[u64; ACCOUNTS]; DOMAINS.len()],
    /// Reserved tokens of each router, by account.
    reserved: [[u64; ACCOUNTS]; DOMAINS.len()],
    /// Deposited tokens that each router has not read from the table yet, by account.
    unread: [[u64; ACCOUNTS]; DOMAINS.len()],
    /// Remaining tokens of dead routers.
    in_doubt: u64,
    /// Second, router and account of the settlements. Settlements that have all three in common
    /// count as one commit.
    commits: BTreeSet<(u64, usize, usize)>,
}

impl BudgetPolicy for StaticSplit {
    fn decide(&mut self, cx: &RequestContext<'_>, _truth: &GroundTruth) -> Admission {
        let (router, account) = (cx.router, cx.req.account);
        if cx.hosts.reaches_table(router) {
            self.remaining[router][account] += std::mem::take(&mut self.unread[router][account]);
        }
        let (remaining, reserved) =
            (self.remaining[router][account], self.reserved[router][account]);
        let max_tokens = cx.req.max_tokens.0;
        if max_tokens > remaining {
            return Admission::Refused;
        }
        if reserved + max_tokens > remaining {
            return Admission::Retry;
        }
        self.reserved[router][account] += max_tokens;
        Admission::Admitted
    }

    fn end(&mut self, cx: &RequestContext<'_>) {
        let (router, account) = (cx.router, cx.req.account);
        self.reserved[router][account] -= cx.req.max_tokens.0;
        self.remaining[router][account] -= cx.req.used.0;
        self.commits.insert((cx.now.as_millis() / 1_000, router, account));
    }

    fn deposit(&mut self, account: usize, tokens: u64) {
        for part in &mut self.unread {
            part[account] += tokens / DOMAINS.len() as u64;
        }
    }

    fn kill(&mut self, router: usize) {
        self.in_doubt += self.remaining[router].iter().sum::<u64>();
        self.remaining[router] = [0; ACCOUNTS];
        self.reserved[router] = [0; ACCOUNTS];
        self.unread[router] = [0; ACCOUNTS];
    }

    fn in_doubt(&self) -> u64 {
        self.in_doubt
    }

    fn writes(&self) -> u64 {
        self.commits.len() as u64
    }
}

/// Uses one commit to reserve the tokens of a request and another to settle it.
#[derive(Default)]
pub(super) struct CommitPerRequest {
    /// Budget rows, by account.
    rows: [Row; ACCOUNTS],
    /// Settlements waiting for the table: router, account, reserved and used tokens.
    unsettled: Vec<(usize, usize, Tokens, Tokens)>,
    /// Reserved tokens of each router, by account.
    reserved: [[u64; ACCOUNTS]; DOMAINS.len()],
    /// Tokens that dead routers had reserved.
    in_doubt: u64,
    /// Number of commits.
    writes: u64,
}

#[derive(Default, Clone, Copy)]
struct Row {
    deposited: u64,
    settled: u64,
    granted: u64,
}

impl CommitPerRequest {
    fn settle(&mut self, router: usize, account: usize, max_tokens: Tokens, used: Tokens) {
        let row = &mut self.rows[account];
        row.granted -= max_tokens.0;
        row.settled += used.0;
        self.reserved[router][account] -= max_tokens.0;
        self.writes += 1;
    }

    /// Commits the pending settlements of the routers that reach the table.
    fn settle_pending(&mut self, hosts: &Hosts) {
        let waiting = std::mem::take(&mut self.unsettled);
        for (router, account, max_tokens, used) in waiting {
            if hosts.reaches_table(router) {
                self.settle(router, account, max_tokens, used);
            } else {
                self.unsettled.push((router, account, max_tokens, used));
            }
        }
    }
}

impl BudgetPolicy for CommitPerRequest {
    fn decide(&mut self, cx: &RequestContext<'_>, _truth: &GroundTruth) -> Admission {
        self.settle_pending(cx.hosts);
        if !cx.hosts.reaches_table(cx.router) {
            return Admission::Retry;
        }
        let row = &mut self.rows[cx.req.account];
        let max_tokens = cx.req.max_tokens.0;
        if row.settled + max_tokens > row.deposited {
            return Admission::Refused;
        }
        if row.settled + row.granted + max_tokens > row.deposited {
            return Admission::Retry;
        }
        row.granted += max_tokens;
        self.reserved[cx.router][cx.req.account] += max_tokens;
        self.writes += 1;
        Admission::Admitted
    }

    fn end(&mut self, cx: &RequestContext<'_>) {
        let (account, max_tokens, used) = (cx.req.account, cx.req.max_tokens, cx.req.used);
        self.unsettled.push((cx.router, account, max_tokens, used));
        self.settle_pending(cx.hosts);
    }

    fn deposit(&mut self, account: usize, tokens: u64) {
        self.rows[account].deposited += tokens;
    }

    fn kill(&mut self, router: usize) {
        self.unsettled.retain(|it| it.0 != router);
        self.in_doubt += self.reserved[router].iter().sum::<u64>();
        self.reserved[router] = [0; ACCOUNTS];
    }

    fn in_doubt(&self) -> u64 {
        self.in_doubt
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}
