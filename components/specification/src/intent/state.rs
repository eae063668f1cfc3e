//! State of the intent row specification.

use super::ROUTERS;

/// State of the call, as stored in the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum IntentState {
    /// See `requests::IntentState::Recorded`.
    Recorded,
    /// See `requests::IntentState::Withdrawn`.
    Withdrawn,
    /// See `requests::IntentState::OutcomeUnknown`.
    OutcomeUnknown,
    /// See `requests::IntentState::Done`.
    Done,
}

/// The intent row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct IntentRow {
    /// Revision of the row, as assigned by the commit.
    pub(super) revision: u8,
    /// Index of the router that wrote the row.
    pub(super) router: u8,
    /// Fencing number of the last recorded call.
    pub(super) fencing: u8,
    /// State of the call.
    pub(super) state: IntentState,
}

/// Revision and fencing number of the row on which the commits of an attempt are based.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct IntentBase {
    /// Revision of the row; zero if there was none.
    pub(super) revision: u8,
    /// Fencing number of the row; zero if there was none.
    pub(super) fencing: u8,
}

/// Phase of a router's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The router has no attempt.
    Idle,
    /// The router may record the call.
    Admitted(IntentBase),
    /// The router does not know whether its record was committed.
    RecordUnknown(IntentBase),
    /// The router may send the call.
    Permitted(IntentBase),
    /// The router has sent the call and waits for the answer.
    Sent(IntentBase),
    /// The router has crashed.
    Dead,
}

/// Call in transit to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Call {
    /// Fencing number of the call.
    pub(super) fencing: u8,
    /// Whether the attempt began before some router reported "not run".
    pub(super) began_before_not_run: bool,
}

/// State of the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// Intent row of the request, if there is one.
    pub(super) row: Option<IntentRow>,
    /// Revision of the last commit.
    pub(super) last_revision: u8,
    /// Phase of the attempt of each router.
    pub(super) phases: [Phase; ROUTERS],
    /// Whether the attempt of each router began before some router reported "not run".
    pub(super) began_before_not_run: [bool; ROUTERS],
    /// Whether the attempt of each router took over an intent that was not withdrawn. Such an
    /// attempt never reports "not run".
    pub(super) took_over: [bool; ROUTERS],
    /// Base of each late record, by router; the record may still reach the table.
    pub(super) pending_records: [Option<IntentBase>; ROUTERS],
    /// Call of each router that may still reach the endpoint.
    pub(super) calls: [Option<Call>; ROUTERS],
    /// Whether the endpoint has answered the call of each router.
    pub(super) answered: [bool; ROUTERS],
    /// Number of times that the endpoint has run the request.
    pub(super) runs: u8,
    /// Highest fencing number that the endpoint has seen.
    pub(super) max_seen_fencing: u8,
    /// Number of attempts that have begun.
    pub(super) attempts: u8,
    /// Which faults have happened: lost answer of the table, late commit, crash, lost answer
    /// of the endpoint, resolution.
    pub(super) faults: [bool; 5],
    /// Whether "not run" was reported although the request had run, or an attempt ran that had
    /// begun before such a report.
    pub(super) has_false_not_run: bool,
}

impl State {
    pub(super) fn base(&self) -> IntentBase {
        let row = self.row.map(|row| (row.revision, row.fencing));
        let (revision, fencing) = row.unwrap_or_default();
        IntentBase { revision, fencing }
    }

    /// Commits a row over `base`; returns false if the row has another revision.
    pub(super) fn write(
        &mut self,
        base: IntentBase,
        router: usize,
        fencing: u8,
        state: IntentState,
    ) -> bool {
        if self.base().revision != base.revision {
            return false;
        }
        self.last_revision += 1;
        let router = u8::try_from(router).unwrap_or(u8::MAX);
        self.row = Some(IntentRow { revision: self.last_revision, router, fencing, state });
        true
    }

    /// A router reports "not run": no attempt that began earlier may run from now on.
    pub(super) fn report_not_run(&mut self) {
        self.has_false_not_run |= self.runs > 0;
        for router in 0..ROUTERS {
            self.began_before_not_run[router] = true;
            if let Some(call) = &mut self.calls[router] {
                call.began_before_not_run = true;
            }
        }
    }
}
