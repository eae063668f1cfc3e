//! Endpoints: what is believed of them, their load, and the choice of one for a request.

mod book;
mod choice;
mod endpoint;
mod health;
mod load;
mod prompt_split;
mod store_contact;

pub use self::{
    book::{EndpointChange, EndpointRegistry},
    choice::{Choice, Need, Placement},
    load::{Load, LoadShare},
};
