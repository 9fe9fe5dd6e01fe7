//! Charges the cost of a request to its customer's quota, which is shared by all hosts.

use {
    crate::{
        clock::{Instant, sleep_until, timeout_at},
        connection::{
            datagram::{ChargeAnswer, ChargeAsk, ChargeRefund},
            front::{ErrorCause, LocalAnswer},
            targets::{TargetTable, count_charge_request},
        },
        request::{
            direct::CallRequest,
            quotas::{Charge, QuotaStep, TriedParts, shard_for},
        },
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Time for the host that counts a customer's use to answer: a round trip takes some 3 ms, and small hosts are busy for some
/// tens of ms now and then.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(100);

/// Share of the route's latency objective for which a request waits for quota. Waiting that long still leaves time to
/// answer, while a rejected caller that retries would be late.
const MAX_WAIT_SHARE: f64 = 0.4;

/// Share of the route's latency objective for which a request waits until a host is known that counts the quota, such
/// as after all hosts have restarted: then it is known 0.2 to 0.6 s after their start.
const MAX_UNCOUNTED_WAIT_SHARE: f64 = 0.6;

/// Retry delay for callers whose quota no reachable host counts: most hosts that were lost have a successor or are back by
/// then.
const UNCOUNTED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Minimum retry delay for callers over their limit: several of them share the quota that accrues.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Quota charged for a request; refunded when dropped, unless the request may have run.
pub struct QuotaCharge {
    table: Rc<RefCell<TargetTable>>,
    /// Refund of the grant; `None` if the charge was covered by quota granted in advance.
    grant: Option<ChargeRefund>,
}

impl QuotaCharge {
    /// Makes the charge final, as the request may have run.
    pub fn commit(&mut self) {
        self.grant = None;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if let Some(refund) = self.grant.take() {
            self.table.borrow().refund(refund);
        }
    }
}

/// Charges the cost of a request, waiting for quota for a while; returns `None` if its customer has no limit, and the
/// answer to the caller if the request is rejected.
pub async fn charge(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> Result<Option<QuotaCharge>, LocalAnswer> {
    let Some(credential) = &request.credential else {
        return Ok(None);
    };
    let Some(limit) = &credential.customer.limit else {
        return Ok(None);
    };
    let gate = QuotaGate {
        table,
        customer: &credential.customer.name,
        cost: limit.cost(request.declared_tokens),
    };
    gate.record_request();
    let started = Instant::now();
    let quota_deadline = started + request.route.aim.mul_f64(MAX_WAIT_SHARE);
    let counter_deadline = started + request.route.aim.mul_f64(MAX_UNCOUNTED_WAIT_SHARE);
    loop {
        match gate.charge().await {
            Ok(charged) => return Ok(Some(charged)),
            Err(ChargeError::Over { retry_after })
                if Instant::now() + retry_after <= quota_deadline =>
            {
                sleep_until(Instant::now() + retry_after).await;
            }
            Err(ChargeError::Uncounted) if Instant::now() < counter_deadline => {
                let update = table.borrow().freshness_updates();
                let _ = timeout_at(counter_deadline, update.notified()).await;
            }
            Err(error) => return Err(error.answer()),
        }
    }
}

/// Why a request was not charged.
#[derive(Debug, Clone, Copy)]
enum ChargeError {
    /// The quota is used up; enough has accrued after this time.
    Over { retry_after: Duration },
    /// No host that counts the quota answered.
    Uncounted,
}

impl ChargeError {
    fn answer(self) -> LocalAnswer {
        match self {
            Self::Over { retry_after } => {
                LocalAnswer::after(ErrorCause::OverLimit, retry_after.max(MIN_RETRY_AFTER))
            }
            Self::Uncounted => {
                LocalAnswer::after(ErrorCause::QuotaUnavailable, UNCOUNTED_RETRY_AFTER)
            }
        }
    }
}

/// Charges one request, part by part of its customer's quota.
struct QuotaGate<'a> {
    table: &'a Rc<RefCell<TargetTable>>,
    customer: &'a str,
    cost: f64,
}

impl QuotaGate<'_> {
    fn record_request(&self) {
        let mut table = self.table.borrow_mut();
        let usage = table.quotas.of(self.customer);
        usage.on_request(self.cost, Instant::now());
    }

    async fn charge(&self) -> Result<QuotaCharge, ChargeError> {
        let mut tried = TriedParts::default();
        loop {
            match self.next_step(&tried) {
                QuotaStep::Request { part, charge } => {
                    tried[part] = true;
                    if let Some(charged) = self.charge_part(part, charge).await {
                        return Ok(charged);
                    }
                }
                QuotaStep::Prepaid => return Ok(self.charged(None)),
                QuotaStep::OverLimit { retry_after } => {
                    return Err(ChargeError::Over { retry_after });
                }
                QuotaStep::Unavailable => return Err(ChargeError::Uncounted),
            }
        }
    }

    fn next_step(
        &self,
        tried: &TriedParts,
    ) -> QuotaStep {
        let mut table = self.table.borrow_mut();
        let usage = table.quotas.of(self.customer);
        usage.next_step(self.cost, tried, Instant::now())
    }

    /// Sends a charge to the host that counts one part of the quota; returns `None` if it was not granted.
    async fn charge_part(
        &self,
        part: usize,
        charge: Charge,
    ) -> Option<QuotaCharge> {
        let sent_at = Instant::now();
        let answer = self
            .request_charge(part, charge, sent_at + CHARGE_TIMEOUT)
            .await;
        let granted = self.record_answer(part, &charge, answer, sent_at);
        granted.then(|| {
            self.charged(Some(ChargeRefund {
                slot: shard_for(self.customer, part) as u32,
                customer: self.customer.to_string(),
                id: charge.id,
                amount: self.cost.floor() as u32,
            }))
        })
    }

    async fn request_charge(
        &self,
        part: usize,
        charge: Charge,
        deadline: Instant,
    ) -> Option<ChargeAnswer> {
        let charge_request = ChargeAsk {
            slot: shard_for(self.customer, part) as u32,
            customer: self.customer.to_string(),
            id: charge.id,
            need: charge.need.ceil() as u32,
            ahead: charge.prefetch.floor() as u32,
        };
        let mut pending = {
            let table = self.table.borrow();
            if !table.request_charge(charge_request) {
                count_charge_request("nobody");
                return None;
            }
            count_charge_request("asked");
            table.quotas.pending_charges.register(charge.id)
        };
        timeout_at(deadline, pending.answer()).await.ok().flatten()
    }

    /// Records an answer; returns true if the cost of the request was granted.
    fn record_answer(
        &self,
        part: usize,
        charge: &Charge,
        answer: Option<ChargeAnswer>,
        sent_at: Instant,
    ) -> bool {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let usage = table.quotas.of(self.customer);
        let Some(answer) = answer.filter(|answer| !answer.not_counted) else {
            usage.on_unresponsive(part, now);
            return false;
        };
        if answer.granted == 0 && charge.need > 0.0 {
            let retry_after = Duration::from_millis(u64::from(answer.come_back_ms));
            usage.on_over_limit(part, charge.need, retry_after, now);
            return false;
        }
        usage.on_answer(part);
        usage.on_prefetched(f64::from(answer.granted) - charge.need.ceil(), sent_at);
        true
    }

    fn charged(
        &self,
        grant: Option<ChargeRefund>,
    ) -> QuotaCharge {
        QuotaCharge {
            table: self.table.clone(),
            grant,
        }
    }
}
