//! Linearizability check of one non-idempotent request id.

use errors::Ran;
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{Action, History as ActionHistory},
    },
    specifications::Specification,
};
use types::RequestKey;
use utils::{HashMap, HashSet};

use crate::{CallId, Event, History};

/// Process number of the endpoint in the checker's history; calls have the numbers after it.
const ENDPOINT_PROCESS: usize = 0;

/// Sequential specification of one request id: it runs at most once, and every call sees that
/// run or none.
struct AtMostOnce;

/// Operation on the request id. The state is the answer of its run, if it has run.
#[derive(Debug, Clone)]
enum Operation {
    /// The endpoint runs the request and produces this answer.
    Run(String),
    /// A call that has not been answered yet; placeholder until its response is known.
    Pending,
    /// A call that received this answer.
    Answered(String),
    /// A call that was refused with the statement that the request did not run.
    NotRun,
    /// A call whose refusal does not rule out that the request ran.
    Unknown,
}

impl Specification for AtMostOnce {
    type State = Option<String>;
    type Operation = Operation;

    fn init() -> Option<String> {
        None
    }

    fn apply(operation: &Operation, state: &Option<String>) -> (bool, Option<String>) {
        match operation {
            Operation::Run(answer) => (state.is_none(), Some(answer.clone())),
            Operation::Answered(answer) => (state.as_ref() == Some(answer), state.clone()),
            Operation::NotRun => (state.is_none(), state.clone()),
            Operation::Unknown => (true, state.clone()),
            Operation::Pending => (false, state.clone()),
        }
    }
}

/// Returns whether the calls of the non-idempotent `request` are linearizable: some order of
/// its run and their responses is consistent with all of them. Calls that never ended are
/// ignored.
pub fn is_linearizable(history: &History, request: &RequestKey) -> bool {
    let ended: HashSet<CallId> = history.events.iter().filter_map(ended_call).collect();
    let mut processes: HashMap<CallId, usize> = HashMap::default();
    let mut actions = Vec::new();
    for event in &history.events {
        match event {
            Event::Call { call, request: it, .. } if it == request && ended.contains(call) => {
                let process = processes.len() + 1;
                processes.insert(*call, process);
                actions.push((process, Action::Call(Operation::Pending)));
            }
            Event::Run { request: it, answer } if it == request => {
                let run = Operation::Run(answer.clone());
                actions.push((ENDPOINT_PROCESS, Action::Call(run.clone())));
                actions.push((ENDPOINT_PROCESS, Action::Response(run)));
            }
            Event::Answer { call, answer } => {
                if let Some(process) = processes.get(call) {
                    let answered = Operation::Answered(answer.clone());
                    actions.push((*process, Action::Response(answered)));
                }
            }
            Event::Refusal { call, ran } => {
                let operation = match ran {
                    Ran::Never => Operation::NotRun,
                    Ran::NoFurther | Ran::Unknown => Operation::Unknown,
                };
                if let Some(process) = processes.get(call) {
                    actions.push((*process, Action::Response(operation)));
                }
            }
            _ => {}
        }
    }
    if actions.is_empty() {
        return true;
    }
    WGLChecker::<AtMostOnce>::is_linearizable(ActionHistory::from_actions(actions))
}

fn ended_call(event: &Event) -> Option<CallId> {
    match event {
        Event::Answer { call, .. } | Event::Refusal { call, .. } => Some(*call),
        _ => None,
    }
}
