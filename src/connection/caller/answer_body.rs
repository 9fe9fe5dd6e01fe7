use {
    super::{ErrorAnswer, Outcome},
    crate::request::{AnswerPart, EntryEnd, HEADER_OUTCOME},
    axum::http::{HeaderMap, HeaderValue},
    bytes::Bytes,
    http_body_util::StreamBody,
    hyper::body::Frame,
    std::io,
    tokio::sync::{mpsc, oneshot},
};

/// The last event of a whole stream.
const END_MARK: &str = "data: [DONE]\n\n";

/// A streamed body: events as they come, then how the request ended.
pub struct AnswerBody {
    parts: mpsc::Receiver<AnswerPart>,
    end: Option<oneshot::Receiver<EntryEnd>>,
    request_id: String,
    step: Step,
}

#[derive(Clone, Copy, PartialEq)]
enum Step {
    Parts,
    Trailers,
    Cut,
    Over,
}

type Item = Result<Frame<Bytes>, io::Error>;

impl AnswerBody {
    /// The body of a server-sent event stream whose head has been taken.
    pub fn events(
        parts: mpsc::Receiver<AnswerPart>,
        end: oneshot::Receiver<EntryEnd>,
        request_id: &str,
    ) -> StreamBody<impl futures_util::Stream<Item = Item> + use<>> {
        let body = Self {
            parts,
            end: Some(end),
            request_id: request_id.to_string(),
            step: Step::Parts,
        };
        StreamBody::new(futures_util::stream::unfold(body, |mut body| async move {
            let item = body.next().await?;
            Some((item, body))
        }))
    }

    async fn next(&mut self) -> Option<Item> {
        match self.step {
            Step::Parts => match self.parts.recv().await {
                Some(AnswerPart::Events { data, .. }) => Some(Ok(Frame::data(data))),
                Some(_) => Some(Ok(Frame::data(Bytes::new()))),
                None => Some(self.finish().await),
            },
            Step::Trailers => {
                self.step = Step::Over;
                let mut trailers = HeaderMap::new();
                let outcome = HeaderValue::from_static(Outcome::Answered.word());
                trailers.insert(HEADER_OUTCOME, outcome);
                Some(Ok(Frame::trailers(trailers)))
            }
            // Without the end of the body, the caller sees that the answer is cut short.
            Step::Cut => {
                self.step = Step::Over;
                Some(Err(io::Error::from(io::ErrorKind::ConnectionAborted)))
            }
            Step::Over => None,
        }
    }

    async fn finish(&mut self) -> Item {
        let end = match self.end.take() {
            Some(end) => end.await.ok(),
            None => None,
        };
        let id = &self.request_id;
        let (outcome, refusal) = match &end {
            Some(EntryEnd::Answered) => {
                self.step = Step::Trailers;
                let line = format!(": outcome=answered request={id}\n\n{END_MARK}");
                return Ok(Frame::data(Bytes::from(line)));
            }
            Some(EntryEnd::NotRun(refusal)) => (Outcome::NotRun, refusal),
            Some(EntryEnd::Unknown(refusal)) => (Outcome::Unknown, refusal),
            Some(EntryEnd::CallerGone) | None => {
                self.step = Step::Over;
                return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
            }
        };
        self.step = Step::Cut;
        let error = ErrorAnswer::from_refusal(refusal, outcome, id).to_json();
        let line = format!("data: {error}\n\n");
        Ok(Frame::data(Bytes::from(line)))
    }
}
