//! Id of a plan.

use crate::name::define_name;

define_name! {
    /// Id of a plan, chosen at random when it is made.
    PlanId
}
