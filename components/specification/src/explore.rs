//! Exhaustive exploration of a specification.

use std::{fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::bfs_reach;

/// A specification.
pub trait Specification {
    /// State of the whole system.
    type State: Clone + Eq + Hash + Debug;

    /// Returns the state at the start.
    fn initial(&self) -> Self::State;

    /// Returns the states that may follow `state`.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns what `state` violates, if anything.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration<S> {
    /// States that were reached.
    pub states: usize,
    /// First violation found and the state that has it.
    pub violation: Option<(&'static str, S)>,
}

/// Visits every reachable state, nearest first, up to the first violation.
pub fn explore<T: Specification>(specification: &T) -> Exploration<T::State> {
    let mut states = 0;
    for state in bfs_reach(specification.initial(), |it| specification.successors(it)) {
        states += 1;
        if let Some(text) = specification.violation(&state) {
            return Exploration { states, violation: Some((text, state)) };
        }
    }
    Exploration { states, violation: None }
}
