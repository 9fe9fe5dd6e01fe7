use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal $word:literal $level:ident,)*) => {
        /// A numbered event; `docs/EVENTS.md` says what each means and what to do.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// Every event there is.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// The event's number, which never changes its meaning.
            pub fn number(self) -> u16 {
                match self {
                    $(Event::$name => $number,)*
                }
            }

            /// The event's name in logs.
            pub fn word(self) -> &'static str {
                match self {
                    $(Event::$name => $word,)*
                }
            }

            /// The level that it is logged at.
            pub fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }
        }
    };
}

events! {
    HostStarted = 101 "host_started" Info,
    HostStopping = 102 "host_stopping" Info,
    HostStopped = 103 "host_stopped" Info,
    PeerAlive = 201 "peer_alive" Info,
    PeerSuspect = 202 "peer_suspect" Warn,
    PeerDead = 203 "peer_dead" Warn,
    PeerLeaving = 204 "peer_leaving" Info,
    SelfRefuted = 205 "self_refuted" Warn,
    HostListUnreadable = 206 "host_list_unreadable" Warn,
    SessionOpened = 301 "session_opened" Info,
    SessionLapsed = 302 "session_lapsed" Warn,
    TableUnreachable = 303 "table_unreachable" Warn,
    TableBack = 304 "table_back" Info,
    TargetTaken = 310 "target_taken" Info,
    TargetHandedOver = 311 "target_handed_over" Info,
    TargetLost = 312 "target_lost" Info,
    OrderFencedOff = 313 "order_fenced_off" Warn,
    ConfigApplied = 401 "config_applied" Info,
    ConfigUnreadable = 402 "config_unreadable" Warn,
    LoadOrdered = 501 "load_ordered" Info,
    LoadDone = 502 "load_done" Info,
    LoadFailed = 503 "load_failed" Warn,
    DropOrdered = 504 "drop_ordered" Info,
    DropDone = 505 "drop_done" Info,
    DropFailed = 506 "drop_failed" Warn,
    RequestAnswered = 601 "request_answered" Debug,
    RequestNotRun = 602 "request_not_run" Info,
    RequestUnknown = 603 "request_unknown" Warn,
    RequestResumed = 604 "request_resumed" Info,
    RequestResent = 605 "request_resent" Info,
    AnswerRefused = 606 "answer_refused" Warn,
    RequestSent = 607 "request_sent" Debug,
    TargetUnreachable = 701 "target_unreachable" Warn,
    TargetBack = 702 "target_back" Info,
    TargetRestarted = 703 "target_restarted" Warn,
}
