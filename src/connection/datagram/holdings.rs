//! Messages by which hosts of a large site exchange the lists of engines that they hold.

/// The complete list of the engines that the sender gives orders to.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Holdings {
    /// Process of the sender; its versions count within this process.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// Grows with each change of the list.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// Ids of the engines.
    #[prost(string, repeated, tag = "3")]
    pub holds: Vec<String>,
}

/// Version of the receiver's list that the sender knows: confirms a list, or requests a newer one.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HoldingsKnown {
    /// Process of the receiver to which the version belongs.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// 0 if no list of that process is known.
    #[prost(uint32, tag = "2")]
    pub version: u32,
}
