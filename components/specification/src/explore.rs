//! Breadth-first exploration of all states of a specification.

use std::{fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs_reach;

/// State machine with invariants.
pub trait Specification {
    /// State of the whole system.
    type State: Clone + Eq + Hash + Debug;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns the states that can follow `state` in one step.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns a description of the invariant that `state` violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration<S> {
    /// Number of states visited.
    pub states: usize,
    /// Description of the first violation found, and the state that has it.
    pub violation: Option<(&'static str, S)>,
}

/// Visits the reachable states in breadth-first order and stops at the first violation.
pub fn explore<T: Specification>(specification: &T) -> Exploration<T::State> {
    let mut states = 0;
    for state in bfs_reach(specification.initial(), |it| specification.successors(it)) {
        states += 1;
        if let Some(message) = specification.violation(&state) {
            return Exploration { states, violation: Some((message, state)) };
        }
    }
    Exploration { states, violation: None }
}
