//! Messages by which a host of a large site tells the others which engines it holds.

/// The complete list of the engines that the sender gives orders to.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Holdings {
    /// Process of the sender; its versions count within this process.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// Grows with each change of the list.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    #[prost(string, repeated, tag = "3")]
    pub holds: Vec<String>,
}

/// The list of the receiver that the sender knows: confirms a list, or asks for a newer one.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HoldingsKnown {
    /// Process of the receiver whose list it is.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// 0 if no list of that process is known.
    #[prost(uint32, tag = "2")]
    pub version: u32,
}
