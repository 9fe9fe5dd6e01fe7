/// Whether a target may get a request of this host, by what it says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Openness {
    /// It is in no need.
    #[default]
    Open,
    /// Only with leave of the host that counts what it gets.
    Limited,
    /// Not now.
    Closed,
}
