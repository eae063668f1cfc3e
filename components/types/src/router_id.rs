//! Identity of one router process.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, RouterName};

/// Identity of one router process: the router's name and the incarnation of the process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId {
    /// Name from the router's settings.
    pub name: RouterName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl RouterId {
    /// Creates the identity of incarnation `incarnation` of router `name`.
    pub fn new(name: RouterName, incarnation: Incarnation) -> RouterId {
        RouterId { name, incarnation }
    }
}

impl fmt::Display for RouterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.incarnation)
    }
}
