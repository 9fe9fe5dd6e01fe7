//! One running host: its threads, its links and the actions it carries out.

mod action_runner;
mod active_work;
mod admin_pages;
mod config_follower;
mod job_pool;
mod metrics;
mod node;
mod platform_poller;
mod report_loop;
mod session_keeper;

pub use {
    action_runner::ActionRunner,
    active_work::{ActiveWork, WorkGuard},
    admin_pages::AdminPages,
    config_follower::ConfigFollower,
    job_pool::JobPool,
    metrics::{ALL_METRICS, Metrics},
    node::Node,
    platform_poller::PlatformPoller,
    report_loop::report_loop,
    session_keeper::SessionKeeper,
};
