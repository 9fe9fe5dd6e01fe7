use {
    crate::{
        connection::datagram::HostRumor,
        formats::{Row, StoreVersion},
    },
    prost::Message,
};

/// A row on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct RowBody {
    #[prost(string, tag = "1")]
    pub key: String,
    /// The bits of a [`StoreVersion`].
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Absent for a row that is gone.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

/// The hosts that a host knows, itself included.
#[derive(Clone, PartialEq, Message)]
pub struct HostsBody {
    #[prost(message, repeated, tag = "1")]
    pub hosts: Vec<HostRumor>,
}

/// Rows that have changed since a version, or all of them.
#[derive(Clone, PartialEq, Message)]
pub struct ChangesBody {
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<RowBody>,
    /// The bits of a [`StoreVersion`].
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    #[prost(bool, tag = "4")]
    pub whole: bool,
}

impl From<&Row> for RowBody {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.to_string(),
            version: row.version.to_bits(),
            value: row.value.as_deref().map(<[u8]>::to_vec),
        }
    }
}

impl From<RowBody> for Row {
    fn from(body: RowBody) -> Self {
        Self {
            key: body.key.into(),
            version: StoreVersion::from_bits(body.version),
            value: body.value.map(Into::into),
        }
    }
}
