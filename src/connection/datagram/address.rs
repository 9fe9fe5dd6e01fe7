use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// An IPv4 address and port on the wire.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Address {
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    #[prost(uint32, tag = "2")]
    pub port: u32,
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Self {
        let ip = match address {
            SocketAddr::V4(address) => u32::from(*address.ip()),
            // Hosts talk over IPv4 only.
            SocketAddr::V6(_) => 0,
        };
        Self {
            ip,
            port: u32::from(address.port()),
        }
    }
}

impl From<Address> for SocketAddr {
    fn from(address: Address) -> Self {
        let ip = Ipv4Addr::from(address.ip);
        let port = u16::try_from(address.port).unwrap_or_default();
        SocketAddr::V4(SocketAddrV4::new(ip, port))
    }
}
