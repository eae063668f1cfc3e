//! Streaming of an answer.

use std::io;

use bytes::Bytes;
use engine_api::{ChatChunk, DONE_MARK, encode_event};
use futures::{Stream, StreamExt, stream};

use super::{answer::token_text, stream::EngineStream};

/// Streams the tokens from index `from` on as server-sent events while they are generated. The
/// stream fails with a connection reset if the engine crashes or the stream is cancelled.
pub(super) fn encode_chunks(
    id: String,
    model: String,
    stream: EngineStream,
    from: u64,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let chunks = stream::unfold((stream, Some(from)), move |(mut stream, sent)| {
        let (id, model) = (id.clone(), model.clone());
        async move {
            let sent = sent?;
            let reached = stream.progress.wait_for(|it| it.tokens > sent || it.is_finished);
            let reached = reached.await.map(|progress| *progress);
            let Ok(progress) = reached else {
                return Some((Err(io::ErrorKind::ConnectionReset.into()), (stream, None)));
            };
            let mut text = String::new();
            for index in sent..progress.tokens {
                text.push_str(&token_text(&stream.messages, stream.skipped + index));
            }
            let mut chunk = ChatChunk::from_text(&id, &model, &text);
            chunk.usage = Some(stream.usage());
            let mut bytes = encode_event(&chunk).to_vec();
            if progress.is_finished {
                bytes.extend(encode_event(&ChatChunk::from_finish(&id, &model, "stop")));
                bytes.extend(encode_event(&ChatChunk::from_usage(&id, &model, stream.usage())));
                bytes.extend(format!("data: {DONE_MARK}\n\n").into_bytes());
            }
            let next = (!progress.is_finished).then_some(progress.tokens);
            Some((Ok(Bytes::from(bytes)), (stream, next)))
        }
    });
    chunks.boxed()
}
