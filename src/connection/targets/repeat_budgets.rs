use {
    super::TargetTableSettings,
    crate::{
        clock::Instant,
        connection::datagram::{Loan, LoanAsk},
        metrics::{StateLabels, metrics},
        note,
        request::repeats::{RepeatBudget, RepeatPolicy, RepeatUsage},
        timeline::Event,
    },
    std::{collections::BTreeMap, time::Duration},
};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Units per repeat in messages: on a large site a host's share is less than one repeat.
const UNITS_PER_REPEAT: f64 = 1000.0;

/// This host's repeat budgets of all services.
#[derive(Debug)]
pub struct RepeatBudgets {
    terms: RepeatPolicy,
    /// When this process gets its own share of the extra budget.
    share_from: Instant,
    hosts: usize,
    services: BTreeMap<String, RepeatBudget>,
    next_report: Instant,
}

impl RepeatBudgets {
    /// Creates the budgets of a process that starts at `now`.
    pub fn new(
        settings: &TargetTableSettings,
        now: Instant,
    ) -> Self {
        let terms = RepeatPolicy {
            window: settings.budget_window,
            ratio: settings.budget_ratio,
            extra: settings.budget_extra,
        };
        Self {
            terms,
            share_from: now + terms.share_delay(settings.first_start),
            hosts: 0,
            services: BTreeMap::new(),
            next_report: now + REPORT_INTERVAL,
        }
    }

    /// Sets the number of hosts that share the extra budget.
    pub fn set_hosts(
        &mut self,
        hosts: usize,
    ) {
        self.hosts = hosts;
        for budget in self.services.values_mut() {
            budget.set_hosts(hosts);
        }
    }

    /// Returns the budget of a service, which is created on first use.
    pub fn of(
        &mut self,
        service: &str,
    ) -> &mut RepeatBudget {
        if !self.services.contains_key(service) {
            let mut budget = RepeatBudget::new(self.terms, self.share_from, rand::random());
            budget.set_hosts(self.hosts);
            self.services.insert(service.to_string(), budget);
        }
        self.services.get_mut(service).expect("inserted above")
    }

    /// Returns the services that have a budget.
    pub fn services(&self) -> Vec<String> {
        self.services.keys().cloned().collect()
    }

    /// Returns the loan requests that are due, each for a different host.
    pub fn loan_requests(
        &mut self,
        service: &str,
        now: Instant,
    ) -> Vec<LoanAsk> {
        let (ids, amount) = self.of(service).next_borrow_requests(now);
        let request = |id| LoanAsk {
            service: service.to_string(),
            id,
            amount: (amount * UNITS_PER_REPEAT).ceil() as u32,
        };
        let requests: Vec<LoanAsk> = ids.into_iter().map(request).collect();
        count_loans("asked", requests.len());
        requests
    }

    /// Grants another host's loan request; returns `None` if there is nothing to lend.
    pub fn lend(
        &mut self,
        request: &LoanAsk,
        now: Instant,
    ) -> Option<Loan> {
        let granted = self
            .of(&request.service)
            .lend(f64::from(request.amount) / UNITS_PER_REPEAT, now);
        let amount = (granted * UNITS_PER_REPEAT).floor() as u32;
        if amount == 0 {
            return None;
        }
        count_loans("lent", 1);
        Some(Loan {
            service: request.service.clone(),
            id: request.id,
            amount,
        })
    }

    /// Adds a loan from another host to the budget.
    pub fn on_loan(
        &mut self,
        loan: &Loan,
        now: Instant,
    ) {
        let Some(budget) = self.services.get_mut(&loan.service) else {
            return;
        };
        let in_time = budget.on_borrowed(loan.id, f64::from(loan.amount) / UNITS_PER_REPEAT, now);
        count_loans(if in_time { "borrowed" } else { "late" }, 1);
    }

    /// Logs the budgets that were used and updates their metrics, once per interval.
    pub fn report(
        &mut self,
        now: Instant,
    ) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let mut sum = RepeatUsage::default();
        for (service, budget) in &mut self.services {
            let usage = budget.take_usage(now);
            log_usage(service, &usage);
            sum.add(&usage);
        }
        update_metrics(self.hosts, &sum);
    }
}

fn log_usage(
    service: &str,
    usage: &RepeatUsage,
) {
    if usage.paid + usage.refused == 0 {
        return;
    }
    note!(
        Event::RepeatsCounted,
        service = service,
        paid = usage.paid,
        refused = usage.refused,
        hosts = usage.hosts,
        share = thousandths(usage.share),
        spent = thousandths(usage.spent),
        lent = thousandths(usage.lent),
        earned_left = thousandths(usage.earned_left),
        borrowed_left = thousandths(usage.borrowed_left),
    );
}

fn thousandths(amount: f64) -> f64 {
    (amount * UNITS_PER_REPEAT).round() / UNITS_PER_REPEAT
}

fn update_metrics(
    hosts: usize,
    sum: &RepeatUsage,
) {
    let metrics = metrics();
    for (state, amount) in [
        ("share", sum.share),
        ("spent", sum.spent),
        ("lent", sum.lent),
        ("earned_left", sum.earned_left),
        ("borrowed_left", sum.borrowed_left),
    ] {
        let labels = StateLabels { state };
        metrics.repeat_allowance.get_or_create(&labels).set(amount);
    }
    for (state, count) in [("paid", sum.paid), ("refused", sum.refused)] {
        let labels = StateLabels { state };
        metrics
            .repeats
            .get_or_create(&labels)
            .inc_by(u64::from(count));
    }
    metrics.known_hosts.set(hosts as i64);
}

fn count_loans(
    state: &'static str,
    count: usize,
) {
    if count == 0 {
        return;
    }
    let labels = StateLabels { state };
    let loans = &metrics().repeat_loans;
    loans.get_or_create(&labels).inc_by(count as u64);
}
