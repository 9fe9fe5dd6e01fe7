//! The traffic thread's view of targets: connections, requests in flight, failures and adapter placement.

mod adapter_demand;
mod adapter_map;
mod answer_starts;
mod brittle_services;
mod cached_prompts;
mod control_request;
mod crash_tracker;
mod decaying_count;
mod fleet_view;
mod key_status;
mod notice_tracker;
mod origin_replies;
mod pending_replies;
mod prefill_throughput;
mod quota_table;
mod repeat_budgets;
mod replica_freshness;
mod sent_prompts;
mod service_reach;
mod staleness_monitor;
mod survival_memory;
mod table_adapters;
mod table_counting;
mod table_notices;
mod table_pace;
mod table_poison;
mod table_prompts;
mod table_reach;
mod table_silence;
mod table_software;
mod table_staleness;
mod table_unplaced;
mod target_check;
mod target_health;
mod target_link;
mod target_table;
mod unplaced_requests;
mod version_deadline;
mod version_history;

pub use {
    adapter_demand::AdapterDemand,
    adapter_map::{AdapterCopy, AdapterMap},
    answer_starts::{ANSWER_START_WINDOW, AnswerStart, AnswerStarts, SURVIVAL_TIME},
    brittle_services::BrittleServices,
    cached_prompts::CachedPrompts,
    control_request::{AdapterRequest, ControlRequest},
    crash_tracker::{CrashTracker, SuspectRequest, TargetIncarnation},
    decaying_count::DecayingCount,
    fleet_view::{FleetView, TargetView},
    key_status::KeyStatus,
    notice_tracker::{NoticeTracker, Unavailability},
    origin_replies::{OriginReplies, OriginReply, PendingOrigin},
    pending_replies::{PendingReplies, PendingReply},
    prefill_throughput::PrefillThroughput,
    quota_table::{QuotaTable, count_charge_request},
    repeat_budgets::RepeatBudgets,
    replica_freshness::{ReplicaFreshness, SEND_MARGIN, TableFreshness},
    sent_prompts::{MAX_REPORTED_PROMPTS, SentPrompts},
    service_reach::ServiceReach,
    staleness_monitor::{MaxStaleness, StalenessBounds, StalenessMonitor},
    survival_memory::SurvivalMemory,
    table_adapters::ServiceEngines,
    table_reach::ReachProbe,
    table_silence::{SilenceVerdict, TargetSilence},
    target_check::TargetCheck,
    target_health::TargetHealth,
    target_link::{IdleConnection, RequestTokens, TargetLink},
    target_table::{MAX_BROADCAST_HOSTS, ServiceTarget, TargetTable, TargetTableSettings},
    unplaced_requests::UnplacedRequests,
    version_deadline::{RemainingTime, VersionDeadline},
    version_history::{VersionHistory, VersionStatus},
};
