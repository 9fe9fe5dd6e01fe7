use {
    super::{
        AnswerBody, BrokenAnswer,
        exchange::{AnswerSource, OpenAnswer},
        request_trace::millis,
    },
    crate::{note, request::direct::CallRequest, timeline::Event},
    bytes::Bytes,
    http::Response,
    std::time::Instant,
    tokio::sync::mpsc,
};

/// Pieces that wait for a slow caller before the target is held up.
const PIECES: usize = 16;

/// Passes an answer on piece by piece, until `ends` at the latest.
pub fn relay(
    answer: OpenAnswer,
    request: &CallRequest,
) -> Response<AnswerBody> {
    let (sender, pieces) = mpsc::channel(PIECES);
    let mut response = Response::new(AnswerBody::Stream(pieces));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let relay = StreamRelay {
        id: request.id_text().to_string(),
        arrived: request.arrived,
        ends: request.ends,
        caller: sender,
    };
    tokio::task::spawn_local(relay.pass_on(answer.first, answer.source));
    response
}

/// One answer on its way.
struct StreamRelay {
    id: String,
    arrived: Instant,
    ends: Instant,
    caller: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
}

impl StreamRelay {
    async fn pass_on(
        self,
        first: Bytes,
        mut source: AnswerSource,
    ) {
        if self.caller.send(Ok(first)).await.is_err() {
            return self.caller_gone();
        }
        loop {
            let piece = tokio::select! {
                piece = source.next() => piece,
                // What the target still does for the caller is ended with the connection.
                _ = self.caller.closed() => return self.caller_gone(),
                _ = tokio::time::sleep_until(self.ends.into()) => {
                    return self.cut("time_over", &source).await;
                }
            };
            match piece {
                Ok(Some(piece)) => {
                    if self.caller.send(Ok(piece)).await.is_err() {
                        return self.caller_gone();
                    }
                }
                Ok(None) => return source.finish(),
                Err(_) => return self.cut("target_broke_off", &source).await,
            }
        }
    }

    fn caller_gone(&self) {
        note!(
            Event::RequestCallerGone,
            id = self.id,
            after_ms = millis(self.arrived.elapsed())
        );
    }

    /// Ends the answer so that it does not look whole.
    async fn cut(
        &self,
        cause: &str,
        source: &AnswerSource,
    ) {
        note!(
            Event::RequestCut,
            id = self.id,
            cause = cause,
            target = source.target(),
            after_ms = millis(self.arrived.elapsed())
        );
        let _ = self.caller.send(Err(BrokenAnswer)).await;
    }
}
