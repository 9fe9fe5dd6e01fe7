/// A host's usage of the budget of one service, as logged and exported under these names.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RepeatUsage {
    pub hosts: usize,
    /// The host's own share; zero shortly after a start.
    pub share: f64,
    /// What was spent and lent of the share within the window.
    pub spent: f64,
    pub lent: f64,
    /// Available quota that was accrued and borrowed.
    pub earned_left: f64,
    pub borrowed_left: f64,
    /// Repeats charged and rejected in the last period.
    pub paid: u32,
    pub refused: u32,
}

impl RepeatUsage {
    /// Adds the usage of another service.
    pub fn add(
        &mut self,
        other: &Self,
    ) {
        self.share += other.share;
        self.spent += other.spent;
        self.lent += other.lent;
        self.earned_left += other.earned_left;
        self.borrowed_left += other.borrowed_left;
        self.paid += other.paid;
        self.refused += other.refused;
    }
}
