//! Name of a fine-tuned adapter that an engine loads in addition to a model.

use crate::name::define_name;

define_name! {
    /// Name of a fine-tuned adapter that an engine loads in addition to a model.
    AdapterName
}
