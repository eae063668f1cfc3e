//! Baselines: a static split, one commit per request, and the all-knowing ledger.

use std::collections::BTreeSet;

use types::Tokens;

use super::{
    driver::{Ask, Payer, Verdict},
    hosts::{DOMAINS, Hosts},
    truth::Truth,
    workload::ACCOUNTS,
};

/// A single ledger that knows everything at once.
pub(super) struct AllKnowing;

impl Payer for AllKnowing {
    fn ask(&mut self, ask: &Ask<'_>, truth: &Truth) -> Verdict {
        if truth.fits(ask.req.account, ask.req.worst) {
            Verdict::Admitted
        } else if truth.is_exhausted(ask.req.account, ask.req.worst) {
            Verdict::Refused
        } else {
            Verdict::Wait
        }
    }
}

/// Each router gets an equal part of every deposit; nothing moves afterwards.
#[derive(Default)]
pub(super) struct StaticSplit {
    /// What each router has left, reservations included, by account.
    left: [[u64; ACCOUNTS]; DOMAINS.len()],
    /// What each router has reserved, by account.
    reserved: [[u64; ACCOUNTS]; DOMAINS.len()],
    /// Deposits that routers have not read yet.
    unread: [[u64; ACCOUNTS]; DOMAINS.len()],
    /// Parts of dead routers.
    in_doubt: u64,
    /// Seconds in which a router settles an account: one commit each.
    commits: BTreeSet<(u64, usize, usize)>,
}

impl Payer for StaticSplit {
    fn ask(&mut self, ask: &Ask<'_>, _truth: &Truth) -> Verdict {
        let (router, account) = (ask.router, ask.req.account);
        if ask.hosts.reaches_table(router) {
            self.left[router][account] += std::mem::take(&mut self.unread[router][account]);
        }
        let (left, reserved) = (self.left[router][account], self.reserved[router][account]);
        let worst = ask.req.worst.0;
        if worst > left {
            return Verdict::Refused;
        }
        if reserved + worst > left {
            return Verdict::Wait;
        }
        self.reserved[router][account] += worst;
        Verdict::Admitted
    }

    fn end(&mut self, ask: &Ask<'_>) {
        let (router, account) = (ask.router, ask.req.account);
        self.reserved[router][account] -= ask.req.worst.0;
        self.left[router][account] -= ask.req.used.0;
        self.commits.insert((ask.now.as_millis() / 1_000, router, account));
    }

    fn deposit(&mut self, account: usize, tokens: u64) {
        for part in &mut self.unread {
            part[account] += tokens / DOMAINS.len() as u64;
        }
    }

    fn kill(&mut self, router: usize) {
        self.in_doubt += self.left[router].iter().sum::<u64>();
        self.left[router] = [0; ACCOUNTS];
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

/// One commit reserves a request, another settles it.
#[derive(Default)]
pub(super) struct CommitPerRequest {
    /// Budget rows.
    rows: [Row; ACCOUNTS],
    /// Settlements that wait for the table: account, reserved, used.
    unsettled: Vec<(usize, usize, Tokens, Tokens)>,
    /// Reservations of each router.
    reserved: [[u64; ACCOUNTS]; DOMAINS.len()],
    /// Reservations of dead routers.
    in_doubt: u64,
    /// Commits.
    writes: u64,
}

#[derive(Default, Clone, Copy)]
struct Row {
    deposited: u64,
    settled: u64,
    granted: u64,
}

impl CommitPerRequest {
    fn settle(&mut self, router: usize, account: usize, worst: Tokens, used: Tokens) {
        let row = &mut self.rows[account];
        row.granted -= worst.0;
        row.settled += used.0;
        self.reserved[router][account] -= worst.0;
        self.writes += 1;
    }

    /// Settles what waited for the table.
    fn settle_waiting(&mut self, hosts: &Hosts) {
        let waiting = std::mem::take(&mut self.unsettled);
        for (router, account, worst, used) in waiting {
            if hosts.reaches_table(router) {
                self.settle(router, account, worst, used);
            } else {
                self.unsettled.push((router, account, worst, used));
            }
        }
    }
}

impl Payer for CommitPerRequest {
    fn ask(&mut self, ask: &Ask<'_>, _truth: &Truth) -> Verdict {
        self.settle_waiting(ask.hosts);
        if !ask.hosts.reaches_table(ask.router) {
            return Verdict::Wait;
        }
        let row = &mut self.rows[ask.req.account];
        let worst = ask.req.worst.0;
        if row.settled + worst > row.deposited {
            return Verdict::Refused;
        }
        if row.settled + row.granted + worst > row.deposited {
            return Verdict::Wait;
        }
        row.granted += worst;
        self.reserved[ask.router][ask.req.account] += worst;
        self.writes += 1;
        Verdict::Admitted
    }

    fn end(&mut self, ask: &Ask<'_>) {
        let (account, worst, used) = (ask.req.account, ask.req.worst, ask.req.used);
        self.unsettled.push((ask.router, account, worst, used));
        self.settle_waiting(ask.hosts);
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
