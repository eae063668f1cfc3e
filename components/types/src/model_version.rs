//! Version of a model or an adapter.

use crate::name::define_name;

define_name! {
    /// Version of a model or an adapter.
    ModelVersion
}
