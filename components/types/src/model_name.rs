//! Name of a model.

use crate::name::define_name;

define_name! {
    /// Name of a model.
    ModelName
}
