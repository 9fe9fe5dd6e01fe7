use {
    super::{
        AnswerHead, AnswerPart, CachedAnswer, PartSender, Refusal, RefusalCode, RunPermit,
        headers_from_wire, passed_headers,
    },
    crate::{
        connection::{
            peer::wire::ForwardRequest,
            target::{
                AnswerCheck, CheckedEvent, SseReader, TargetAnswer, TargetCall, TargetClient,
            },
        },
        errors::TargetError,
        process::control::{ControlHandle, Input},
        timeline::{Event, EventLog},
        version::{AdapterVersion, TargetSpec},
    },
    bytes::{Bytes, BytesMut},
    http::Method,
    std::time::Duration,
};

/// Attempts to resume a broken stream per run.
const MAX_RESUMES: u32 = 3;

/// Delay before a broken stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(20);

/// How a run at a target ended.
#[derive(Debug, Clone, PartialEq)]
pub enum RunEnd {
    /// The complete answer was sent; the value holds it unless it was streamed.
    Answered(Option<CachedAnswer>),
    Refused(Refusal),
}

/// Runs one admitted request at its target and validates the answer.
pub struct TargetRun<'a> {
    pub client: &'a TargetClient,
    pub control: &'a ControlHandle,
    pub log: &'a EventLog,
    pub spec: &'a TargetSpec,
    pub request: &'a ForwardRequest,
    pub model: Option<AdapterVersion>,
    pub fence: u64,
    pub load_wait: Duration,
    pub parts: &'a PartSender,
}

impl TargetRun<'_> {
    /// Resumes a stream that an earlier attempt started. Returns `None` if the target cannot resume it.
    pub async fn resume(&self) -> Option<RunEnd> {
        let model = self.model.clone()?;
        let from = self.request.resume_from;
        let id = &self.request.request_id;
        let answer = self.client.resume(self.spec.address, id, from).await;
        let answer = answer.ok()?;
        self.log_event(Event::RequestResumed);
        let check = AnswerCheck::new(id, &model, from);
        if self.send_head(&answer).await.is_err() {
            return Some(receiver_gone());
        }
        Some(self.forward_stream(answer, check).await)
    }

    /// Sends the request and forwards its answer.
    pub async fn send(
        &self,
        permit: Option<&mut RunPermit>,
    ) -> RunEnd {
        let mut permit = permit;
        if let Some(permit) = permit.as_deref_mut() {
            permit.mark_sent();
        }
        self.log_event(Event::RequestSent);
        let end = match self.client.send(self.call()).await {
            Ok(answer) => self.forward_answer(answer).await,
            Err(error) => self.on_error(error).await,
        };
        let settled = match &end {
            RunEnd::Answered(_) => true,
            RunEnd::Refused(refusal) => !refusal.may_have_run,
        };
        if let (true, Some(permit)) = (settled, permit) {
            permit.mark_settled();
        }
        end
    }

    fn call(&self) -> TargetCall {
        let request = self.request;
        TargetCall {
            address: self.spec.address,
            method: Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST),
            path: request.path.clone(),
            headers: headers_from_wire(&request.headers),
            body: request.body.clone(),
            request_id: request.request_id.clone(),
            model: self.model.clone(),
            priority: request.priority as u8,
            fence: self.fence,
            key: request.key.clone(),
        }
    }

    async fn forward_answer(
        &self,
        answer: TargetAnswer,
    ) -> RunEnd {
        self.report_contact(true);
        let Some(model) = &self.model else {
            return self.forward_body(answer, None).await;
        };
        let id = &self.request.request_id;
        let check = AnswerCheck::new(id, model, self.request.resume_from);
        if !self.request.stream || !answer.status.is_success() {
            return self.forward_body(answer, Some(check)).await;
        }
        if self.send_head(&answer).await.is_err() {
            return receiver_gone();
        }
        self.forward_stream(answer, check).await
    }

    /// Forwards an answer that is not streamed, after validating it completely.
    async fn forward_body(
        &self,
        answer: TargetAnswer,
        check: Option<AnswerCheck>,
    ) -> RunEnd {
        let head = self.head(&answer);
        let is_success = answer.status.is_success();
        let body = match answer.whole().await {
            Ok(body) => body,
            Err(error) => return self.on_error(error).await,
        };
        if let (Some(check), true) = (check, is_success)
            && let Err(error) = check.whole(&body)
        {
            return self.on_error(error).await;
        }
        let cached = CachedAnswer {
            status: head.status,
            headers: head.headers.clone(),
            body: body.clone(),
        };
        let parts = [
            AnswerPart::Head(head),
            AnswerPart::Events {
                index: 0,
                count: 1,
                data: body,
            },
            AnswerPart::End,
        ];
        for part in parts {
            // The request has been answered even if the caller no longer waits.
            let _ = self.parts.send(part).await;
        }
        RunEnd::Answered(Some(cached))
    }

    async fn forward_stream(
        &self,
        answer: TargetAnswer,
        mut check: AnswerCheck,
    ) -> RunEnd {
        let mut reader = SseReader::new(answer.body);
        let mut resumes = 0;
        loop {
            let error = match self.forward_events(&mut reader, &mut check).await {
                Ok(end) => return end,
                Err(error) => error,
            };
            let can_resume = matches!(error, TargetError::Gap { .. } | TargetError::CutShort(_));
            if !can_resume || resumes >= MAX_RESUMES {
                return self.on_error(error).await;
            }
            resumes += 1;
            tokio::time::sleep(RESUME_DELAY).await;
            let id = &self.request.request_id;
            let from = check.next_index();
            match self.client.resume(self.spec.address, id, from).await {
                Ok(answer) => {
                    self.log_event(Event::RequestResumed);
                    reader = SseReader::new(answer.body);
                }
                Err(_) => return self.on_error(error).await,
            }
        }
    }

    /// Forwards events until the end marker or an error.
    async fn forward_events(
        &self,
        reader: &mut SseReader,
        check: &mut AnswerCheck,
    ) -> Result<RunEnd, TargetError> {
        loop {
            let Some(event) = reader.next().await? else {
                return Err(TargetError::CutShort("no end mark".into()));
            };
            let index = check.next_index();
            let mut batch = Batch::default();
            let mut checked = batch.add(check, event);
            while let Ok(false) = checked {
                match reader.take_buffered() {
                    Some(event) => checked = batch.add(check, event),
                    None => break,
                }
            }
            if let Some(part) = batch.into_part(index)
                && self.parts.send(part).await.is_err()
            {
                return Ok(receiver_gone());
            }
            if checked? {
                let _ = self.parts.send(AnswerPart::End).await;
                return Ok(RunEnd::Answered(None));
            }
        }
    }

    async fn on_error(
        &self,
        error: TargetError,
    ) -> RunEnd {
        let target = &self.request.target;
        let id = &self.request.request_id;
        self.log.note(
            Event::AnswerRefused,
            &[("request", id), ("target", target), ("error", &error)],
        );
        if !error.surely_not_run() && self.model.is_some() {
            self.client.cancel(self.spec.address, id).await;
        }
        let refusal = match error {
            TargetError::NotReached(_) => {
                self.report_contact(false);
                Refusal::elsewhere(RefusalCode::TargetUnreachable)
            }
            TargetError::NotRun {
                code,
                retry_after_ms,
            } => self.on_rejected(&code, retry_after_ms),
            TargetError::FencedOff => self.on_rejected("fenced_off", 0),
            TargetError::ForeignAnswer { .. } => Refusal::unknown(RefusalCode::AnswerForeign),
            TargetError::CutShort(_) => {
                self.report_contact(false);
                Refusal::unknown(RefusalCode::AnswerLost)
            }
            _ => Refusal::unknown(RefusalCode::CutShort),
        };
        RunEnd::Refused(refusal)
    }

    fn on_rejected(
        &self,
        code: &str,
        retry_after_ms: u64,
    ) -> Refusal {
        let target = self.request.target.clone();
        match (code, &self.model) {
            ("adapter_not_loaded", Some(model)) => {
                let model = model.clone();
                self.control.input(Input::AdapterMissing { target, model });
                Refusal::elsewhere(RefusalCode::AdapterNotLoaded)
            }
            ("fenced_off", _) => {
                self.control.input(Input::FencedOff { target });
                Refusal::elsewhere(RefusalCode::NotOwner)
            }
            _ => {
                let mut refusal = Refusal::elsewhere(RefusalCode::Overloaded);
                let requested = Duration::from_millis(retry_after_ms);
                refusal.retry_after = refusal.retry_after.max(requested);
                refusal
            }
        }
    }

    async fn send_head(
        &self,
        answer: &TargetAnswer,
    ) -> Result<(), ()> {
        let head = AnswerPart::Head(self.head(answer));
        self.parts.send(head).await.map_err(|_| ())
    }

    fn head(
        &self,
        answer: &TargetAnswer,
    ) -> AnswerHead {
        AnswerHead {
            status: answer.status,
            headers: passed_headers(&answer.headers),
            target: self.request.target.clone(),
            load_wait: self.load_wait,
            replayed: false,
        }
    }

    fn report_contact(
        &self,
        reached: bool,
    ) {
        self.control.input(Input::Contact {
            target: self.request.target.clone(),
            reached,
        });
    }

    fn log_event(
        &self,
        event: Event,
    ) {
        let request = self.request;
        self.log.note(
            event,
            &[
                ("request", &request.request_id),
                ("target", &request.target),
                ("from", &request.resume_from),
            ],
        );
    }
}

/// Events that arrived together and are sent as one part.
#[derive(Default)]
struct Batch {
    count: u32,
    first: Bytes,
    rest: BytesMut,
}

impl Batch {
    /// Adds an event. Returns true if it was the end marker.
    fn add(
        &mut self,
        check: &mut AnswerCheck,
        event: Bytes,
    ) -> Result<bool, TargetError> {
        match check.event(event)? {
            CheckedEvent::End => return Ok(true),
            CheckedEvent::Repeated => {}
            CheckedEvent::Next(event) => {
                if self.count == 0 {
                    self.first = event;
                } else {
                    if self.count == 1 {
                        self.rest.extend_from_slice(&self.first);
                    }
                    self.rest.extend_from_slice(&event);
                }
                self.count += 1;
            }
        }
        Ok(false)
    }

    fn into_part(
        self,
        index: u64,
    ) -> Option<AnswerPart> {
        let data = match self.count {
            0 => return None,
            1 => self.first,
            _ => self.rest.freeze(),
        };
        Some(AnswerPart::Events {
            index,
            count: self.count,
            data,
        })
    }
}

/// Returns the end of a run whose receiver is gone; the target may still be running the request.
fn receiver_gone() -> RunEnd {
    RunEnd::Refused(Refusal::unknown(RefusalCode::AnswerLost))
}
