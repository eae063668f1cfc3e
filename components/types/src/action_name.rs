//! Name of an action that a plain service offers to callers.

use crate::name::define_name;

define_name! {
    /// Name of an action that a plain service offers to callers.
    ActionName
}
