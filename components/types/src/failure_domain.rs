//! Name of a failure domain, which is a group of hosts that can fail together.

use crate::name::define_name;

define_name! {
    /// Name of a failure domain, which is a group of hosts that can fail together.
    FailureDomain
}
