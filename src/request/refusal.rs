use {super::RefusalCode, crate::connection::peer::wire, std::time::Duration};

/// Why a request got no whole answer, and what that means for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    pub code: RefusalCode,
    /// True when the target may have begun the request.
    pub may_have_run: bool,
    /// True when another target or owner may take it at once.
    pub try_elsewhere: bool,
    /// When to come back; zero when coming back does not help.
    pub retry_after: Duration,
}

impl Refusal {
    /// It was not run; another target or owner may take it.
    pub fn elsewhere(code: RefusalCode) -> Self {
        Self {
            code,
            may_have_run: false,
            try_elsewhere: true,
            retry_after: Duration::from_millis(200),
        }
    }

    /// It was not run, and no other target helps.
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

    /// It may have run.
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
        // A code of a newer peer: what it means for the request is said beside it.
        let code = refusal.code.parse().unwrap_or(RefusalCode::NoTarget);
        Self {
            code,
            may_have_run: refusal.may_have_run,
            try_elsewhere: refusal.try_elsewhere,
            retry_after: Duration::from_millis(refusal.retry_after_ms),
        }
    }
}
