//! Id of a plan.

use crate::name::define_name;

define_name! {
    /// Id of a plan, generated at random when the plan is made.
    PlanId
}
