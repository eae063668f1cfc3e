//! Answers, while they are produced and once they are complete.

mod end;
mod event;
mod head;
mod kept_answer;
mod log;
mod reader;

pub use self::{
    end::AnswerEnd,
    event::AnswerEvent,
    head::AnswerHead,
    kept_answer::KeptAnswer,
    log::{AnswerLog, AnswerSlice},
    reader::AnswerReader,
};
