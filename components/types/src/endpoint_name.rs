//! Name of an endpoint: one process that serves a model or a plain service.

use crate::name::define_name;

define_name! {
    /// Name of an endpoint: one process that serves a model or a plain service.
    EndpointName
}
