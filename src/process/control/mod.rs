//! The control thread: one owner of all control state, fed by typed events.

mod action;
mod control;
mod control_handle;
mod control_ownership;
mod control_targets;
mod control_thread;
mod control_view;
mod input;
mod view;

pub use {
    action::Action,
    control::Control,
    control_handle::{ControlEvent, ControlHandle, LoadGrant},
    control_thread::ControlThread,
    input::Input,
    view::{HostView, OwnerView, SharedView, View},
};
