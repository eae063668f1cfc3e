//! Failure domains that operators have emptied: their endpoints get nothing new.

mod emptied_domains;

pub use self::emptied_domains::{DomainsView, EmptiedDomain, EmptiedDomains};
