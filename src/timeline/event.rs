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

            /// The event with this name in logs.
            pub fn named(word: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|event| event.word() == word)
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
    SettingsRead = 104 "settings_read" Info,
    SettingsWrong = 105 "settings_wrong" Warn,
    ControlBusy = 106 "control_busy" Warn,
    MemoryPressure = 107 "memory_pressure" Warn,
    PeerAlive = 201 "peer_alive" Info,
    PeerSuspect = 202 "peer_suspect" Warn,
    PeerDead = 203 "peer_dead" Warn,
    PeerLeaving = 204 "peer_leaving" Info,
    SelfRefuted = 205 "self_refuted" Warn,
    HostListUnreadable = 206 "host_list_unreadable" Warn,
    MessageNotSent = 207 "message_not_sent" Warn,
    HostListingChanged = 208 "host_listing_changed" Warn,
    SessionOpened = 301 "session_opened" Info,
    SessionLapsed = 302 "session_lapsed" Warn,
    TableUnreachable = 303 "table_unreachable" Warn,
    TableBack = 304 "table_back" Info,
    SessionRenewed = 305 "session_renewed" Debug,
    SessionNotRenewed = 306 "session_not_renewed" Warn,
    CopyTaken = 307 "copy_taken" Info,
    CopyNotTaken = 308 "copy_not_taken" Warn,
    BeliefsAged = 309 "beliefs_aged" Info,
    TargetTaken = 310 "target_taken" Info,
    TargetHandedOver = 311 "target_handed_over" Info,
    TargetLost = 312 "target_lost" Info,
    OrderFencedOff = 313 "order_fenced_off" Warn,
    QuotaCounted = 314 "quota_counted" Info,
    LeasesChecked = 315 "leases_checked" Info,
    TableHistoryGone = 316 "table_history_gone" Warn,
    TableReadOutdated = 317 "table_read_outdated" Warn,
    StoreRestored = 318 "store_restored" Warn,
    RowUnreadable = 319 "row_unreadable" Warn,
    OriginsRead = 320 "origins_read" Info,
    OriginsStored = 321 "origins_stored" Info,
    OriginStoreFailed = 322 "origin_store_failed" Warn,
    VersionWithheld = 323 "version_withheld" Info,
    ConfigApplied = 401 "config_applied" Info,
    ConfigUnreadable = 402 "config_unreadable" Warn,
    AdapterVersionSeen = 403 "adapter_version_seen" Info,
    ConfigRestored = 404 "config_restored" Warn,
    LoadOrdered = 501 "load_ordered" Info,
    LoadDone = 502 "load_done" Info,
    LoadFailed = 503 "load_failed" Warn,
    DropOrdered = 504 "drop_ordered" Info,
    DropDone = 505 "drop_done" Info,
    DropFailed = 506 "drop_failed" Warn,
    OrderUnanswered = 507 "order_unanswered" Warn,
    OrderRefused = 508 "order_refused" Warn,
    EngineReported = 509 "engine_reported" Debug,
    AdapterWanted = 510 "adapter_wanted" Info,
    AdapterNoRoom = 511 "adapter_no_room" Info,
    RequestAnswered = 601 "request_answered" Debug,
    RequestNotRun = 602 "request_not_run" Info,
    RequestUnknown = 603 "request_unknown" Warn,
    RequestResumed = 604 "request_resumed" Info,
    RequestResent = 605 "request_resent" Info,
    AnswerRefused = 606 "answer_refused" Warn,
    RequestSent = 607 "request_sent" Debug,
    RequestServed = 608 "request_served" Info,
    RequestChosen = 609 "request_chosen" Info,
    RequestAsks = 610 "request_asks" Info,
    RequestWaits = 611 "request_waits" Info,
    RequestTurnedAway = 612 "request_turned_away" Info,
    RequestFailedThere = 613 "request_failed_there" Info,
    RequestLost = 614 "request_lost" Info,
    RequestNotReached = 615 "request_not_reached" Info,
    RequestFirstEvent = 616 "request_first_event" Info,
    RequestCut = 617 "request_cut" Warn,
    RequestCallerGone = 618 "request_caller_gone" Info,
    RequestHeld = 619 "request_held" Info,
    RequestUnplaced = 620 "request_unplaced" Info,
    RepeatsCounted = 621 "repeats_counted" Info,
    RequestAccused = 622 "request_accused" Warn,
    PoisonStanding = 623 "poison_standing" Warn,
    RequestRefused = 624 "request_refused" Info,
    AccusationDropped = 625 "accusation_dropped" Info,
    PoisonStoreFailed = 626 "poison_store_failed" Warn,
    RequestRejected = 627 "request_rejected" Info,
    RequestOverLimit = 628 "request_over_limit" Info,
    RequestNoPermit = 629 "request_no_permit" Info,
    RequestDeferred = 635 "request_deferred" Info,
    RequestForwarded = 636 "request_forwarded" Info,
    ForwardCut = 637 "forward_cut" Info,
    RequestTakenUp = 638 "request_taken_up" Info,
    RequestNoMemory = 640 "request_no_memory" Info,
    CallerCut = 641 "caller_cut" Warn,
    CallerNoMemory = 642 "caller_no_memory" Info,
    StreamSilent = 643 "stream_silent" Info,
    RequestHedged = 644 "request_hedged" Info,
    RequestCancelled = 645 "request_cancelled" Info,
    TargetUnreachable = 701 "target_unreachable" Warn,
    TargetBack = 702 "target_back" Info,
    TargetRestarted = 703 "target_restarted" Warn,
    TargetListed = 704 "target_listed" Info,
    TargetLeaving = 705 "target_leaving" Info,
    TargetVanished = 706 "target_vanished" Warn,
    TargetForgotten = 707 "target_forgotten" Info,
    TargetEntryUnusable = 708 "target_entry_unusable" Warn,
    TargetEntryLate = 709 "target_entry_late" Info,
    TargetLimited = 710 "target_limited" Info,
    TargetUnlimited = 711 "target_unlimited" Info,
    TargetSaidLeaving = 712 "target_said_leaving" Info,
    TargetRests = 713 "target_rests" Info,
    TargetNoticeUnreadable = 714 "target_notice_unreadable" Warn,
    TargetNoticeTold = 715 "target_notice_told" Info,
    EngineSpeeds = 716 "engine_speeds" Info,
    ServiceUnreached = 717 "service_unreached" Warn,
    ServiceReached = 718 "service_reached" Info,
    TargetBrittle = 719 "target_brittle" Info,
    TargetNoLongerBrittle = 720 "target_no_longer_brittle" Info,
    TargetRejections = 721 "target_rejections" Info,
    TargetUnresponsive = 722 "target_unresponsive" Warn,
    TargetResponsive = 723 "target_responsive" Info,
    LinesDropped = 801 "lines_dropped" Warn,
    LinesHeldBack = 802 "lines_held_back" Warn,
}
