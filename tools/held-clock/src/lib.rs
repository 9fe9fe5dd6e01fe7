//! Stands before the C library's `clock_gettime` in a host's process, to make a test's stop by signal a suspension of its machine.
//!
//! A process that is stopped by a signal has a steady clock that goes on. On a machine that is suspended it stands still, while the
//! boot clock and the time of day go on. Tests write the time that a host was stopped for into a file, and
//! this library takes it off the steady clock.

use {
    libc::{c_int, clockid_t, timespec},
    std::{
        fs::File,
        os::unix::fs::FileExt,
        sync::{
            OnceLock,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Names the file that holds the time to take off, in nanoseconds, as eight bytes, the lowest first.
pub const FILE_VARIABLE: &str = "HELD_CLOCK_FILE";

const NANOS: i64 = 1_000_000_000;

static FILE: OnceLock<Option<File>> = OnceLock::new();

/// Opening the file must not ask for the time again.
static OPENING: AtomicBool = AtomicBool::new(false);

/// Tells the time of a clock, as the C library does.
///
/// # Safety
///
/// `time` points to a `timespec` that may be written, as for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(
    clock: clockid_t,
    time: *mut timespec,
) -> c_int {
    // SAFETY: the caller's pointer goes on to the kernel, which checks it.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    if result == 0 && clock == libc::CLOCK_MONOTONIC {
        // SAFETY: the kernel has just written there.
        unsafe { take_off(&mut *time, held()) };
    }
    result
}

/// Nanoseconds for which the machine was suspended.
fn held() -> i64 {
    if FILE.get().is_none() && OPENING.swap(true, Ordering::SeqCst) {
        return 0;
    }
    let file = FILE.get_or_init(|| {
        let path = std::env::var_os(FILE_VARIABLE)?;
        File::open(path).ok()
    });
    let mut bytes = [0; 8];
    match file {
        Some(file) if file.read_exact_at(&mut bytes, 0).is_ok() => i64::from_le_bytes(bytes),
        _ => 0,
    }
}

fn take_off(
    time: &mut timespec,
    held: i64,
) {
    let nanos = time.tv_sec * NANOS + time.tv_nsec - held;
    time.tv_sec = nanos / NANOS;
    time.tv_nsec = nanos % NANOS;
}
