use {
    super::{
        BudgetTerms, Paid, RepeatUsage,
        borrowed::Borrowed,
        earned::Earned,
        extra_share::ExtraShare,
        loan_asks::LoanAsks,
        recent_count::{RecentCount, Rounding},
    },
    crate::clock::Instant,
    std::time::Duration,
};

/// Time that a host looks ahead: it wants at hand what it needed in so long. Loans come within 0.2 s.
const AHEAD: Duration = Duration::from_millis(500);

/// Part of what is idle that one ask gets, so that several hosts in need get some.
const LENT_PART: f64 = 0.5;

/// Below this a lender gives all that is idle: it could not pay for a repeat of its own with it, while parts
/// of many hosts add up.
const WHOLE: f64 = 1.0;

/// Amounts are rounded at this: 0.1 + 0.2 pays for three tenths.
const ROUNDING: f64 = 1e-9;

/// The allowance of repeats of one service at one host: what its requests earn, what others lend it, and
/// its share of what all hosts have together.
#[derive(Debug)]
pub struct RepeatBudget {
    earned: Earned,
    borrowed: Borrowed,
    extra: ExtraShare,
    asks: LoanAsks,
    /// Hosts that the extra allowance is divided by.
    hosts: usize,
    /// Repeats wanted within the time looked ahead, paid or not.
    wanted: RecentCount,
    /// What the own share was wanted for within a window.
    needed: RecentCount,
    paid: u32,
    refused: u32,
}

impl RepeatBudget {
    /// The process has a share of its own after `share_from`.
    pub fn new(
        terms: BudgetTerms,
        share_from: Instant,
        first_ask: u64,
    ) -> Self {
        Self {
            earned: Earned::new(terms),
            borrowed: Borrowed::default(),
            extra: ExtraShare::new(terms, share_from),
            asks: LoanAsks::new(first_ask),
            hosts: 0,
            wanted: RecentCount::new(AHEAD, Rounding::Up),
            needed: RecentCount::new(terms.window, Rounding::Up),
            paid: 0,
            refused: 0,
        }
    }

    /// So many hosts share the extra allowance.
    pub fn set_hosts(
        &mut self,
        hosts: usize,
    ) {
        self.hosts = hosts;
    }

    /// A caller sent a request for the service.
    pub fn on_request(
        &mut self,
        now: Instant,
    ) {
        self.earned.on_request(now);
    }

    /// What can be spent.
    pub fn left(
        &mut self,
        now: Instant,
    ) -> f64 {
        self.earned.left(now) + self.borrowed.left(now) + self.extra.left(self.hosts, now)
    }

    /// True if another repeat can be paid for.
    pub fn allows(
        &mut self,
        now: Instant,
    ) -> bool {
        self.left(now) + ROUNDING >= 1.0
    }

    /// Pays for a repeat that is sent now; `None` if it must not be sent.
    pub fn pay(
        &mut self,
        now: Instant,
    ) -> Option<Paid> {
        if !self.allows(now) {
            return None;
        }
        self.wanted.add(1.0, now);
        self.paid += 1;
        // What is lost first is spent first.
        let earned = self.earned.spend(1.0, now);
        let borrowed = self.borrowed.spend(1.0 - earned, now);
        let own = 1.0 - earned - borrowed;
        self.extra.spend(own, now);
        self.needed.add(own, now);
        Some(Paid {
            at: now,
            earned,
            borrowed,
            own,
        })
    }

    /// A repeat that was paid for did not arrive anywhere. What was borrowed for it is lost.
    pub fn give_back(
        &mut self,
        paid: &Paid,
    ) {
        self.earned.give_back(paid.earned);
        self.extra.give_back(paid.own, paid.at);
    }

    /// A repeat was not sent for want of allowance.
    pub fn on_refused(
        &mut self,
        now: Instant,
    ) {
        self.wanted.add(1.0, now);
        self.needed.add(1.0, now);
        self.refused += 1;
    }

    /// A repeat waits for allowance.
    pub fn on_wanted(
        &mut self,
        now: Instant,
    ) {
        self.wanted.add(1.0, now);
    }

    /// The ids of loans to ask for now, each of a host of its own, and the amount.
    pub fn loans_to_ask(
        &mut self,
        now: Instant,
    ) -> (Vec<u64>, f64) {
        let wanted = self.wanted.sum(now);
        if wanted == 0.0 {
            return (Vec::new(), 0.0);
        }
        let missing = wanted.max(1.0) - self.left(now);
        let likely = lendable(self.extra.full_share(self.hosts));
        self.asks.round(missing, likely, now)
    }

    /// True if a host that was just asked may still lend something.
    pub fn awaits_loans(
        &mut self,
        now: Instant,
    ) -> bool {
        self.asks.awaited(now) > 0.0
    }

    /// A loan that was asked for has come; false if it is too late, or came twice.
    pub fn on_loan(
        &mut self,
        id: u64,
        amount: f64,
        now: Instant,
    ) -> bool {
        let Some(until) = self.asks.on_loan(id, now) else {
            return false;
        };
        self.borrowed.add(amount, until);
        true
    }

    /// Another host asks for a loan: what it gets. It counts as spent here from now on, whether or not the
    /// answer arrives.
    pub fn lend(
        &mut self,
        asked: f64,
        now: Instant,
    ) -> f64 {
        let idle = self.extra.left(self.hosts, now) - self.needed.sum(now);
        let amount = lendable(idle).min(asked).max(0.0);
        if amount > 0.0 {
            self.extra.lend(amount, now);
        }
        amount
    }

    /// How the host stands, and what it did since the last call.
    pub fn take_usage(
        &mut self,
        now: Instant,
    ) -> RepeatUsage {
        RepeatUsage {
            hosts: self.hosts,
            share: self.extra.share(self.hosts, now),
            spent: self.extra.spent(now),
            lent: self.extra.lent(now),
            earned_left: self.earned.left(now),
            borrowed_left: self.borrowed.left(now),
            paid: std::mem::take(&mut self.paid),
            refused: std::mem::take(&mut self.refused),
        }
    }
}

/// What a host that has so much idle lends to one that asks.
fn lendable(idle: f64) -> f64 {
    match idle > 2.0 * WHOLE {
        true => idle * LENT_PART,
        false => idle,
    }
}
