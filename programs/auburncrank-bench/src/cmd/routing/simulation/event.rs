//! What happens in a simulation.

use std::time::Duration;

use routing::{AttemptOutcome, CrashRecord};

/// What happens.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller's request reaches its router.
    Arrive(usize),
    /// The time that a caller gave its attempt is over.
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
    /// A router sweeps its queue.
    Sweep(usize),
    /// What one router knows of a content that crashes engines reaches another.
    Crash { router: usize, record: Box<CrashRecord> },
    /// An engine crashes by itself, again and again.
    CrashEngine(usize),
    /// A failure domain is gone.
    LoseDomain(usize),
    /// An engine is back.
    Restart(usize),
}
