//! Whether rouille could serve callers: when streamed events reach them, and how many at once.
//!
//! `cargo bench --bench rouille_front`

use {
    coveproxy::clock::Instant,
    rouille::{Response, ResponseBody, Server},
    std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

const EVENTS: usize = 6;

const BETWEEN: Duration = Duration::from_millis(300);

const PATIENCE: Duration = Duration::from_secs(9);

/// A body that gives an event each 0.3 s.
struct Slow(usize);

impl Read for Slow {
    fn read(
        &mut self,
        buffer: &mut [u8],
    ) -> io::Result<usize> {
        if self.0 == EVENTS {
            return Ok(0);
        }
        thread::sleep(BETWEEN);
        self.0 += 1;
        let event = format!("data: {}\n\n", self.0);
        buffer[..event.len()].copy_from_slice(event.as_bytes());
        Ok(event.len())
    }
}

fn main() {
    let server = Server::new("127.0.0.1:0", |_| {
        let body = ResponseBody::from_reader(Slow(0));
        Response {
            data: body,
            ..Response::text("")
        }
    })
    .unwrap();
    let address = server.server_addr();
    thread::spawn(move || server.run());
    let first = first_byte(address).unwrap_or(PATIENCE);
    println!(
        "events written every {} ms; the first reached the caller after {} ms of {} ms",
        BETWEEN.as_millis(),
        first.as_millis(),
        (BETWEEN * EVENTS as u32).as_millis()
    );
    for count in [8, 200] {
        let served = Arc::new(AtomicUsize::new(0));
        let callers: Vec<_> = (0..count)
            .map(|_| {
                let served = served.clone();
                thread::spawn(move || {
                    if first_byte(address).is_some() {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                })
            })
            .collect();
        for caller in callers {
            let _ = caller.join();
        }
        println!(
            "{count} connections opened together: {} had no event after {} s",
            count - served.load(Ordering::Relaxed),
            PATIENCE.as_secs()
        );
    }
    // rouille's threads do not end while connections are open.
    std::process::exit(0);
}

/// Time until the first event; none when it does not come in time.
fn first_byte(address: SocketAddr) -> Option<Duration> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .ok()?;
    let mut seen = Vec::new();
    let mut piece = [0; 512];
    while !seen.windows(5).any(|window| window == b"data:") {
        let left = PATIENCE.checked_sub(began.elapsed())?;
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut piece).ok()? {
            0 => return None,
            read => seen.extend_from_slice(&piece[..read]),
        }
    }
    Some(began.elapsed())
}
