use {
    crate::formats::HeaderNames,
    http::{HeaderMap, HeaderName, StatusCode, header},
    std::time::Duration,
};

/// Longest text of a number in a header, in bytes.
const MAX_TEXT: usize = 32;

/// Longer rests count as this long.
const MOST_REST: Duration = Duration::from_secs(24 * 3600);

/// What an answer says of the rate that its target bears.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitWord {
    /// No limit is named.
    #[default]
    Absent,
    /// Requests a second, from all hosts together.
    Rate(f64),
    /// Nothing that can be gone by: it neither names a limit nor ends one.
    Unknown,
}

/// What one answer says of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    pub limit: LimitWord,
    /// The target is leaving.
    pub leaves: bool,
    /// The target wants nothing from this host for so long.
    pub rest: Option<Duration>,
}

impl Notice {
    /// True if the target is in no need, as far as this answer says.
    pub fn says_nothing(&self) -> bool {
        !matches!(self.limit, LimitWord::Rate(_)) && !self.leaves && self.rest.is_none()
    }
}

/// A header whose value makes no sense; the answer goes on to its caller all the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableNotice {
    pub header: HeaderName,
}

/// The headers of an answer in which its target speaks of itself.
pub struct NoticeHeaders<'a> {
    pub names: &'a HeaderNames,
    pub status: StatusCode,
    pub headers: &'a HeaderMap,
}

impl NoticeHeaders<'_> {
    /// Reads what is said, and names the headers that make no sense. An answer that the request was meant for another target
    /// may come from another one, and says nothing.
    pub fn read(&self) -> (Notice, Vec<UnreadableNotice>) {
        let mut unreadable = Vec::new();
        if self.status == StatusCode::MISDIRECTED_REQUEST {
            let notice = Notice {
                limit: LimitWord::Unknown,
                ..Notice::default()
            };
            return (notice, unreadable);
        }
        let limit = match self.value(&self.names.target_limit, &mut unreadable) {
            Value::Absent => LimitWord::Absent,
            Value::Number(rate) => LimitWord::Rate(rate),
            Value::Unreadable => LimitWord::Unknown,
        };
        let leaves = match self.value(&self.names.target_leaving, &mut unreadable) {
            Value::Number(word) => word > 0.0,
            Value::Absent | Value::Unreadable => false,
        };
        let rest = match self.status {
            StatusCode::SERVICE_UNAVAILABLE => self.value(&header::RETRY_AFTER, &mut unreadable),
            _ => Value::Absent,
        };
        let rest = match rest {
            Value::Number(seconds) => {
                let rest = Duration::try_from_secs_f64(seconds).unwrap_or(MOST_REST);
                Some(rest.min(MOST_REST))
            }
            Value::Absent | Value::Unreadable => None,
        };
        let notice = Notice {
            limit,
            leaves,
            rest,
        };
        (notice, unreadable)
    }

    fn value(
        &self,
        name: &HeaderName,
        unreadable: &mut Vec<UnreadableNotice>,
    ) -> Value {
        let mut values = self.headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return Value::Absent;
        };
        let text = value.to_str().ok().filter(|text| text.len() <= MAX_TEXT);
        let number = text.and_then(|text| text.trim().parse::<f64>().ok());
        let number = number.filter(|number| number.is_finite() && *number >= 0.0);
        match number {
            Some(number) if values.next().is_none() => Value::Number(number),
            _ => {
                unreadable.push(UnreadableNotice {
                    header: name.clone(),
                });
                Value::Unreadable
            }
        }
    }
}

/// The value of a header that should hold one number, zero or more.
enum Value {
    Absent,
    Number(f64),
    Unreadable,
}
