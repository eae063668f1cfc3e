//! Request ids: which attempt runs a request, stored answers, and intent rows for calls that must
//! not run twice.
//!
//! This crate contains decision logic only: it does no I/O and never reads the clock.

mod attempt;
mod claim;
mod home_directory;
mod home_router;
mod intent_admission;
mod intent_row;
mod intent_write;
mod promises;
mod resolution;
mod stored_answer;
mod take_over;

pub use self::{
    attempt::Attempt,
    claim::{Claim, ClaimDecision, EndState, HandoverEntry},
    home_directory::{EARLIER_ATTEMPT_WINDOW, HomeDirectory},
    home_router::find_home,
    intent_admission::{IntentAdmission, IntentBase, admit},
    intent_row::{INTENT_PREFIX, IntentRow, IntentState, WriteNumber, intent_key},
    intent_write::{AbandonedWrite, IntentWrite, WriteStep},
    promises::{PROMISE_DURATION, PROMISE_EXPIRY_WAIT, PROMISES_MAX, Promises},
    resolution::{Holder, OpenIntent, Resolution, ResolutionError, list_open, resolve},
    stored_answer::{AnswerBody, StoredAnswer},
    take_over::{EndpointCheck, may_take_over},
};
