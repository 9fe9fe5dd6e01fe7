use super::QuotaLimit;

/// A customer, on whose behalf callers send requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    pub name: String,
    /// Takes precedence over the priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// `None` means unlimited use.
    pub limit: Option<QuotaLimit>,
}
