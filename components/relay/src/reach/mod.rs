//! Which endpoints this router reaches by itself, and through which other routers it reaches the
//! rest.

mod path_book;
mod peer_choice;

pub use self::{
    path_book::{Path, PathBook},
    peer_choice::{PeerCandidate, choose_peer},
};
