use {
    super::{Message, decode, encode},
    std::{io, net::SocketAddr},
    tokio::net::UdpSocket,
};

/// Largest datagram that is sent or received, in bytes.
const MAX_DATAGRAM: usize = 8 * 1024;

/// Sends and receives messages between hosts.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
        })
    }

    /// Sends a message; one that can't leave at once is lost, as any datagram may be.
    pub fn send(
        &self,
        to: SocketAddr,
        message: Message,
    ) {
        let bytes = encode(message);
        if bytes.len() <= MAX_DATAGRAM {
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// The next message that makes sense, and who sent it.
    pub async fn receive(&self) -> (SocketAddr, Message) {
        let mut bytes = [0u8; MAX_DATAGRAM];
        loop {
            // An error tells of an earlier datagram that found no receiver.
            let Ok((size, sender)) = self.socket.recv_from(&mut bytes).await else {
                continue;
            };
            if let Some(message) = decode(&bytes[..size]) {
                return (sender, message);
            }
        }
    }
}
