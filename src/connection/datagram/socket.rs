use {
    super::{Message, decode, encode},
    crate::{
        clock::Instant,
        metrics::{StateLabels, metrics},
        note,
        timeline::Event,
    },
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
    },
    tokio::net::UdpSocket,
};

/// Largest datagram that is sent or received, in bytes: a host that holds all 820 engines of a large site
/// names them in 12 KB, and tells of four others besides.
const MAX_DATAGRAM: usize = 32 * 1024;

/// Sends and receives messages between hosts.
pub struct DatagramSocket {
    socket: UdpSocket,
    /// What was received last.
    buffer: RefCell<Vec<u8>>,
    /// When nothing was left to be received, the last time.
    drained_at: Cell<Instant>,
}

impl DatagramSocket {
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            buffer: RefCell::new(vec![0; MAX_DATAGRAM]),
            drained_at: Cell::new(Instant::now()),
        })
    }

    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message; one that can't leave at once is lost, as any datagram may be.
    pub fn send(
        &self,
        to: SocketAddr,
        message: Message,
    ) {
        let kind = message.kind();
        let bytes = encode(message);
        let outcome = match bytes.len() <= MAX_DATAGRAM {
            true => self.socket.try_send_to(&bytes, to),
            false => Err(io::ErrorKind::FileTooLarge.into()),
        };
        let state = match outcome {
            Ok(_) => "sent",
            Err(_) => "not_sent",
        };
        let labels = StateLabels { state };
        metrics().datagrams.get_or_create(&labels).inc();
        if let Err(problem) = outcome {
            note!(
                Event::MessageNotSent,
                to = to,
                kind = kind,
                bytes = bytes.len(),
                problem = format!("{:?}", problem.to_string()),
            );
        }
    }

    /// Nothing was left to be received at this time.
    pub fn note_drained(
        &self,
        at: Instant,
    ) {
        self.drained_at.set(self.drained_at.get().max(at));
    }

    /// A message that is received now has arrived after this time: it may have lain here while the
    /// process stood still or was busy.
    pub fn drained_at(&self) -> Instant {
        self.drained_at.get()
    }

    /// The next message that makes sense, and who sent it.
    pub async fn receive(&self) -> (SocketAddr, Message) {
        loop {
            // An error tells of an earlier datagram that found no receiver.
            let _ = self.socket.readable().await;
            let mut buffer = self.buffer.borrow_mut();
            let looked = Instant::now();
            let (size, sender) = match self.socket.try_recv_from(&mut buffer) {
                Ok(received) => received,
                Err(problem) => {
                    if problem.kind() == io::ErrorKind::WouldBlock {
                        self.note_drained(looked);
                    }
                    continue;
                }
            };
            if let Some(message) = decode(&buffer[..size]) {
                return (sender, message);
            }
        }
    }
}
