//! Id of a deposit.

use crate::name::define_name;

define_name! {
    /// Id of a deposit, chosen by the operator. Unique across all client accounts.
    DepositId
}
