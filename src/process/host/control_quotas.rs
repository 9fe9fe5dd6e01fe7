//! Control-thread handling of customer quotas: the ledgers of the shards held by this host, and the replies to charges.

use {
    super::{ControlAction, HostControl},
    crate::{
        clock::Instant,
        connection::datagram::{ChargeAnswer, ChargeAsk, ChargeRefund, Message},
        metrics::{StateLabels, metrics},
        note,
        request::quotas::{
            BucketLimits, Charge, QUOTA_SHARDS, QuotaLedger, QuotaPolicy, shard_lease,
            shard_of_lease,
        },
        timeline::Event,
        version::routing::UseLimit,
    },
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// The ledger of a quota shard held by this host.
pub(super) struct ShardLedger {
    /// Fence of the assignment; if it changes, another host may have held the shard in between.
    fence: u64,
    ledger: QuotaLedger,
}

impl HostControl {
    /// Returns the number of quota shards, or 0 if no customer has a limit.
    pub(super) fn shard_count(&self) -> usize {
        match self.routing.customers.any_limited() {
            true => QUOTA_SHARDS,
            false => 0,
        }
    }

    /// Returns the shards that this host holds.
    pub(super) fn held_shards(
        &self,
        now: Instant,
    ) -> Vec<usize> {
        let held = self.assignment.held(now);
        held.filter_map(|(name, _)| shard_of_lease(name)).collect()
    }

    /// Opens a ledger for each shard newly held by this host. Ledgers start empty, as the previous holder's charges are
    /// unknown.
    pub(super) fn open_ledgers(
        &mut self,
        now: Instant,
    ) {
        for shard in self.held_shards(now) {
            let Some(held) = self.assignment.held_engine(&shard_lease(shard), now) else {
                continue;
            };
            let held_ledger = self.ledgers.get(&shard);
            if held_ledger.is_some_and(|entry| entry.fence == held.fence) {
                continue;
            }
            note!(Event::QuotaCounted, slot = shard, fence = held.fence);
            let ledger = ShardLedger {
                fence: held.fence,
                ledger: QuotaLedger::new(self.settings.bounds.quota_window, now),
            };
            self.ledgers.insert(shard, ledger);
            self.changed = true;
        }
    }

    /// Returns the holder of each shard.
    pub(super) fn shard_holders(
        &self,
        holders: &HashMap<&str, SocketAddr>,
    ) -> Vec<Option<SocketAddr>> {
        let holder = |shard| holders.get(shard_lease(shard).as_str()).copied();
        (0..self.shard_count()).map(holder).collect()
    }

    /// Answers a host's request to charge a customer's quota.
    pub(super) fn on_charge_request(
        &mut self,
        from: SocketAddr,
        request: &ChargeAsk,
        now: Instant,
    ) -> ControlAction {
        let outcome = self.charge(request, now);
        let outcome_label = match &outcome {
            None => "not_counted",
            Some(Ok(_)) => "granted",
            Some(Err(_)) => "over",
        };
        let labels = StateLabels {
            state: outcome_label,
        };
        metrics().quota_charges.get_or_create(&labels).inc();
        let mut answer = ChargeAnswer {
            id: request.id,
            ..ChargeAnswer::default()
        };
        match outcome {
            None => answer.not_counted = true,
            Some(Ok(granted)) => answer.granted = granted.floor() as u32,
            Some(Err(retry_after)) => answer.come_back_ms = round_up_millis(retry_after),
        }
        self.send(from, Message::ChargeAnswer(answer))
    }

    /// Refunds the unused part of a charge.
    pub(super) fn on_charge_refund(
        &mut self,
        refund: &ChargeRefund,
        now: Instant,
    ) {
        let Some((limits, ledger)) = self.customer_ledger(refund.slot, &refund.customer, now)
        else {
            return;
        };
        if let Some(limits) = limits {
            let amount = f64::from(refund.amount);
            ledger.refund(&refund.customer, &limits, refund.id, amount, now);
        }
    }

    /// Returns the granted amount or the delay until a retry; `None` if this host does not hold the customer's shard.
    fn charge(
        &mut self,
        request: &ChargeAsk,
        now: Instant,
    ) -> Option<Result<f64, Duration>> {
        let charge = Charge {
            id: request.id,
            need: f64::from(request.need),
            prefetch: f64::from(request.ahead),
        };
        let (limits, ledger) = self.customer_ledger(request.slot, &request.customer, now)?;
        Some(match limits {
            Some(limits) => ledger.charge(&request.customer, &limits, charge, now),
            // The limit was removed, and the requesting host does not know it yet.
            None => Ok(charge.need),
        })
    }

    /// Returns the limits of a customer's bucket, if any, and the shard's ledger; `None` if the shard is not held here.
    fn customer_ledger(
        &mut self,
        shard: u32,
        customer: &str,
        now: Instant,
    ) -> Option<(Option<BucketLimits>, &mut QuotaLedger)> {
        let shard = shard as usize;
        let held = self.assignment.held_engine(&shard_lease(shard), now)?;
        let limit = self.routing.customers.named(customer)?.limit;
        let limits = limit.map(|limit| self.bucket_limits(&limit));
        let held_ledger = self.ledgers.get_mut(&shard)?;
        (held_ledger.fence == held.fence).then_some((limits, &mut held_ledger.ledger))
    }

    fn bucket_limits(
        &self,
        limit: &UseLimit,
    ) -> BucketLimits {
        let bounds = &self.settings.bounds;
        let policy = QuotaPolicy {
            window: bounds.quota_window,
            tolerance: bounds.quota_over,
            slack: bounds.quota_slack,
        };
        policy.bucket(limit)
    }
}

/// Converts to milliseconds, rounded up so that a retry does not come too early.
fn round_up_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis() + 1).unwrap_or(u32::MAX)
}
