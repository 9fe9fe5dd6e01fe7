use {
    libc::{c_int, in_addr, sa_family_t, sockaddr, sockaddr_in, socklen_t},
    std::{net::Ipv4Addr, sync::OnceLock},
};

/// Names the address that connections come from.
pub const ADDRESS_VARIABLE: &str = "OWN_ADDRESS";

static ADDRESS: OnceLock<Option<Ipv4Addr>> = OnceLock::new();

/// Connects a socket, as the C library does.
///
/// # Safety
///
/// `address` points to `length` readable bytes, as for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    // SAFETY: the caller's pointer is readable, and every address begins with its family.
    let is_v4 = !address.is_null()
        && length as usize >= size_of::<sockaddr_in>()
        && c_int::from(unsafe { (*address).sa_family }) == libc::AF_INET;
    if is_v4 {
        bind_own(socket);
    }
    // SAFETY: the caller's pointer goes on to the kernel, which checks it.
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

/// Binds a socket to the process's own address; one that is bound already stays so.
fn bind_own(socket: c_int) {
    let own = ADDRESS.get_or_init(|| std::env::var(ADDRESS_VARIABLE).ok()?.parse().ok());
    let Some(own) = own else {
        return;
    };
    let address = sockaddr_in {
        sin_family: libc::AF_INET as sa_family_t,
        sin_port: 0,
        sin_addr: in_addr {
            s_addr: u32::from_ne_bytes(own.octets()),
        },
        sin_zero: [0; 8],
    };
    // SAFETY: the pointer is to a local value of the length given.
    unsafe {
        libc::bind(
            socket,
            (&raw const address).cast::<sockaddr>(),
            size_of::<sockaddr_in>() as socklen_t,
        );
    }
}
