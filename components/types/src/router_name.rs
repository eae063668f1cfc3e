//! Name of a router, taken from its settings and kept across restarts.

use crate::name::define_name;

define_name! {
    /// Name of a router, taken from its settings and kept across restarts.
    RouterName
}
