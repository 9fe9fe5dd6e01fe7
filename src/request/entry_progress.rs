use {
    super::{AnswerHead, AnswerPart, CallerRequest, PartSender},
    bytes::Bytes,
    serde_json::Value,
};

/// Size limit of the sent events retained to continue a stream on another engine, in bytes.
const MAX_RETAINED_BYTES: usize = 512 * 1024;

const DATA_FIELD: &str = "data: ";

/// Tracks how much of an answer has been sent to the caller.
#[derive(Debug, Default)]
pub struct EntryProgress {
    /// Index of the next event to send.
    pub next_index: u64,
    /// Head of the answer, once received; that of a stream has also been sent.
    pub head: Option<AnswerHead>,
    sent_events: Vec<Bytes>,
    sent_bytes: usize,
    buffered: Vec<Bytes>,
}

/// The caller has disconnected.
pub struct CallerGone;

impl EntryProgress {
    /// Returns true if any event of a stream has been sent.
    pub fn has_begun(&self) -> bool {
        self.next_index > 0
    }

    /// Handles a part of the answer. Parts of a stream are forwarded immediately, others are buffered.
    pub async fn on_part(
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
                self.buffered.clear();
                if streams {
                    let part = AnswerPart::Head(head);
                    return out.send(part).await.map_err(|_| CallerGone);
                }
            }
            AnswerPart::Events { index, count, data } if stream => {
                // A part with another index belongs to another attempt.
                if index == self.next_index {
                    self.next_index += u64::from(count);
                    self.retain(&data);
                    let part = AnswerPart::Events { index, count, data };
                    return out.send(part).await.map_err(|_| CallerGone);
                }
            }
            AnswerPart::Events { data, .. } => self.buffered.push(data),
            AnswerPart::End | AnswerPart::Refused(_) => {}
        }
        Ok(())
    }

    /// Sends the buffered answer.
    pub async fn flush(
        &mut self,
        out: &PartSender,
    ) -> Result<(), CallerGone> {
        if let Some(head) = self.head.clone() {
            out.send(AnswerPart::Head(head))
                .await
                .map_err(|_| CallerGone)?;
        }
        for data in std::mem::take(&mut self.buffered) {
            let part = AnswerPart::Events {
                index: 0,
                count: 1,
                data,
            };
            out.send(part).await.map_err(|_| CallerGone)?;
        }
        Ok(())
    }

    /// Returns the request body, extended so that an engine continues after the events already sent.
    ///
    /// Returns `None` if the sent events are no longer retained or the answer cannot be continued.
    pub fn continued_body(
        &self,
        request: &CallerRequest,
    ) -> Option<Bytes> {
        if !self.has_begun() {
            return Some(request.body.clone());
        }
        if self.sent_bytes > MAX_RETAINED_BYTES {
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

    fn retain(
        &mut self,
        data: &Bytes,
    ) {
        self.sent_bytes += data.len();
        match self.sent_bytes > MAX_RETAINED_BYTES {
            true => self.sent_events.clear(),
            false => self.sent_events.push(data.clone()),
        }
    }

    fn sent_text(&self) -> Option<String> {
        let mut text = String::new();
        for data in &self.sent_events {
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
