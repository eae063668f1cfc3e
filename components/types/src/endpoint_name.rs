//! Name of an endpoint, which is one process that serves models or a plain service.

use crate::name::define_name;

define_name! {
    /// Name of an endpoint, which is one process that serves models or a plain service.
    EndpointName
}
