use {crate::clock::Instant, std::collections::VecDeque};

#[derive(Debug)]
struct Loan {
    amount: f64,
    until: Instant,
}

/// Amounts that each expire at a time of their own.
#[derive(Debug, Default)]
pub struct ExpiringBalance {
    loans: VecDeque<Loan>,
}

impl ExpiringBalance {
    pub fn add(
        &mut self,
        amount: f64,
        until: Instant,
    ) {
        let place = self.loans.partition_point(|loan| loan.until <= until);
        self.loans.insert(place, Loan { amount, until });
    }

    pub fn left(
        &mut self,
        now: Instant,
    ) -> f64 {
        while self.loans.front().is_some_and(|loan| loan.until <= now) {
            self.loans.pop_front();
        }
        // Not `sum`, which returns -0.0 for an empty iterator.
        self.loans.iter().fold(0.0, |sum, loan| sum + loan.amount)
    }

    /// Spends up to this amount, earliest expiry first; returns the amount spent.
    pub fn spend(
        &mut self,
        amount: f64,
        now: Instant,
    ) -> f64 {
        self.left(now);
        let mut spent = 0.0;
        while let Some(loan) = self.loans.front_mut() {
            let part = loan.amount.min(amount - spent);
            loan.amount -= part;
            spent += part;
            if loan.amount > 0.0 {
                break;
            }
            self.loans.pop_front();
        }
        spent
    }
}
