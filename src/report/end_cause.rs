use {
    super::{LogLine, ServedLine},
    crate::timeline::Event,
    std::fmt::{self, Display, Formatter},
};

/// Why a request ended as it did.
#[derive(Debug, Clone, PartialEq)]
pub enum EndCause {
    InTime,
    /// Each engine that was asked for the adapter had no place for it.
    NoPlace {
        asked: usize,
    },
    /// Holders of engines were asked for the adapter, and none has confirmed a load in time.
    NoConfirmation {
        asked: usize,
    },
    /// No holder of any engine was known.
    NoHolder,
    /// All targets had announced that they take no requests.
    AllClosed,
    /// No engine was there to be asked.
    NoEngine,
    /// No engine could be expected to answer before the deadline.
    AfterDeadline,
    /// The adapter would have come too late.
    AdapterTooLate {
        expected_ms: f64,
    },
    /// Targets turned it away, the last one with this status.
    TurnedAway {
        target: String,
        status: String,
    },
    /// In time but for the wait for an adapter.
    WaitedForAdapter {
        waited_ms: f64,
    },
    /// It was sent early enough, and the engine answered late.
    SlowAtEngine {
        target: String,
        after_send_ms: f64,
        unread_tokens: f64,
        running: f64,
    },
    /// The first event came in time, and then this engine paused for too long between two events.
    PausedAtEngine {
        target: String,
        pause_ms: f64,
        allowed_ms: f64,
    },
    /// A pause was too long while the stream was resumed at another target.
    PausedWhileResumed {
        pause_ms: f64,
        allowed_ms: f64,
    },
    /// The engine was in time, and this host held events back: its caller, the link or the host itself was too slow.
    HeldHere {
        held_ms: f64,
    },
    /// It was sent again after sends that brought no answer.
    SentAgain {
        sends: usize,
    },
    /// The answer broke off.
    Cut {
        cause: String,
        target: String,
        after_ms: f64,
    },
    CallerGone {
        after_ms: f64,
    },
    /// The target's own failure was passed on.
    FailedThere {
        target: String,
        status: String,
    },
    /// This host gave it up, for the reason that its line names.
    GivenUp {
        cause: String,
    },
    /// No line tells how it ended.
    Unknown,
}

impl EndCause {
    /// The cause in a word, for counts.
    pub fn word(&self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::NoPlace { .. } => "no_place",
            Self::NoConfirmation { .. } => "no_confirmation",
            Self::NoHolder => "no_holder",
            Self::AllClosed => "all_closed",
            Self::NoEngine => "no_engine",
            Self::AfterDeadline => "after_deadline",
            Self::AdapterTooLate { .. } => "adapter_too_late",
            Self::TurnedAway { .. } => "turned_away",
            Self::WaitedForAdapter { .. } => "waited_for_adapter",
            Self::SlowAtEngine { .. } => "slow_at_engine",
            Self::PausedAtEngine { .. } => "paused_at_engine",
            Self::PausedWhileResumed { .. } => "paused_while_resumed",
            Self::HeldHere { .. } => "held_here",
            Self::SentAgain { .. } => "sent_again",
            Self::Cut { .. } => "cut",
            Self::CallerGone { .. } => "caller_gone",
            Self::FailedThere { .. } => "failed_there",
            Self::GivenUp { .. } => "given_up",
            Self::Unknown => "unknown",
        }
    }

    /// Finds the cause in a request's own lines, in the order in which things happened.
    pub fn of(lines: &[&LogLine]) -> Self {
        let last = |event| lines.iter().rfind(|line| line.event == event);
        if let Some(cut) = last(Event::RequestCut) {
            return Self::Cut {
                cause: cut.text("cause").to_string(),
                target: cut.text("target").to_string(),
                after_ms: cut.number("after_ms").unwrap_or(0.0),
            };
        }
        if let Some(gone) = last(Event::RequestCallerGone) {
            return Self::CallerGone {
                after_ms: gone.number("after_ms").unwrap_or(0.0),
            };
        }
        let Some(line) = last(Event::RequestServed) else {
            return Self::Unknown;
        };
        match ServedLine::of(line) {
            Some(served) if served.is_success() => late_cause(lines, &served),
            _ => failure_cause(lines, line),
        }
    }
}

/// Returns the cause of a late answer. A late first event takes precedence over a late pause, as its cause usually
/// makes the stream pause, too.
fn late_cause(
    lines: &[&LogLine],
    served: &ServedLine,
) -> EndCause {
    if served.is_first_event_late() {
        return first_event_cause(lines, served);
    }
    match served.is_pause_late() {
        true => pause_cause(lines, served),
        false => EndCause::InTime,
    }
}

fn pause_cause(
    lines: &[&LogLine],
    served: &ServedLine,
) -> EndCause {
    if !served.is_pause_of_engine() {
        return EndCause::HeldHere {
            held_ms: served.held_ms(),
        };
    }
    let (pause_ms, allowed_ms) = (served.pause_ms(), served.allowed_pause_ms());
    let is_resumed = |line: &&LogLine| line.event == Event::RequestResumed;
    match lines.iter().any(is_resumed) {
        true => EndCause::PausedWhileResumed {
            pause_ms,
            allowed_ms,
        },
        false => EndCause::PausedAtEngine {
            target: served.text_or_dash("target").to_string(),
            pause_ms,
            allowed_ms,
        },
    }
}

fn first_event_cause(
    lines: &[&LogLine],
    served: &ServedLine,
) -> EndCause {
    // Steps are written at the end; sends after the first event are those of a resumed stream.
    let to_end_ms = served.total_ms() - served.first_ms();
    let ago_ms = |line: &LogLine| line.number("ago_ms").unwrap_or(0.0);
    let sends: Vec<&&LogLine> = lines
        .iter()
        .filter(|line| line.event == Event::RequestChosen && ago_ms(line) >= to_end_ms)
        .collect();
    let Some(send) = sends.last() else {
        return EndCause::Unknown;
    };
    if sends.len() > 1 {
        return EndCause::SentAgain { sends: sends.len() };
    }
    let after_send_ms = ago_ms(send) - to_end_ms;
    let waited_ms = served.first_ms() - after_send_ms;
    if waited_ms > after_send_ms {
        return EndCause::WaitedForAdapter { waited_ms };
    }
    EndCause::SlowAtEngine {
        target: send.text("target").to_string(),
        after_send_ms,
        unread_tokens: send.number("unread_tokens").unwrap_or(0.0),
        running: send.number("running").unwrap_or(0.0),
    }
}

fn failure_cause(
    lines: &[&LogLine],
    served: &LogLine,
) -> EndCause {
    if let Some(deferred) = deferred_cause(lines) {
        return deferred;
    }
    let cause = served.text("cause");
    match cause {
        "no_adapter" => no_adapter_cause(lines),
        "turned_away" => {
            let turned = lines
                .iter()
                .rfind(|line| line.event == Event::RequestTurnedAway);
            EndCause::TurnedAway {
                target: turned.map_or("-", |line| line.text("target")).to_string(),
                status: turned.map_or("-", |line| line.text("status")).to_string(),
            }
        }
        "no_target" => EndCause::NoEngine,
        "-" => EndCause::FailedThere {
            target: served.text("target").to_string(),
            status: served.text("status").to_string(),
        },
        cause => EndCause::GivenUp {
            cause: cause.to_string(),
        },
    }
}

/// Returns the cause that the line of a rejection names; `None` if there is no such line, or if others are more
/// specific.
fn deferred_cause(lines: &[&LogLine]) -> Option<EndCause> {
    let last = |event| lines.iter().rfind(|line| line.event == event);
    let deferred = last(Event::RequestDeferred)?;
    let awaited = last(Event::RequestWaits).map_or("", |line| line.text("awaited"));
    match (deferred.text("reason"), awaited) {
        ("no_holder", _) => Some(EndCause::NoHolder),
        ("closed", _) => Some(EndCause::AllClosed),
        ("after_deadline", _) => Some(EndCause::AfterDeadline),
        ("no_room", "holder_reply") => Some(EndCause::NoConfirmation {
            asked: asked_holders(lines),
        }),
        ("no_room", "room") => Some(EndCause::NoPlace {
            asked: asked_holders(lines),
        }),
        _ => None,
    }
}

fn asked_holders(lines: &[&LogLine]) -> usize {
    let asks = lines.iter().filter(|line| line.event == Event::RequestAsks);
    asks.count()
}

fn no_adapter_cause(lines: &[&LogLine]) -> EndCause {
    let mut waits = lines
        .iter()
        .filter(|line| line.event == Event::RequestWaits);
    let last_wait = waits.next_back();
    // Only the time of a load that a holder has confirmed; older lines do not say what the request waited for.
    let is_load = |line: &&&LogLine| matches!(line.text("awaited"), "load" | "");
    let load = last_wait.filter(is_load);
    let expected = load.and_then(|line| line.number("expected_ms"));
    if let Some(expected_ms) = expected.filter(|expected| *expected > 0.0) {
        return EndCause::AdapterTooLate { expected_ms };
    }
    match (asked_holders(lines), last_wait) {
        (0, None) => EndCause::NoEngine,
        (0, Some(wait)) if wait.text("awaited") == "any_engine" => EndCause::NoEngine,
        (asked, _) => EndCause::NoPlace { asked },
    }
}

impl Display for EndCause {
    fn fmt(
        &self,
        to: &mut Formatter<'_>,
    ) -> fmt::Result {
        match self {
            Self::InTime => write!(to, "answered in time"),
            Self::NoPlace { asked } => write!(
                to,
                "refused: no engine had a place for the adapter ({asked} holders asked; those \
                 that had said so a moment before were not asked again)"
            ),
            Self::NoConfirmation { asked } => write!(
                to,
                "refused: no holder confirmed a load of the adapter in time ({asked} asked)"
            ),
            Self::NoHolder => write!(to, "refused: no holder of an engine was known"),
            Self::AllClosed => write!(
                to,
                "refused: all targets had announced that they take no requests"
            ),
            Self::NoEngine => write!(to, "refused: no target could be used"),
            Self::AfterDeadline => write!(
                to,
                "refused: no engine was expected to answer before the deadline"
            ),
            Self::AdapterTooLate { expected_ms } => write!(
                to,
                "refused: the adapter would have come after {expected_ms:.0} ms, past the aim"
            ),
            Self::TurnedAway { target, status } => {
                write!(to, "refused: {target} turned it away with {status}")
            }
            Self::WaitedForAdapter { waited_ms } => write!(
                to,
                "late: {waited_ms:.0} ms passed before an engine had the adapter"
            ),
            Self::SlowAtEngine {
                target,
                after_send_ms,
                unread_tokens,
                running,
            } => write!(
                to,
                "late: {target} took {after_send_ms:.0} ms to its first event, with {unread_tokens:.0} \
                 tokens of prompts unread before it and {running:.0} requests running"
            ),
            Self::PausedAtEngine {
                target,
                pause_ms,
                allowed_ms,
            } => write!(
                to,
                "late: {target} paused for {pause_ms:.0} ms between two events, of {allowed_ms:.0} ms allowed"
            ),
            Self::PausedWhileResumed {
                pause_ms,
                allowed_ms,
            } => write!(
                to,
                "late: a pause of {pause_ms:.0} ms, of {allowed_ms:.0} ms allowed; the stream was resumed at \
                 another target"
            ),
            Self::HeldHere { held_ms } => write!(
                to,
                "late: this host held events back for {held_ms:.0} ms in all, as the caller or its link took \
                 them too slowly; the engine's pauses were in time"
            ),
            Self::SentAgain { sends } => {
                write!(
                    to,
                    "late: {sends} sends, all but the last without an answer"
                )
            }
            Self::Cut {
                cause,
                target,
                after_ms,
            } => write!(to, "cut after {after_ms:.0} ms at {target}: {cause}"),
            Self::CallerGone { after_ms } => write!(to, "the caller left after {after_ms:.0} ms"),
            Self::FailedThere { target, status } => {
                write!(to, "{target} itself answered {status}")
            }
            Self::GivenUp { cause } => write!(to, "given up here: {cause}"),
            Self::Unknown => write!(to, "no line tells how it ended"),
        }
    }
}
