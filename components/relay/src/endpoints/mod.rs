//! Endpoint state as this router knows it: list entries, health and load, and the choice of an
//! endpoint for a request.

mod admissions;
mod book;
mod brittleness;
mod choice;
mod cold;
mod endpoint;
mod health;
mod load;
mod pause;
mod placement;
mod prompt_split;
mod rate_limit;
mod rate_share;
mod speeds;
mod statements;
mod store_contact;
mod unreached;
mod version_reads;
mod versions;

pub use self::{
    admissions::{Admission, AdmissionBook, AdmissionRequest, OwnerView},
    book::{EndpointChange, EndpointRegistry},
    brittleness::BrittleStatement,
    cold::ColdLimit,
    load::{Load, LoadShare},
    placement::{
        Choice, ConnectTarget, LimitedWait, Placement, PlacementRequest, ProcessId, Suspect,
    },
    rate_limit::{RateReport, RateStatement},
    speeds::SpeedReport,
    statements::{BrittleReport, StatementReport, Statements},
    versions::ProcessCheck,
};
