use {
    super::{
        AnswerBody, BrokenAnswer,
        exchange::{AnswerSource, OpenAnswer},
    },
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
    ends: Instant,
) -> Response<AnswerBody> {
    let (sender, pieces) = mpsc::channel(PIECES);
    let mut response = Response::new(AnswerBody::Stream(pieces));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    tokio::task::spawn_local(pass_on(answer.first, answer.source, sender, ends));
    response
}

async fn pass_on(
    first: Bytes,
    mut source: AnswerSource,
    caller: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    ends: Instant,
) {
    if caller.send(Ok(first)).await.is_err() {
        return;
    }
    loop {
        let piece = tokio::select! {
            piece = source.next() => piece,
            // The caller is gone: what the target still does for it is ended with the connection.
            _ = caller.closed() => return,
            _ = tokio::time::sleep_until(ends.into()) => {
                let _ = caller.send(Err(BrokenAnswer)).await;
                return;
            }
        };
        match piece {
            Ok(Some(piece)) => {
                if caller.send(Ok(piece)).await.is_err() {
                    return;
                }
            }
            Ok(None) => {
                source.finish();
                return;
            }
            Err(_) => {
                let _ = caller.send(Err(BrokenAnswer)).await;
                return;
            }
        }
    }
}
