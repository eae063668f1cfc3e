//! Name of a plain service.

use crate::name::define_name;

define_name! {
    /// Name of a plain service.
    ServiceName
}
