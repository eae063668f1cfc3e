//! What endpoints take well, learned from their answers: the time for a prompt token, the gap
//! between events, and the number of requests up to which both stay low.
//!
//! A service has one model of time against load. An endpoint has a slowness, the factor by which its
//! answers differ from the model at the same load, so that one that is full does not look slow.

mod capacity;
mod endpoint;
mod fit;
mod observation;
mod recent;
mod service;

pub use self::{
    endpoint::EndpointSpeed,
    observation::{AnswerTime, SpeedObservation},
    recent::RecentObservations,
    service::{PlacementCosts, ServiceSpeed},
};
