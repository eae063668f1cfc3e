//! Events of the simulation.

use std::time::Duration;

use routing::{AttemptOutcome, CrashRecord};

/// A scheduled event.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller's request reaches its router.
    Arrive(usize),
    /// An attempt of a caller reaches its deadline.
    Deadline { request: usize, attempt: u32 },
    /// A job reaches its engine.
    Submit(u64),
    /// A step of an engine ends.
    StepEnd { engine: usize, incarnation: u32, duration: Duration },
    /// The first token of a job reaches its router.
    FirstToken { job: u64, latency: Duration },
    /// The end of a job reaches its router.
    JobEnd { job: u64, outcome: AttemptOutcome },
    /// A router polls the load of an engine.
    Poll { router: usize, engine: usize },
    /// A router refuses the queued requests that have waited too long.
    Sweep(usize),
    /// A router's record of content that crashes engines reaches another router.
    CrashRecord { router: usize, record: Box<CrashRecord> },
    /// An engine crashes on its own, repeatedly.
    CrashEngine(usize),
    /// All engines of a failure domain go down.
    DomainOutage(usize),
    /// An engine is up again after a crash.
    Restart(usize),
}
