use {
    super::{Message, decode, encode},
    crate::{
        metrics::{StateLabels, metrics},
        note,
        timeline::Event,
    },
    std::{cell::RefCell, io, net::SocketAddr},
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
}

impl DatagramSocket {
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            buffer: RefCell::new(vec![0; MAX_DATAGRAM]),
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

    /// The next message that makes sense, and who sent it.
    pub async fn receive(&self) -> (SocketAddr, Message) {
        loop {
            // An error tells of an earlier datagram that found no receiver.
            let _ = self.socket.readable().await;
            let mut buffer = self.buffer.borrow_mut();
            let Ok((size, sender)) = self.socket.try_recv_from(&mut buffer) else {
                continue;
            };
            if let Some(message) = decode(&buffer[..size]) {
                return (sender, message);
            }
        }
    }
}
