//! State of the specification of budgets.

use super::ROUTERS;

/// A grant row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Grant {
    /// Tokens that may be spent.
    pub(super) unspent: u8,
    /// Tokens that have left the row by bills and moved loans.
    pub(super) spent: u8,
    /// Tokens moved to each router.
    pub(super) moved: [u8; ROUTERS],
    /// Witness.
    pub(super) witness: u8,
    /// Ceiling when the epoch began.
    pub(super) ceiling: u8,
    /// Epoch of the witness; zero before the first grant.
    pub(super) epoch: u8,
    /// Whether the witness has closed it.
    pub(super) is_closed: bool,
}

/// What a router knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Router {
    /// Whether it has died.
    pub(super) is_dead: bool,
    /// Its grant row as it last read it.
    pub(super) row: Grant,
    /// Whether nobody has written the row since, so that a commit over it succeeds.
    pub(super) is_current: bool,
    /// Its bills in the table, as it last read them.
    pub(super) billed: u8,
    /// Tokens moved to it from each lender, as it last read them.
    pub(super) moved_in: [u8; ROUTERS],
    /// Requests that it has admitted. Each costs one token, from its reservation on, and
    /// has one bill.
    pub(super) admitted: u8,
    /// Tokens ever lent to each router.
    pub(super) lent: [u8; ROUTERS],
    /// Tokens ever borrowed from each router.
    pub(super) credit: [u8; ROUTERS],
    /// Highest ceiling acknowledged in the row's epoch.
    pub(super) acked: u8,
    /// Tokens that a commit of unknown outcome would give back.
    pub(super) returning: u8,
    /// Whether a change of its witness is in doubt.
    pub(super) is_changing: bool,
}

/// What a witness keeps of one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Watch {
    /// Epoch.
    pub(super) epoch: u8,
    /// Highest ceiling asked for.
    pub(super) ceiling: u8,
    /// Whether it has closed the epoch.
    pub(super) is_closed: bool,
}

/// Faults that happen at most once each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Faults {
    /// The answer to a commit was lost.
    pub(super) lost_answer: bool,
    /// A router died.
    pub(super) death: bool,
    /// A witness took a router for dead that was cut off or paused.
    pub(super) suspicion: bool,
    /// A message came twice.
    pub(super) doubled: bool,
    /// The account was topped up.
    pub(super) top_up: bool,
    /// A router changed its witness by its own choice.
    pub(super) change: bool,
}

/// State of the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// Tokens deposited.
    pub(super) deposited: u8,
    /// Tokens billed.
    pub(super) settled: u8,
    /// Tokens in open grants.
    pub(super) granted: u8,
    /// Grant rows.
    pub(super) rows: [Grant; ROUTERS],
    /// Bills of each router in the table.
    pub(super) bills: [u8; ROUTERS],
    /// Routers.
    pub(super) routers: [Router; ROUTERS],
    /// What each witness keeps of each router.
    pub(super) watches: [[Watch; ROUTERS]; ROUTERS],
    /// Acknowledgement on its way to each router: epoch and ceiling.
    pub(super) acks: [Option<(u8, u8)>; ROUTERS],
    /// Loan on its way from each router to each other: the total ever lent.
    pub(super) loans: [[u8; ROUTERS]; ROUTERS],
    /// Faults so far.
    pub(super) faults: Faults,
}

impl State {
    /// Forgets what is left of epochs that nobody can act on any more, so that states
    /// that differ only in it count once.
    pub(super) fn forget_old_epochs(&mut self) {
        for r in 0..ROUTERS {
            let epoch = self.rows[r].epoch;
            let router = &self.routers[r];
            if router.is_dead || router.row.epoch == epoch {
                for w in 0..ROUTERS {
                    let watch = &mut self.watches[w][r];
                    if watch.epoch < epoch || usize::from(self.rows[r].witness) != w {
                        *watch = Watch::default();
                    }
                }
                self.acks[r] = self.acks[r].filter(|ack| *ack > (epoch, router.acked));
            }
        }
    }

    /// Router `r` reads its row (rule 14).
    pub(super) fn refresh(&mut self, r: usize) {
        let router = &mut self.routers[r];
        let old = router.row;
        router.row = self.rows[r];
        router.is_current = true;
        router.billed = self.bills[r];
        for d in 0..ROUTERS {
            router.moved_in[d] = self.rows[d].moved[r];
            router.credit[d] = router.credit[d].max(router.moved_in[d]);
        }
        if router.row.epoch != old.epoch {
            router.acked = router.row.ceiling;
        }
        // A commit that was prepared and has not taken effect cannot any more once the
        // row has changed; one over the same row is known to be undone by the next.
        router.returning = 0;
        router.is_changing = false;
    }

    /// Commits the bills of router `r`, as far as its row covers them.
    pub(super) fn commit_bills(&mut self, r: usize) -> bool {
        let row = &mut self.rows[r];
        let tokens = (self.routers[r].admitted - self.bills[r]).min(row.unspent);
        row.unspent -= tokens;
        row.spent += tokens;
        self.bills[r] += tokens;
        self.settled += tokens;
        self.granted -= tokens;
        tokens > 0
    }
}

impl Router {
    /// Returns the tokens that are spoken for.
    pub(super) fn claims(&self) -> u8 {
        let unbilled = self.admitted - self.billed;
        let open = (0..ROUTERS).map(|b| self.lent[b].saturating_sub(self.row.moved[b]));
        unbilled + open.sum::<u8>()
    }

    /// Returns the tokens borrowed and not yet moved.
    pub(super) fn borrowed(&self) -> u8 {
        (0..ROUTERS).map(|d| self.credit[d].saturating_sub(self.moved_in[d])).sum()
    }

    /// Returns the tokens that may be given back (rule 8).
    pub(super) fn spare(&self) -> u8 {
        self.row.unspent.saturating_sub(self.claims())
    }
}

impl Watch {
    /// Raises the ceiling; false where the epoch is closed or over.
    pub(super) fn raise(&mut self, epoch: u8, ceiling: u8) -> bool {
        if epoch < self.epoch || (epoch == self.epoch && self.is_closed) {
            return false;
        }
        if epoch > self.epoch {
            *self = Watch { epoch, ceiling: 0, is_closed: false };
        }
        self.ceiling = self.ceiling.max(ceiling);
        true
    }

    pub(super) fn close(&mut self, epoch: u8) {
        if epoch > self.epoch {
            *self = Watch { epoch, ceiling: 0, is_closed: false };
        }
        self.is_closed = true;
    }
}
