use {
    http::StatusCode,
    std::{fmt, str::FromStr},
};

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident = $word:literal $status:ident,)*) => {
        /// Why a request got no complete answer. The codes are a stable interface, see `docs/CALLER_CONNECTIONS.md`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum RefusalCode {
            $($(#[$doc])* $name,)*
        }

        impl RefusalCode {
            /// All codes.
            pub const ALL: &'static [RefusalCode] = &[$(RefusalCode::$name,)*];

            /// Returns the code as sent to callers.
            pub fn word(self) -> &'static str {
                match self {
                    $(RefusalCode::$name => $word,)*
                }
            }

            /// Returns the HTTP status of the answer.
            pub fn status(self) -> StatusCode {
                match self {
                    $(RefusalCode::$name => StatusCode::$status,)*
                }
            }
        }
    };
}

refusal_codes! {
    /// The host does not own the target any more.
    NotOwner = "not_owner" SERVICE_UNAVAILABLE,
    /// No host currently owns the target.
    NoOwner = "no_owner" SERVICE_UNAVAILABLE,
    /// The owner of the target could not be reached.
    OwnerUnreachable = "owner_unreachable" SERVICE_UNAVAILABLE,
    /// No target can serve the request.
    NoTarget = "no_target" SERVICE_UNAVAILABLE,
    TargetLeaving = "target_leaving" SERVICE_UNAVAILABLE,
    TargetUnreachable = "target_unreachable" SERVICE_UNAVAILABLE,
    AdapterNotLoaded = "adapter_not_loaded" SERVICE_UNAVAILABLE,
    LoadFailed = "load_failed" SERVICE_UNAVAILABLE,
    /// The queue is full; the request of the lowest value is rejected.
    Overloaded = "overloaded" TOO_MANY_REQUESTS,
    /// The deadline passed while the request was queued.
    DeadlineInQueue = "deadline_in_queue" GATEWAY_TIMEOUT,
    /// The deadline passed before the request was queued, or while it ran.
    DeadlinePassed = "deadline_passed" GATEWAY_TIMEOUT,
    /// The answer of the target was lost or came too late.
    AnswerLost = "answer_lost" BAD_GATEWAY,
    /// The answer of the target belongs to another request or adapter.
    AnswerForeign = "answer_foreign" BAD_GATEWAY,
    /// The answer of the target was truncated.
    CutShort = "cut_short" BAD_GATEWAY,
    /// A later attempt of a request whose first attempt is not recorded.
    AttemptUnrecorded = "attempt_unrecorded" CONFLICT,
    /// An earlier attempt is still running, or its outcome is unknown.
    AttemptUndecided = "attempt_undecided" CONFLICT,
    /// An earlier attempt was answered, but the answer is not cached.
    AlreadyAnswered = "already_answered" CONFLICT,
    /// The attempt has no number, and the table with earlier attempts is unreachable.
    ClaimUnreadable = "claim_unreadable" SERVICE_UNAVAILABLE,
    /// The host is shutting down.
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
            .ok_or_else(|| format!("unknown refusal code: {word}"))
    }
}
