//! Evidence on what crashes endpoints: the whole content of a request, or a part of its prompt that
//! it shares with others.
//!
//! A crash cuts off all requests on its endpoint, at every router. Those that had not brought any
//! of their answer are suspected with all that they contain, and routers merge what each of them
//! saw. What is at crash after crash and never in an answered request is condemned.

mod content_key;
mod crash_id;
mod evidence;
mod record;
mod survival_counts;
mod trial;

pub use self::{
    content_key::{ContentItem, ContentKey},
    crash_id::CrashId,
    evidence::{CrashEvidence, Standing, VerdictChange},
    record::{CrashSighting, EvidenceReport},
};
