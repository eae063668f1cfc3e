//! Name of an operator.

use crate::name::define_name;

define_name! {
    /// Name of an operator.
    OperatorName
}
