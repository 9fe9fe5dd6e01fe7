use super::UseLimit;

/// A customer, on whose behalf callers send requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    pub name: String,
    /// Comes before that of the route; 0 is the most urgent.
    pub priority: u8,
    /// None may use as much as there is.
    pub limit: Option<UseLimit>,
}
