use {
    super::{LogLine, ServedLine},
    crate::timeline::Event,
    serde::Serialize,
    std::collections::BTreeMap,
};

/// How one customer's requests ended.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CustomerRow {
    /// Each attempt of a caller counts: a rejected request that is sent again is two.
    pub requests: usize,
    /// Requests answered completely and within all objectives.
    pub in_time: usize,
    /// Requests answered with 429 or 503, by cause.
    pub rejected: BTreeMap<String, usize>,
}

/// Requests by customer; `-` stands for routes without keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CustomerReport {
    /// Rows by customer name.
    pub by_customer: BTreeMap<String, CustomerRow>,
}

impl CustomerReport {
    /// Counts the requests in the lines of all hosts.
    pub fn of(lines: &[LogLine]) -> Self {
        let mut report = Self::default();
        for line in lines {
            match (line.event, ServedLine::of(line)) {
                (_, Some(served)) => report.add_served(&served),
                (Event::RequestOverLimit, None) => {
                    report.add_rejected(line.text("customer"), line.text("cause"));
                }
                _ => {}
            }
        }
        report
    }

    fn row(
        &mut self,
        customer: &str,
    ) -> &mut CustomerRow {
        let row = self.by_customer.entry(customer.to_string()).or_default();
        row.requests += 1;
        row
    }

    fn add_served(
        &mut self,
        served: &ServedLine,
    ) {
        let customer = served.text_or_dash("customer");
        if served.is_rejection() {
            return self.add_rejected(customer, served.text_or_dash("cause"));
        }
        self.row(customer).in_time += usize::from(served.is_in_time());
    }

    fn add_rejected(
        &mut self,
        customer: &str,
        cause: &str,
    ) {
        let rejected = &mut self.row(customer).rejected;
        *rejected.entry(cause.to_string()).or_default() += 1;
    }
}
