//! A caller of the fleet: keeps the list of addresses, and sends a request again with
//! the same id until it has its whole answer or a refusal that no retry can change.

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
