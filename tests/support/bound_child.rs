//! Processes that end with the test that started them.

use {
    nix::sys::{prctl::set_pdeathsig, signal::Signal},
    std::{
        io,
        os::unix::process::CommandExt,
        process::{Child, Command},
    },
};

/// Starts a process that the system kills when this one ends in whatever way.
///
/// A host that outlives a killed test goes on at addresses which the system gives to the next test, and joins its site.
pub fn spawn_bound(command: &mut Command) -> io::Result<Child> {
    let bind = || set_pdeathsig(Signal::SIGKILL).map_err(io::Error::from);
    // SAFETY: the closure makes one system call and allocates nothing.
    unsafe { command.pre_exec(bind) };
    command.spawn()
}
