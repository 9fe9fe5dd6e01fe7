use {
    libc::{c_int, c_void, socklen_t},
    std::{fs::OpenOptions, io::Write},
};

/// Names the file that the options which a process sets are written to, a line each.
pub const OPTIONS_VARIABLE: &str = "SOCKET_OPTIONS_FILE";

/// An option that decides when the system gives a connection up, or one that shows that options are seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketOption {
    NoDelay,
    KeepAlive,
    KeepAliveProbes,
    UserTimeout,
}

impl SocketOption {
    const ALL: [Self; 4] = [
        Self::NoDelay,
        Self::KeepAlive,
        Self::KeepAliveProbes,
        Self::UserTimeout,
    ];

    /// Reads the options that a process has set from the file that it was given.
    pub fn parse(text: &str) -> Vec<Self> {
        let option = |line| Self::ALL.into_iter().find(|option| option.word() == line);
        text.lines().filter_map(option).collect()
    }

    fn of(
        level: c_int,
        name: c_int,
    ) -> Option<Self> {
        match (level, name) {
            (libc::SOL_SOCKET, libc::SO_KEEPALIVE) => Some(Self::KeepAlive),
            (libc::IPPROTO_TCP, libc::TCP_NODELAY) => Some(Self::NoDelay),
            (libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT) => Some(Self::UserTimeout),
            (libc::IPPROTO_TCP, libc::TCP_KEEPIDLE | libc::TCP_KEEPINTVL | libc::TCP_KEEPCNT) => {
                Some(Self::KeepAliveProbes)
            }
            _ => None,
        }
    }

    fn word(self) -> &'static str {
        match self {
            Self::NoDelay => "no_delay",
            Self::KeepAlive => "keep_alive",
            Self::KeepAliveProbes => "keep_alive_probes",
            Self::UserTimeout => "user_timeout",
        }
    }
}

/// Sets an option of a socket, as the C library does.
///
/// # Safety
///
/// `value` points to `length` readable bytes, as for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    socket: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    if let Some(option) = SocketOption::of(level, name) {
        write_down(option);
    }
    // SAFETY: the caller's pointer goes on to the kernel, which checks it.
    unsafe { libc::syscall(libc::SYS_setsockopt, socket, level, name, value, length) as c_int }
}

/// Appends an option to the file that the process is given; a failure shows as a missing option.
fn write_down(option: SocketOption) {
    let Some(path) = std::env::var_os(OPTIONS_VARIABLE) else {
        return;
    };
    let line = format!("{}\n", option.word());
    if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(path) {
        let _ = file.write_all(line.as_bytes());
    }
}
