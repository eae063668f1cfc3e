//! Id of a deposit.

use crate::name::define_name;

define_name! {
    /// Id of a deposit, chosen by the operator; unique over all client accounts.
    DepositId
}
