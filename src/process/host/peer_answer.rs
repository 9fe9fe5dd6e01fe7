/// Answer to another host's request for a page.
#[derive(Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    Page(Vec<u8>),
    /// The link is busy; the request may be retried, or sent to another host.
    Busy,
    /// The page does not exist or has no content yet.
    NotFound,
}
