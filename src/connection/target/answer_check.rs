use {
    crate::{errors::TargetError, version::AdapterVersion},
    bytes::Bytes,
    serde::Deserialize,
    std::borrow::Cow,
};

const ID_FIELD: &str = "id: ";
const DATA_FIELD: &str = "data: ";
const END_MARK: &str = "[DONE]";

/// What one event of a stream turned out to be.
#[derive(Debug, Clone, PartialEq)]
pub enum CheckedEvent {
    /// The next event of the answer, to be passed on as it is.
    Next(Bytes),
    /// An event that was passed on before.
    Repeated,
    /// The mark that the answer is whole.
    End,
}

/// Checks that events belong to one request, come in order and end with the end mark.
#[derive(Debug, Clone)]
pub struct AnswerCheck {
    request_id: String,
    model: AdapterVersion,
    next: u64,
    finished: bool,
}

/// The parts of an event that say whose it is.
#[derive(Deserialize)]
struct EventHead<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    choices: Vec<ChoiceHead>,
}

#[derive(Deserialize)]
struct ChoiceHead {
    #[serde(default)]
    finish_reason: Option<serde::de::IgnoredAny>,
}

impl AnswerCheck {
    /// Expects event `next` of the request's answer.
    pub fn new(
        request_id: &str,
        model: &AdapterVersion,
        next: u64,
    ) -> Self {
        Self {
            request_id: request_id.to_string(),
            model: model.clone(),
            next,
            finished: false,
        }
    }

    /// Index of the event that is expected next.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Checks one event of a stream.
    pub fn event(
        &mut self,
        event: Bytes,
    ) -> Result<CheckedEvent, TargetError> {
        let text = std::str::from_utf8(&event).map_err(|e| bad(e.to_string()))?;
        let mut index = None;
        let mut data = None;
        for line in text.lines() {
            if let Some(value) = line.strip_prefix(ID_FIELD) {
                index = Some(
                    value
                        .parse()
                        .map_err(|_| bad(format!("event id {value}")))?,
                );
            } else if let Some(value) = line.strip_prefix(DATA_FIELD) {
                data = Some(value);
            }
        }
        let data = data.ok_or_else(|| bad("an event without data".into()))?;
        if data == END_MARK {
            return self.end();
        }
        let finishes = self.belongs(data)?;
        let index = index.ok_or_else(|| bad("an event without an id".into()))?;
        self.in_order(index, finishes, event)
    }

    /// Checks a whole answer that was not streamed.
    pub fn whole(
        &self,
        body: &[u8],
    ) -> Result<(), TargetError> {
        let text = std::str::from_utf8(body).map_err(|e| bad(e.to_string()))?;
        match self.belongs(text)? {
            true => Ok(()),
            false => Err(TargetError::CutShort("no finish reason".into())),
        }
    }

    fn end(&self) -> Result<CheckedEvent, TargetError> {
        match self.finished {
            true => Ok(CheckedEvent::End),
            false => Err(TargetError::CutShort(
                "end mark before the last event".into(),
            )),
        }
    }

    fn in_order(
        &mut self,
        index: u64,
        finishes: bool,
        event: Bytes,
    ) -> Result<CheckedEvent, TargetError> {
        if index < self.next {
            return Ok(CheckedEvent::Repeated);
        }
        if index > self.next {
            return Err(TargetError::Gap {
                wanted: self.next,
                found: index,
            });
        }
        self.next += 1;
        self.finished |= finishes;
        Ok(CheckedEvent::Next(event))
    }

    /// Checks whose event it is; true when it carries a finish reason.
    fn belongs(
        &self,
        data: &str,
    ) -> Result<bool, TargetError> {
        let head: EventHead = serde_json::from_str(data).map_err(|e| bad(e.to_string()))?;
        expect(&self.request_id, &head.id)?;
        expect(self.model.as_str(), &head.model)?;
        Ok(head
            .choices
            .iter()
            .any(|choice| choice.finish_reason.is_some()))
    }
}

fn expect(
    wanted: &str,
    found: &str,
) -> Result<(), TargetError> {
    match wanted == found {
        true => Ok(()),
        false => Err(TargetError::ForeignAnswer {
            wanted: wanted.to_string(),
            found: found.to_string(),
        }),
    }
}

fn bad(problem: String) -> TargetError {
    TargetError::BadAnswer(problem)
}
