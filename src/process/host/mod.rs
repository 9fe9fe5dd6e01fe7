//! The process of one host: its control thread, its traffic thread and its HTTP pages.

mod control_action;
mod control_engines;
mod control_event;
mod control_gauges;
mod control_holding;
mod control_introductions;
mod control_notices;
mod control_origin_rows;
mod control_origins;
mod control_peers;
mod control_places;
mod control_poison;
mod control_quotas;
mod control_runner;
mod control_spread;
mod control_tables;
mod control_targets;
mod copy_reader;
mod copy_server;
mod copy_transfer;
mod host_control;
mod host_process;
mod kept_calls;
mod listed_target;
mod origin_rows;
mod peer_answer;
mod peer_pages;
mod poison_messages;
mod poison_rows;
mod public_pages;
mod removed_targets;
mod returned_targets;
mod send_allowance;
mod taker_selection;
mod traffic;
mod unclaimed_engines;
mod version_introductions;
mod wake_watch;

pub use {
    control_action::ControlAction,
    control_event::{ControlEvent, TableName},
    copy_transfer::{CopySource, CopyTransfer},
    host_control::HostControl,
    host_process::run_host_process,
    send_allowance::SendAllowance,
    wake_watch::{BusyPeriod, WakeCount, WakeWatch},
};
