//! Linearizability of one non-idempotent request id.

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

/// Process number of the endpoint; the calls are numbered after it.
const ENDPOINT: usize = 0;

/// Object of one request id: it runs at most once, and every call sees that run or none.
struct AtMostOnce;

/// Operation on a request id.
#[derive(Debug, Clone)]
enum Operation {
    /// The endpoint runs the request.
    Run(String),
    /// A call that is not answered yet.
    Pending,
    /// A call that got an answer.
    Answered(String),
    /// A call that was refused as "not run".
    NotRun,
    /// A call that learned nothing.
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

/// Tells whether the calls of non-idempotent `request` agree with one order of its run
/// and their answers. Calls that never ended are left out.
pub fn is_linearizable(history: &History, request: &RequestKey) -> bool {
    let ended: HashSet<CallId> = history.events.iter().filter_map(end_of).collect();
    let mut processes: HashMap<CallId, usize> = HashMap::default();
    let mut actions = Vec::new();
    for event in &history.events {
        match event {
            Event::Call { call, request: of, .. } if of == request && ended.contains(call) => {
                let process = processes.len() + 1;
                processes.insert(*call, process);
                actions.push((process, Action::Call(Operation::Pending)));
            }
            Event::Run { request: of, answer } if of == request => {
                let run = Operation::Run(answer.clone());
                actions.push((ENDPOINT, Action::Call(run.clone())));
                actions.push((ENDPOINT, Action::Response(run)));
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

fn end_of(event: &Event) -> Option<CallId> {
    match event {
        Event::Answer { call, .. } | Event::Refusal { call, .. } => Some(*call),
        _ => None,
    }
}
