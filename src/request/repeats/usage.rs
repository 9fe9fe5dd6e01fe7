/// How a host stands with the repeats of one service, and what it did in the last period.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RepeatUsage {
    /// Hosts among which the extra allowance is divided.
    pub hosts: usize,
    /// Its own share; none for a process that has just started.
    pub share: f64,
    /// What it has spent and lent of its share within the window.
    pub spent: f64,
    pub lent: f64,
    /// What it can spend of what its requests earned and others lent.
    pub earned_left: f64,
    pub borrowed_left: f64,
    /// Repeats of the period that were paid for, and those that were not for want of allowance.
    pub paid: u32,
    pub refused: u32,
}

impl RepeatUsage {
    /// Adds what another service had.
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
