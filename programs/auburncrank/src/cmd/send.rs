//! `send`: sends a request as a caller.

use std::io::Write;

use client::{Caller, CallerRequest};
use serde_json::{Value, json};

use crate::{context::CommandContext, exit::CommandError};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] =
    &["send chat MODEL TEXT [--stream] [--id ID]", "send action NAME JSON [--id ID]"];

/// Description in the help text.
pub(super) const ABOUT: &str =
    "Sends a request as a caller; retries carry the same id, so that it is counted once.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let arguments: Vec<_> = cx.arguments.iter().map(String::as_str).collect();
    let (path, body, is_stream) = match arguments[..] {
        ["chat", model, text] => {
            let body = json!({
                "model": model, "max_tokens": cx.max_tokens, "stream": cx.stream,
                "messages": [{ "role": "user", "content": text }],
            });
            ("/v1/chat/completions".to_owned(), body.to_string(), cx.stream)
        }
        ["action", name, body] => {
            let parsed: Result<Value, _> = serde_json::from_str(body);
            parsed.map_err(|error| CommandError::Usage(format!("JSON: {error}")))?;
            (format!("/v1/actions/{name}"), body.to_owned(), false)
        }
        _ => {
            let usage = USAGE.join("\n   or: auburncrank ");
            return Err(CommandError::Usage(format!("usage: auburncrank {usage}")));
        }
    };
    let id = cx.request_id()?;
    let req =
        CallerRequest { id: id.clone(), path, body: body.into(), is_stream, timeout: cx.timeout };
    let caller = Caller::new(cx.routers.clone(), cx.key()?, None);
    let on_text = |text: &str| {
        if !cx.json {
            print!("{text}");
            let _ = std::io::stdout().flush();
        }
    };
    eprintln!("request {id}");
    let answer = caller.send(&req, on_text).await?;
    print_answer(cx, is_stream, &answer.body);
    let tokens =
        answer.billed_tokens.map_or_else(String::new, |it| format!(", {it} tokens billed"));
    eprintln!("answered with status {} after {} attempts{tokens}", answer.status, answer.tries);
    if answer.status >= 400 {
        return Err(CommandError::Refused("the service answered with an error".to_owned()));
    }
    Ok(())
}

fn print_answer(cx: &CommandContext, is_stream: bool, body: &[u8]) {
    let text = String::from_utf8_lossy(body);
    match (cx.json, is_stream) {
        (true, true) => println!("{}", json!({ "text": text })),
        (true, false) => println!("{text}"),
        // The text of a stream was printed as it arrived.
        (false, true) => println!(),
        (false, false) => println!("{}", chat_text(body).unwrap_or(text.into_owned())),
    }
}

fn chat_text(body: &[u8]) -> Option<String> {
    let completion: Value = serde_json::from_slice(body).ok()?;
    let text = completion.pointer("/choices/0/message/content")?.as_str()?;
    Some(text.to_owned())
}
