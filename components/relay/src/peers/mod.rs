//! Routers that tell each other their state by datagrams.

mod gossip;
mod message;
mod roster;

pub(crate) use self::gossip::{GossipSocket, run_gossip};
pub use self::{
    message::{CrashMessage, LoadMessage, StatusMessage},
    roster::{Member, Roster, SelfStatus},
};
