//! An answer's way to its reader, with the faults of its delivery.

use {
    super::{
        EngineFaults,
        engine_stream::{EngineStream, Reader, StreamStep},
    },
    crate::connection::caller::DropConnection,
    axum::{
        Json,
        body::Body,
        http::StatusCode,
        response::{IntoResponse, Response},
    },
    bytes::Bytes,
    serde_json::{Value, json},
    std::{io, sync::Arc},
};

/// Tokens sent before a stream with the fault `cut_short` ends.
const CUT_AFTER: u64 = 3;

/// The stream's events from `next` on, as server-sent events, with the faults of its delivery.
pub fn follow(
    stream: Arc<EngineStream>,
    next: u64,
    reader: Reader,
    faults: EngineFaults,
) -> Body {
    let delivery = Delivery {
        next,
        sent: 0,
        stream,
        faults,
        _reader: reader,
    };
    let lines = futures_util::stream::unfold(Some(delivery), |delivery| async move {
        let mut delivery = delivery?;
        let line = delivery.step().await?;
        Some((line, Some(delivery)))
    });
    Body::from_stream(lines)
}

/// One delivery of a stream to one reader.
struct Delivery {
    stream: Arc<EngineStream>,
    next: u64,
    sent: u64,
    faults: EngineFaults,
    _reader: Reader,
}

impl Delivery {
    async fn step(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.faults.cut_short > 0 && self.sent >= CUT_AFTER {
            return None;
        }
        self.sent += 1;
        let wanted = self.wanted();
        match self.stream.step(wanted).await {
            StreamStep::Event(event) => Some(Ok(line(wanted, &event))),
            StreamStep::Ended if self.faults.cut_short == u32::MAX => None,
            StreamStep::Ended => {
                self.faults.cut_short = u32::MAX;
                self.sent = CUT_AFTER;
                Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            StreamStep::Broken => Some(Err(io::Error::from(io::ErrorKind::ConnectionAborted))),
        }
    }

    /// The event to send now; a fault strikes at the second one.
    fn wanted(&mut self) -> u64 {
        let at_fault = self.sent == 2;
        if at_fault && self.faults.doubled_event > 0 {
            return self.next - 1;
        }
        if at_fault && self.faults.swapped_events > 0 {
            return self.next + 1;
        }
        if at_fault && self.faults.skipped_event > 0 {
            self.next += 1;
        }
        self.next += 1;
        self.next - 1
    }
}

fn line(
    index: u64,
    event: &str,
) -> Bytes {
    Bytes::from(format!("id: {index}\ndata: {event}\n\n"))
}

pub async fn whole(
    stream: Arc<EngineStream>,
    chat: bool,
) -> Response {
    let _reader = stream.enter();
    let mut content = String::new();
    let mut last = Value::Null;
    let mut index = 0;
    loop {
        match stream.step(index).await {
            StreamStep::Event(event) => {
                last = serde_json::from_str(&event).unwrap_or_default();
                let pointer = match chat {
                    true => "/choices/0/delta/content",
                    false => "/choices/0/text",
                };
                content += last.pointer(pointer).and_then(Value::as_str).unwrap_or("");
                index += 1;
            }
            StreamStep::Ended => break,
            StreamStep::Broken => {
                let mut response = StatusCode::OK.into_response();
                response.extensions_mut().insert(DropConnection);
                return response;
            }
        }
    }
    let choice = match chat {
        true => json!({
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "length",
        }),
        false => json!({"index": 0, "text": content, "finish_reason": "length"}),
    };
    let object = match chat {
        true => "chat.completion",
        false => "text_completion",
    };
    Json(json!({
        "id": last["id"],
        "object": object,
        "model": last["model"],
        "choices": [choice],
        "usage": {"completion_tokens": index},
    }))
    .into_response()
}
