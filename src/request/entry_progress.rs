use {
    super::{AnswerHead, AnswerPart, CallerRequest, PartSender},
    bytes::Bytes,
    serde_json::Value,
};

/// Sent events are kept up to this size, to continue a stream on another engine, in bytes.
const MAX_KEPT: usize = 512 * 1024;

const DATA_FIELD: &str = "data: ";

/// How much of an answer has gone to the caller.
#[derive(Debug, Default)]
pub struct EntryProgress {
    /// Index of the next event that the caller lacks.
    pub next_index: u64,
    /// The head, once it has come; a streamed answer's head has then gone out.
    pub head: Option<AnswerHead>,
    sent: Vec<Bytes>,
    sent_bytes: usize,
    whole: Vec<Bytes>,
}

/// The caller has hung up.
pub struct CallerGone;

impl EntryProgress {
    /// True once any of a streamed answer has gone out.
    pub fn has_begun(&self) -> bool {
        self.next_index > 0
    }

    /// Takes a part in; of a streamed answer it is passed on at once.
    pub async fn take(
        &mut self,
        part: AnswerPart,
        stream: bool,
        out: &PartSender,
    ) -> Result<(), CallerGone> {
        match part {
            AnswerPart::Head(head) => {
                let first = self.head.is_none();
                let streams = stream && first;
                self.head = Some(head.clone());
                self.whole.clear();
                if streams {
                    let part = AnswerPart::Head(head);
                    return out.send(part).await.map_err(|_| CallerGone);
                }
            }
            AnswerPart::Events { index, count, data } if stream => {
                // A part that does not follow was checked against another attempt: it is not ours.
                if index == self.next_index {
                    self.next_index += u64::from(count);
                    self.keep(&data);
                    let part = AnswerPart::Events { index, count, data };
                    return out.send(part).await.map_err(|_| CallerGone);
                }
            }
            AnswerPart::Events { data, .. } => self.whole.push(data),
            AnswerPart::End | AnswerPart::Refused(_) => {}
        }
        Ok(())
    }

    /// Sends an answer that was held back until it was whole.
    pub async fn release(
        &mut self,
        out: &PartSender,
    ) -> Result<(), CallerGone> {
        if let Some(head) = self.head.clone() {
            out.send(AnswerPart::Head(head))
                .await
                .map_err(|_| CallerGone)?;
        }
        for data in std::mem::take(&mut self.whole) {
            let part = AnswerPart::Events {
                index: 0,
                count: 1,
                data,
            };
            out.send(part).await.map_err(|_| CallerGone)?;
        }
        Ok(())
    }

    /// The request's body, changed so that an engine goes on after what the caller has.
    ///
    /// None when what was sent is no longer kept, or can't be continued.
    pub fn continued_body(
        &self,
        request: &CallerRequest,
    ) -> Option<Bytes> {
        if !self.has_begun() {
            return Some(request.body.clone());
        }
        if self.sent_bytes > MAX_KEPT {
            return None;
        }
        let mut body: Value = serde_json::from_slice(&request.body).ok()?;
        let fields = body.as_object_mut()?;
        let choices = fields.get("n").and_then(Value::as_u64).unwrap_or(1);
        if choices != 1 {
            return None;
        }
        fields.insert("continue_from".into(), self.next_index.into());
        fields.insert("continue_text".into(), self.sent_text()?.into());
        serde_json::to_vec(&body).ok().map(Bytes::from)
    }

    fn keep(
        &mut self,
        data: &Bytes,
    ) {
        self.sent_bytes += data.len();
        match self.sent_bytes > MAX_KEPT {
            true => self.sent.clear(),
            false => self.sent.push(data.clone()),
        }
    }

    fn sent_text(&self) -> Option<String> {
        let mut text = String::new();
        for data in &self.sent {
            let lines = std::str::from_utf8(data).ok()?;
            for event in lines
                .lines()
                .filter_map(|line| line.strip_prefix(DATA_FIELD))
            {
                let event: Value = serde_json::from_str(event).ok()?;
                let choice = event.pointer("/choices/0")?;
                let piece = choice.get("text").or(choice.pointer("/delta/content"));
                text += piece.and_then(Value::as_str).unwrap_or_default();
            }
        }
        Some(text)
    }
}
