//! The process of one host: its control thread, its traffic thread and its HTTP pages.

mod call_pool;
mod control_action;
mod control_engines;
mod control_event;
mod control_gauges;
mod control_holding;
mod control_notices;
mod control_peers;
mod control_places;
mod control_poison;
mod control_quotas;
mod control_runner;
mod control_tables;
mod control_targets;
mod host_control;
mod host_process;
mod listed_target;
mod peer_answer;
mod peer_pages;
mod poison_rows;
mod public_pages;
mod removed_targets;
mod replica_server;
mod send_rate_limiter;
mod table_reader;
mod table_transfer;
mod taker_selection;
mod traffic;
mod unclaimed_engines;
mod wake_monitor;

pub use {
    control_action::ControlAction,
    control_event::{ControlEvent, TableName},
    host_control::HostControl,
    host_process::run_host_process,
    send_rate_limiter::SendRateLimiter,
    table_transfer::{TableTransfer, TransferSource},
    wake_monitor::{BusyWindow, WakeMonitor, WakeStats},
};
