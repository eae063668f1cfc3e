//! State of the budget specification.

use super::ROUTERS;

/// Grant row of one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantRow {
    /// Tokens that the router may still spend.
    pub(super) unspent: u8,
    /// Tokens that have left the row as bills and moved loans. Never decreases.
    pub(super) spent: u8,
    /// Tokens moved to each borrower. Never decreases.
    pub(super) moved: [u8; ROUTERS],
    /// Index of the witness.
    pub(super) witness: u8,
    /// Ceiling at the start of the epoch.
    pub(super) ceiling: u8,
    /// Epoch, counted up with each change of the witness; zero before the first grant.
    pub(super) epoch: u8,
    /// Whether the witness has closed the row.
    pub(super) is_closed: bool,
}

/// Local state of one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Router {
    /// Whether the router has crashed.
    pub(super) is_dead: bool,
    /// Grant row as last read by the router.
    pub(super) row: GrantRow,
    /// Whether the row is unchanged since it was read, so that a commit based on it succeeds.
    pub(super) is_current: bool,
    /// Number of its bills in the table, as last read.
    pub(super) billed: u8,
    /// Tokens moved to it from each lender, as last read.
    pub(super) received: [u8; ROUTERS],
    /// Requests that it has admitted. Each costs one token as soon as it is reserved, and has
    /// one bill.
    pub(super) admitted: u8,
    /// Total of the tokens ever lent to each router.
    pub(super) lent: [u8; ROUTERS],
    /// Total of the tokens ever borrowed from each router.
    pub(super) borrowed: [u8; ROUTERS],
    /// Highest ceiling acknowledged in the epoch of the row.
    pub(super) acked_ceiling: u8,
    /// Tokens that a prepared commit of unknown outcome would return.
    pub(super) returning: u8,
    /// Whether a change of its witness is prepared and its outcome unknown.
    pub(super) is_changing_witness: bool,
}

/// Record that a witness keeps of one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct WitnessRecord {
    /// Latest epoch known to the witness.
    pub(super) epoch: u8,
    /// Highest ceiling requested in the epoch.
    pub(super) ceiling: u8,
    /// Whether the witness has closed the epoch.
    pub(super) is_closed: bool,
}

/// Faults that have happened. Each happens at most once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Faults {
    /// The answer to a commit was lost.
    pub(super) lost_answer: bool,
    /// A router crashed.
    pub(super) death: bool,
    /// A witness suspected a router that was only partitioned or paused.
    pub(super) suspicion: bool,
    /// A message was delivered twice.
    pub(super) duplicate_message: bool,
    /// The later deposit was made.
    pub(super) top_up: bool,
    /// A router changed its witness although its row was open.
    pub(super) witness_change: bool,
}

/// State of the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// Tokens deposited for the account.
    pub(super) deposited: u8,
    /// Tokens billed in the table.
    pub(super) settled: u8,
    /// Tokens in open grants.
    pub(super) granted: u8,
    /// Grant row of each router.
    pub(super) rows: [GrantRow; ROUTERS],
    /// Number of bills of each router in the table.
    pub(super) bills: [u8; ROUTERS],
    /// Local state of each router.
    pub(super) routers: [Router; ROUTERS],
    /// Records of each witness about each router.
    pub(super) witness_records: [[WitnessRecord; ROUTERS]; ROUTERS],
    /// Acknowledgement in transit to each router: epoch and ceiling.
    pub(super) ceiling_acks: [Option<(u8, u8)>; ROUTERS],
    /// Loan message in transit from each router to each other, with the total lent so far.
    pub(super) loans: [[u8; ROUTERS]; ROUTERS],
    /// Faults that have happened.
    pub(super) faults: Faults,
}

impl State {
    /// Clears data of past epochs that no step can use any more, so that states which differ
    /// only in such data are explored once.
    pub(super) fn clear_stale_epochs(&mut self) {
        for r in 0..ROUTERS {
            let epoch = self.rows[r].epoch;
            let router = &self.routers[r];
            if router.is_dead || router.row.epoch == epoch {
                for w in 0..ROUTERS {
                    let record = &mut self.witness_records[w][r];
                    if record.epoch < epoch || usize::from(self.rows[r].witness) != w {
                        *record = WitnessRecord::default();
                    }
                }
                self.ceiling_acks[r] =
                    self.ceiling_acks[r].filter(|ack| *ack > (epoch, router.acked_ceiling));
            }
        }
    }

    /// Router `r` reads its grant row (rule 14).
    pub(super) fn refresh(&mut self, r: usize) {
        let router = &mut self.routers[r];
        let old = router.row;
        router.row = self.rows[r];
        router.is_current = true;
        router.billed = self.bills[r];
        for lender in 0..ROUTERS {
            router.received[lender] = self.rows[lender].moved[r];
            router.borrowed[lender] = router.borrowed[lender].max(router.received[lender]);
        }
        if router.row.epoch != old.epoch {
            router.acked_ceiling = router.row.ceiling;
        }
        // A prepared commit that has not taken effect can no longer do so once the row has
        // changed. If the row is unchanged, the next commit based on it rules the prepared one
        // out.
        router.returning = 0;
        router.is_changing_witness = false;
    }

    /// Commits the bills of router `r` as far as its row covers them. Returns whether any were
    /// committed.
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
    /// Returns the tokens that may still leave the row: unbilled requests and unmoved loans.
    pub(super) fn claims(&self) -> u8 {
        let unbilled = self.admitted - self.billed;
        let open = (0..ROUTERS).map(|b| self.lent[b].saturating_sub(self.row.moved[b]));
        unbilled + open.sum::<u8>()
    }

    /// Returns the borrowed tokens that have not been moved in the table.
    pub(super) fn unmoved_loans(&self) -> u8 {
        (0..ROUTERS).map(|lender| self.borrowed[lender].saturating_sub(self.received[lender])).sum()
    }

    /// Returns the unclaimed tokens, which may be returned to the account (rule 8).
    pub(super) fn returnable(&self) -> u8 {
        self.row.unspent.saturating_sub(self.claims())
    }
}

impl WitnessRecord {
    /// Raises the ceiling in `epoch`; returns false if the epoch is closed or has passed.
    pub(super) fn raise(&mut self, epoch: u8, ceiling: u8) -> bool {
        if epoch < self.epoch || (epoch == self.epoch && self.is_closed) {
            return false;
        }
        if epoch > self.epoch {
            *self = WitnessRecord { epoch, ceiling: 0, is_closed: false };
        }
        self.ceiling = self.ceiling.max(ceiling);
        true
    }

    pub(super) fn close(&mut self, epoch: u8) {
        if epoch > self.epoch {
            *self = WitnessRecord { epoch, ceiling: 0, is_closed: false };
        }
        self.is_closed = true;
    }
}
