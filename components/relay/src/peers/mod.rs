//! Routers that tell each other their state by datagrams.

mod gossip;
mod loans;
mod message;
mod roster;
mod witnessing;

pub(crate) use self::gossip::{GossipSocket, run_gossip};
pub use self::loans::Loans;
pub use self::{
    message::{
        CrashMessage, DeclarationMessage, HeardMessage, LoadMessage, LoanMessage, PeerContent,
        PeerMessage, StatusMessage,
    },
    roster::{Member, Roster, SelfStatus},
};
