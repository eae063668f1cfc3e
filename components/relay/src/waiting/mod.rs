//! Requests of this router that wait for a place at an endpoint: who is next, who is refused, and
//! when refused callers may return.

mod class;
mod queue;
mod returns;
mod round;
mod start_time;

pub use self::{
    class::WaitingClass,
    queue::{Refusal, ServiceQueue},
};
