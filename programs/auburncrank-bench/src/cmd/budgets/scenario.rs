//! The scenarios.

/// Something that a scenario does.
#[derive(Debug, Clone, Copy)]
pub(super) enum Change {
    /// The table goes down or comes back.
    TableDown(bool),
    /// The hosts from this one on are apart from the others and from the table.
    ApartFrom(usize),
    /// All hosts meet again.
    Heal,
    /// Every account gets a deposit of this percentage of its demand.
    TopUp(u64),
    /// A router dies.
    Kill(usize),
    /// A router starts anew.
    Restart(usize),
}

/// A scenario.
#[derive(Debug)]
pub(super) struct Scenario {
    /// Name.
    pub(super) name: &'static str,
    /// First deposit of each account, in percent of its demand.
    pub(super) deposit_percent: u64,
    /// What it does, with the second at which it does so.
    pub(super) changes: &'static [(u64, Change)],
}

use Change::{ApartFrom, Heal, Kill, Restart, TableDown, TopUp};

/// All scenarios.
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
        changes: &[(600, ApartFrom(5)), (700, TopUp(80)), (1_200, Heal)],
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
            (700, ApartFrom(5)),
            (720, Kill(6)),
            (800, TopUp(40)),
            (1_100, TableDown(false)),
            (1_150, Restart(1)),
            (1_200, Heal),
            (1_300, Restart(6)),
        ],
    },
];
