use {super::RefusalCode, crate::connection::peer::wire, std::time::Duration};

/// Why a request got no complete answer, and whether it may be retried.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    pub code: RefusalCode,
    /// True if the target may have started the request.
    pub may_have_run: bool,
    /// True if the request may be sent to another target or owner immediately.
    pub try_elsewhere: bool,
    /// Time after which the caller may retry; zero if a retry is useless.
    pub retry_after: Duration,
}

impl Refusal {
    /// The request did not run; another target or owner may run it.
    pub fn elsewhere(code: RefusalCode) -> Self {
        Self {
            code,
            may_have_run: false,
            try_elsewhere: true,
            retry_after: Duration::from_millis(200),
        }
    }

    /// The request did not run, and no other target can run it.
    pub fn not_run(
        code: RefusalCode,
        retry_after: Duration,
    ) -> Self {
        Self {
            code,
            may_have_run: false,
            try_elsewhere: false,
            retry_after,
        }
    }

    /// The request may have run.
    pub fn unknown(code: RefusalCode) -> Self {
        Self {
            code,
            may_have_run: true,
            try_elsewhere: false,
            retry_after: Duration::ZERO,
        }
    }
}

impl From<Refusal> for wire::Refusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            code: refusal.code.word().to_string(),
            message: String::new(),
            may_have_run: refusal.may_have_run,
            try_elsewhere: refusal.try_elsewhere,
            retry_after_ms: refusal.retry_after.as_millis() as u64,
        }
    }
}

impl From<wire::Refusal> for Refusal {
    fn from(refusal: wire::Refusal) -> Self {
        // An unknown code comes from a newer peer; the other fields say how to handle it.
        let code = refusal.code.parse().unwrap_or(RefusalCode::NoTarget);
        Self {
            code,
            may_have_run: refusal.may_have_run,
            try_elsewhere: refusal.try_elsewhere,
            retry_after: Duration::from_millis(refusal.retry_after_ms),
        }
    }
}
