//! Name of a fine-tuned adapter that an engine loads beside a model.

use crate::name::define_name;

define_name! {
    /// Name of a fine-tuned adapter that an engine loads beside a model.
    AdapterName
}
