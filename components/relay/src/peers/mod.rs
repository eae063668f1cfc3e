//! Routers that tell each other their state by datagrams.

mod crowding;
mod gossip;
mod holders;
mod lending;
mod loans;
mod message;
mod roster;
mod witnessing;

pub use self::loans::Loans;
pub use self::{
    crowding::RouterLoad,
    message::{
        CrashMessage, DeclarationMessage, HeardMessage, LoadMessage, LoanMessage, PeerContent,
        PeerMessage, StatusMessage,
    },
    roster::{Heard, Member, Roster, SelfStatus, process_key},
};
pub(crate) use self::{
    gossip::{GossipSocket, run_gossip},
    holders::update_holders,
    lending::{ask_lender, serve_deferred_loans},
};
