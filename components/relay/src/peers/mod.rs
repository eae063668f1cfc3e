//! Routers that tell each other their state by datagrams.

mod gossip;
mod holders;
mod lending;
mod loans;
mod message;
mod roster;
mod witnessing;

pub use self::loans::Loans;
pub(crate) use self::{
    gossip::{GossipSocket, run_gossip},
    lending::{ask_for_loan, ask_lenders, serve_kept_loans},
};
pub use self::{
    message::{
        CrashMessage, DeclarationMessage, HeardMessage, LoadMessage, LoanMessage, PeerContent,
        PeerMessage, StatusMessage,
    },
    roster::{Heard, Member, Roster, SelfStatus, process_key},
};
