use {
    http::StatusCode,
    std::{fmt, str::FromStr},
};

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident = $word:literal $status:ident,)*) => {
        /// Why a request got no whole answer; the words are stable, see `docs/CALLERS.md`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum RefusalCode {
            $($(#[$doc])* $name,)*
        }

        impl RefusalCode {
            /// Every code there is.
            pub const ALL: &'static [RefusalCode] = &[$(RefusalCode::$name,)*];

            /// The stable word.
            pub fn word(self) -> &'static str {
                match self {
                    $(RefusalCode::$name => $word,)*
                }
            }

            /// The HTTP status that it is sent with.
            pub fn status(self) -> StatusCode {
                match self {
                    $(RefusalCode::$name => StatusCode::$status,)*
                }
            }
        }
    };
}

refusal_codes! {
    /// The host asked does not own the target any more.
    NotOwner = "not_owner" SERVICE_UNAVAILABLE,
    /// No host owns the target at this time.
    NoOwner = "no_owner" SERVICE_UNAVAILABLE,
    /// The owner of the target was not reached.
    OwnerUnreachable = "owner_unreachable" SERVICE_UNAVAILABLE,
    /// No target can serve the request.
    NoTarget = "no_target" SERVICE_UNAVAILABLE,
    TargetLeaving = "target_leaving" SERVICE_UNAVAILABLE,
    TargetUnreachable = "target_unreachable" SERVICE_UNAVAILABLE,
    AdapterNotLoaded = "adapter_not_loaded" SERVICE_UNAVAILABLE,
    LoadFailed = "load_failed" SERVICE_UNAVAILABLE,
    /// More waits than can be served; the least worthy is sent away.
    Overloaded = "overloaded" TOO_MANY_REQUESTS,
    /// The deadline came while the request waited.
    DeadlineInQueue = "deadline_in_queue" GATEWAY_TIMEOUT,
    /// The deadline had come before the request could wait.
    DeadlinePassed = "deadline_passed" GATEWAY_TIMEOUT,
    /// The target's answer did not arrive, or not in time.
    AnswerLost = "answer_lost" BAD_GATEWAY,
    /// The target's answer belonged to another request or adapter.
    AnswerForeign = "answer_foreign" BAD_GATEWAY,
    /// The target's answer ended early.
    CutShort = "cut_short" BAD_GATEWAY,
    /// A later attempt of a request whose first attempt is not on record.
    AttemptUnrecorded = "attempt_unrecorded" CONFLICT,
    /// An earlier attempt runs now, or its end is not known.
    AttemptUndecided = "attempt_undecided" CONFLICT,
    /// An earlier attempt was answered, but the answer is no longer kept.
    AlreadyAnswered = "already_answered" CONFLICT,
    /// The attempt bears no number and the table, which would tell, is out.
    ClaimUnreadable = "claim_unreadable" SERVICE_UNAVAILABLE,
    /// The host stops.
    HostStopping = "host_stopping" SERVICE_UNAVAILABLE,
}

impl fmt::Display for RefusalCode {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl FromStr for RefusalCode {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        Self::ALL
            .iter()
            .find(|code| code.word() == word)
            .copied()
            .ok_or_else(|| format!("no such code: {word}"))
    }
}
