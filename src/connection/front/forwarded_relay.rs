use {
    super::{
        AnswerBody, AnswerReader, BrokenAnswer,
        buffer_limits::{MAX_BUFFERED_BODY, MAX_BUFFERED_PIECES},
        exchange::relayed_headers,
        host_forwarder::{HostForwarder, log_if_malformed},
        host_stop::StopStage,
        open_request::HOST_STOPPED,
        request_trace::millis,
    },
    crate::{
        clock::{Instant, sleep_until},
        connection::http1::ExchangeError,
        note,
        request::memory::{CallerMemory, MemoryUse},
        timeline::Event,
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Response, StatusCode},
    std::{net::SocketAddr, rc::Rc},
    tokio::sync::mpsc,
};

/// The answer of another host, whose body is still to be read.
pub struct ForwardedAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: AnswerReader,
    /// The connection can be used again after the body.
    pub keeps: bool,
}

/// Relays another host's answer to a forwarded request.
pub struct ForwardedRelay {
    pub forwarder: Rc<HostForwarder>,
    pub host: SocketAddr,
    /// The pieces of the answer go on as they come.
    pub streams: bool,
    pub memory: CallerMemory,
    pub deadline: Instant,
    pub id: String,
}

impl ForwardedRelay {
    /// Returns the response for the caller: complete, or open if it streams or is large; `None` if the answer breaks off before
    /// that.
    pub async fn start(
        self,
        mut answer: ForwardedAnswer,
    ) -> Option<Response<AnswerBody>> {
        let min_bytes = match self.streams && answer.status.is_success() {
            true => 1,
            false => MAX_BUFFERED_BODY,
        };
        let mut held = self.memory.reservation(MemoryUse::Answer);
        let mut first = BytesMut::new();
        let mut has_room = true;
        while first.len() < min_bytes && has_room {
            match answer.body.next().await {
                Err(problem) => {
                    log_if_malformed(&self.id, self.host, problem);
                    return None;
                }
                Ok(Some(piece)) => {
                    first.extend_from_slice(&piece);
                    has_room = held.cover(first.capacity() as u64);
                }
                Ok(None) => {
                    let body = AnswerBody::complete(held.keep(first.freeze()));
                    return Some(self.finish(answer, body));
                }
            }
        }
        let (caller, pieces) = mpsc::channel(MAX_BUFFERED_PIECES);
        let response = response(&mut answer, AnswerBody::Stream(pieces));
        tokio::task::spawn_local(self.relay(answer, first.freeze(), caller));
        Some(response)
    }

    fn finish(
        &self,
        mut answer: ForwardedAnswer,
        body: AnswerBody,
    ) -> Response<AnswerBody> {
        let response = response(&mut answer, body);
        if answer.keeps {
            self.forwarder
                .put_idle(self.host, answer.body.into_connection());
        }
        response
    }

    /// Relays the rest of an answer piece by piece; one that breaks off looks incomplete to the caller.
    async fn relay(
        self,
        mut answer: ForwardedAnswer,
        first: Bytes,
        caller: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    ) {
        let begun = Instant::now();
        let mut piece = first;
        loop {
            let held = tokio::select! {
                held = self.memory.hold_piece(piece) => held,
                () = caller.closed() => return self.log_cut("caller_gone", begun),
            };
            if caller.send(Ok(held)).await.is_err() {
                return self.log_cut("caller_gone", begun);
            }
            let next = tokio::select! {
                next = answer.body.next() => next,
                () = caller.closed() => return self.log_cut("caller_gone", begun),
                () = sleep_until(self.deadline) => Err(ExchangeError::Closed),
                () = self.forwarder.stop.until(StopStage::Answering) => {
                    self.log_cut(HOST_STOPPED, begun);
                    let _ = caller.send(Err(BrokenAnswer)).await;
                    return;
                }
            };
            match next {
                Ok(Some(next)) => piece = next,
                Ok(None) => {
                    if answer.keeps {
                        self.forwarder
                            .put_idle(self.host, answer.body.into_connection());
                    }
                    return;
                }
                Err(problem) => {
                    log_if_malformed(&self.id, self.host, problem);
                    self.log_cut("host_broke_off", begun);
                    let _ = caller.send(Err(BrokenAnswer)).await;
                    return;
                }
            }
        }
    }

    fn log_cut(
        &self,
        cause: &'static str,
        begun: Instant,
    ) {
        note!(
            Event::ForwardCut,
            id = self.id,
            to = self.host,
            cause = cause,
            after_ms = millis(begun.elapsed()),
        );
    }
}

fn response(
    answer: &mut ForwardedAnswer,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = relayed_headers(std::mem::take(&mut answer.headers));
    response
}
