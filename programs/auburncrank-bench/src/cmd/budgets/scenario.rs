//! Scenarios of the budget study.

/// A change that a scenario makes.
#[derive(Debug, Clone, Copy)]
pub(super) enum Change {
    /// The table goes down (`true`) or comes back (`false`).
    TableDown(bool),
    /// A network partition separates the hosts with this index and above from the other hosts and
    /// the table.
    Partition(usize),
    /// The network partition ends.
    Heal,
    /// Every account gets a deposit of this percentage of the tokens that its requests use.
    TopUp(u64),
    /// The router with this index dies.
    Kill(usize),
    /// The router with this index starts again.
    Restart(usize),
}

/// A sequence of changes during a run.
#[derive(Debug)]
pub(super) struct Scenario {
    /// Name in the output and for `--scenario`.
    pub(super) name: &'static str,
    /// First deposit of each account, in percent of the tokens that its requests use.
    pub(super) deposit_percent: u64,
    /// The changes, each with its time in seconds since the start.
    pub(super) changes: &'static [(u64, Change)],
}

use Change::{Heal, Kill, Partition, Restart, TableDown, TopUp};

/// All scenarios of the study.
pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario { name: "calm", deposit_percent: 500, changes: &[] },
    Scenario { name: "near_end", deposit_percent: 60, changes: &[] },
    Scenario {
        name: "store_away_10min",
        deposit_percent: 200,
        changes: &[(600, TableDown(true)), (1_200, TableDown(false))],
    },
    Scenario {
        name: "partition_top_up",
        deposit_percent: 60,
        changes: &[(600, Partition(5)), (700, TopUp(80)), (1_200, Heal)],
    },
    Scenario {
        name: "routers_dying",
        deposit_percent: 105,
        changes: &[
            (300, Kill(0)),
            (420, Kill(1)),
            (480, Restart(0)),
            (540, Kill(2)),
            (600, Restart(1)),
            (660, Kill(3)),
            (720, Restart(2)),
            (780, Kill(4)),
            (840, Restart(3)),
            (900, Kill(5)),
            (960, Restart(4)),
            (1_080, Restart(5)),
        ],
    },
    Scenario {
        name: "all",
        deposit_percent: 80,
        changes: &[
            (300, Kill(0)),
            (420, Restart(0)),
            (500, TableDown(true)),
            (600, Kill(1)),
            (700, Partition(5)),
            (720, Kill(6)),
            (800, TopUp(40)),
            (1_100, TableDown(false)),
            (1_150, Restart(1)),
            (1_200, Heal),
            (1_300, Restart(6)),
        ],
    },
];
