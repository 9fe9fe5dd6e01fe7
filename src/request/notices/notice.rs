use {
    crate::formats::HeaderNames,
    http::{HeaderMap, HeaderName, StatusCode, header},
    std::time::Duration,
};

/// Maximum length of a number in a header, in bytes.
const MAX_NUMBER_LEN: usize = 32;

/// Longer backoffs are cut to this.
const MAX_BACKOFF: Duration = Duration::from_secs(24 * 3600);

/// A rate in the headers of one response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateHeader {
    #[default]
    Absent,
    /// Requests per second, summed over all hosts; for brittle targets, rejections per second.
    Rate(f64),
    /// Not usable: neither announces a limit nor ends one.
    Unknown,
}

/// The notices in the headers of one response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    pub limit: RateHeader,
    /// The target falls over if it has to turn away more than so many requests per second.
    pub brittle: RateHeader,
    /// The target is shutting down.
    pub leaving: bool,
    /// The target accepts no requests from this host for this long.
    pub backoff: Option<Duration>,
}

impl Notice {
    /// Returns true if the response has no limit, shutdown notice or backoff.
    pub fn is_empty(&self) -> bool {
        let announces = |header| matches!(header, RateHeader::Rate(_));
        !announces(self.limit)
            && !announces(self.brittle)
            && !self.leaving
            && self.backoff.is_none()
    }
}

/// A header whose value can't be parsed. The response is still passed on to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidNoticeHeader {
    pub header: HeaderName,
}

/// The response headers that hold notices.
pub struct NoticeHeaders<'a> {
    pub names: &'a HeaderNames,
    pub status: StatusCode,
    pub headers: &'a HeaderMap,
}

impl NoticeHeaders<'_> {
    /// Parses the notices, and lists the headers that can't be parsed. A 421 (misdirected request) may come from
    /// another target, so its notices are ignored.
    pub fn read(&self) -> (Notice, Vec<InvalidNoticeHeader>) {
        let mut invalid = Vec::new();
        if self.status == StatusCode::MISDIRECTED_REQUEST {
            let notice = Notice {
                limit: RateHeader::Unknown,
                brittle: RateHeader::Unknown,
                ..Notice::default()
            };
            return (notice, invalid);
        }
        let limit = self.rate(&self.names.target_limit, &mut invalid);
        let brittle = self.rate(&self.names.target_brittle, &mut invalid);
        let leaving = match self.value(&self.names.target_leaving, &mut invalid) {
            Value::Number(flag) => flag > 0.0,
            Value::Absent | Value::Invalid => false,
        };
        let backoff = match self.status {
            StatusCode::SERVICE_UNAVAILABLE => self.value(&header::RETRY_AFTER, &mut invalid),
            _ => Value::Absent,
        };
        let backoff = match backoff {
            Value::Number(seconds) => {
                let backoff = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACKOFF);
                Some(backoff.min(MAX_BACKOFF))
            }
            Value::Absent | Value::Invalid => None,
        };
        let notice = Notice {
            limit,
            brittle,
            leaving,
            backoff,
        };
        (notice, invalid)
    }

    fn rate(
        &self,
        name: &HeaderName,
        invalid: &mut Vec<InvalidNoticeHeader>,
    ) -> RateHeader {
        match self.value(name, invalid) {
            Value::Absent => RateHeader::Absent,
            Value::Number(rate) => RateHeader::Rate(rate),
            Value::Invalid => RateHeader::Unknown,
        }
    }

    fn value(
        &self,
        name: &HeaderName,
        invalid: &mut Vec<InvalidNoticeHeader>,
    ) -> Value {
        let mut values = self.headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return Value::Absent;
        };
        let text = value
            .to_str()
            .ok()
            .filter(|text| text.len() <= MAX_NUMBER_LEN);
        let number = text.and_then(|text| text.trim().parse::<f64>().ok());
        let number = number.filter(|number| number.is_finite() && *number >= 0.0);
        match number {
            Some(number) if values.next().is_none() => Value::Number(number),
            _ => {
                invalid.push(InvalidNoticeHeader {
                    header: name.clone(),
                });
                Value::Invalid
            }
        }
    }
}

/// A header value that must be a single number, zero or more.
enum Value {
    Absent,
    Number(f64),
    Invalid,
}
