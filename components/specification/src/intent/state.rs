//! State of the specification of the intent row.

use super::ROUTERS;

/// State of the call in the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum RowState {
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
pub(super) struct Row {
    /// Revision.
    pub(super) revision: u8,
    /// Router that wrote it.
    pub(super) router: u8,
    /// Fencing number.
    pub(super) fencing: u8,
    /// State of the call.
    pub(super) state: RowState,
}

/// What an attempt was admitted with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Base {
    /// Revision of the row; zero where there was none.
    pub(super) revision: u8,
    /// Fencing number of the row; zero where there was none.
    pub(super) fencing: u8,
}

/// Where a router's attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// It has none.
    Idle,
    /// It may record the call.
    Admitted(Base),
    /// The answer to its record was lost.
    Unknown(Base),
    /// It may send the call.
    Permit(Base),
    /// It has sent the call and waits for the answer.
    Sent(Base),
    /// It has died.
    Dead,
}

/// A call on its way to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Call {
    /// Fencing number.
    pub(super) fencing: u8,
    /// Whether the attempt began before some router said "not run".
    pub(super) is_refused: bool,
}

/// State of the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The row.
    pub(super) row: Option<Row>,
    /// Revision of the last commit.
    pub(super) last_revision: u8,
    /// Phase of each router.
    pub(super) phases: [Phase; ROUTERS],
    /// Whether the attempt of each router began before some router said "not run".
    pub(super) is_refused: [bool; ROUTERS],
    /// Whether the attempt of each router is on top of another's open intent. Such an
    /// attempt never says "not run".
    pub(super) took_over: [bool; ROUTERS],
    /// Record of each router that may still reach the table.
    pub(super) late: [Option<Base>; ROUTERS],
    /// Call of each router that may still reach the endpoint.
    pub(super) calls: [Option<Call>; ROUTERS],
    /// Whether the endpoint has answered the call of each router.
    pub(super) answered: [bool; ROUTERS],
    /// Times that the endpoint has run the request.
    pub(super) runs: u8,
    /// Highest fencing number that the endpoint has seen.
    pub(super) seen_fencing: u8,
    /// Attempts that have begun.
    pub(super) attempts: u8,
    /// Faults that have happened: lost answer of the table, late commit, death, lost
    /// answer of the endpoint, resolution.
    pub(super) faults: [bool; 5],
    /// Whether "not run" was said although the request ran, or a refused attempt ran.
    pub(super) is_lie: bool,
}

impl State {
    pub(super) fn base(&self) -> Base {
        let row = self.row.map(|row| (row.revision, row.fencing));
        let (revision, fencing) = row.unwrap_or_default();
        Base { revision, fencing }
    }

    /// Commits a row over `base`; false where the row has another revision.
    pub(super) fn write(
        &mut self,
        base: Base,
        router: usize,
        fencing: u8,
        state: RowState,
    ) -> bool {
        if self.base().revision != base.revision {
            return false;
        }
        self.last_revision += 1;
        let router = u8::try_from(router).unwrap_or(u8::MAX);
        self.row = Some(Row { revision: self.last_revision, router, fencing, state });
        true
    }

    /// A router says "not run": nothing that began earlier may run from now on.
    pub(super) fn say_not_run(&mut self) {
        self.is_lie |= self.runs > 0;
        for router in 0..ROUTERS {
            self.is_refused[router] = true;
            if let Some(call) = &mut self.calls[router] {
                call.is_refused = true;
            }
        }
    }
}
