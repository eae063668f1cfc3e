//! Name of a client account.

use crate::name::define_name;

define_name! {
    /// Name of a client account.
    AccountName
}
