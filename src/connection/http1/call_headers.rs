use http::{HeaderMap, HeaderName, HeaderValue};

/// Header lines of a call besides those that every call has.
#[derive(Debug, Clone, Default)]
pub struct CallHeaders {
    lines: String,
    /// Header by which the reply is told from one to an earlier call.
    id: Option<(HeaderName, HeaderValue)>,
}

impl CallHeaders {
    /// Adds a line.
    pub fn with(
        mut self,
        name: &HeaderName,
        value: &str,
    ) -> Self {
        self.lines.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// Adds an id that no other call bears, and that the reply carries back.
    pub fn with_id(
        self,
        name: &HeaderName,
    ) -> Self {
        let id = rand::random::<u64>();
        let text = format!("{id:016x}");
        let value = HeaderValue::from_str(&text).ok();
        Self {
            id: value.map(|value| (name.clone(), value)),
            ..self.with(name, &text)
        }
    }

    /// Returns the lines, each with its line end.
    pub fn lines(&self) -> &str {
        &self.lines
    }

    /// Returns false if a reply with these headers is to another call; where `are_named`, each reply bears the id of its call.
    pub fn admits(
        &self,
        headers: &HeaderMap,
        are_named: bool,
    ) -> bool {
        let Some((name, id)) = &self.id else {
            return true;
        };
        match headers.get(name) {
            Some(value) => value == id,
            None => !are_named,
        }
    }

    /// Returns true if a reply with these headers can be told from replies to other calls.
    pub fn is_named_by(
        &self,
        headers: &HeaderMap,
    ) -> bool {
        let id = self.id.as_ref();
        id.is_none_or(|(name, id)| headers.get(name) == Some(id))
    }
}
