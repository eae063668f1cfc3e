//! Name of a router, which its settings give; kept across restarts.

use crate::name::define_name;

define_name! {
    /// Name of a router, which its settings give; kept across restarts.
    RouterName
}
