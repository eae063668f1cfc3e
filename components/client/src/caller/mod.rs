//! Client for callers of the fleet. It keeps the list of router addresses up to date and
//! retries a request with the same id until it has the complete answer or a refusal that is
//! not worth retrying.

mod address_book;
mod answer;
mod call;
mod caller_client;
mod stream_answer;

pub use self::{
    address_book::{AddressEntry, AddressList},
    answer::CallerAnswer,
    call::CallerRequest,
    caller_client::{Caller, CallerError, ERROR_HEADER},
};
