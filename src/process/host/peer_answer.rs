/// What another host is answered that asks for a page.
#[derive(Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    Page(Vec<u8>),
    /// The link is full of copies for others; some of them can hand theirs on in a moment.
    Busy,
    /// There is no such page, or nothing on it yet.
    NoPage,
}
