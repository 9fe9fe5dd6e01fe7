use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    thiserror::Error,
    tokio::sync::mpsc,
};

/// The answer can't be completed; the connection is closed early, so that the caller sees a truncated answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer can't be completed")]
pub struct BrokenAnswer;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    Complete(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, BrokenAnswer>>),
}

impl AnswerBody {
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
