/// Whether this host may send requests to a target, according to the target's notices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Availability {
    /// Without restriction.
    #[default]
    Open,
    /// Only with a permit from the host that counts the target's requests.
    Limited,
    /// Not at present.
    Closed,
}
