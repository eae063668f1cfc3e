//! Endpoint selection: latency estimates, concurrency limits, the fair queue, retry
//! budgets, ejection, and evidence on content that crashes endpoints.
//!
//! This crate contains decision logic only: it does no network I/O and never reads the
//! clock. [`Scheduler`] combines the parts.

mod attempt_outcome;
mod concurrency_limit;
mod crash_evidence;
mod endpoint;
mod endpoint_id;
mod endpoint_lease;
mod endpoint_need;
mod endpoint_state;
mod endpoint_table;
mod estimate;
mod fair_queue;
mod health;
mod load_view;
mod pool;
mod prefix_index;
mod quarantine;
mod retry_budget;
mod scheduler;
mod settings;
mod speed;

pub use self::{
    attempt_outcome::AttemptOutcome,
    crash_evidence::{
        ContentItem, ContentKey, CrashEvidence, CrashId, CrashSighting, EvidenceReport, Standing,
        VerdictChange,
    },
    endpoint_lease::EndpointLease,
    endpoint_need::{EndpointNeed, Target},
    endpoint_state::EndpointState,
    fair_queue::{FairQueue, QueuedRequest},
    quarantine::{CrashRecord, Quarantine, Verdict},
    retry_budget::RetryBudget,
    scheduler::{Decision, EndpointStatus, ResolvedWaiter, Scheduler, WaiterId},
    settings::SchedulerSettings,
    speed::{
        AnswerTime, EndpointSpeed, PlacementCosts, RecentObservations, ServiceSpeed,
        SpeedObservation,
    },
};
