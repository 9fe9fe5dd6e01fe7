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
        let held = self.holding.held(now);
        held.filter_map(|(name, _)| shard_of_lease(name)).collect()
    }

    /// Opens a ledger for each shard newly held by this host. Ledgers start empty, as the previous holder's charges are
    /// unknown.
    pub(super) fn open_ledgers(
        &mut self,
        now: Instant,
    ) {
        for slot in self.held_shards(now) {
            let Some(held) = self.holding.held_engine(&shard_lease(slot), now) else {
                continue;
            };
            let known = self.ledgers.get(&slot);
            if known.is_some_and(|known| known.fence == held.fence) {
                continue;
            }
            note!(Event::QuotaCounted, slot = slot, fence = held.fence);
            let ledger = ShardLedger {
                fence: held.fence,
                ledger: QuotaLedger::new(self.settings.bounds.quota_window, now),
            };
            self.ledgers.insert(slot, ledger);
            self.changed = true;
        }
    }

    /// Returns the holder of each shard.
    pub(super) fn shard_holders(
        &self,
        holders: &HashMap<&str, SocketAddr>,
    ) -> Vec<Option<SocketAddr>> {
        let holder = |slot| holders.get(shard_lease(slot).as_str()).copied();
        (0..self.shard_count()).map(holder).collect()
    }

    /// Answers a host's request to charge a customer's quota.
    pub(super) fn on_charge_ask(
        &mut self,
        from: SocketAddr,
        ask: &ChargeAsk,
        now: Instant,
    ) -> ControlAction {
        let outcome = self.charge(ask, now);
        let word = match &outcome {
            None => "not_counted",
            Some(Ok(_)) => "granted",
            Some(Err(_)) => "over",
        };
        let labels = StateLabels { state: word };
        metrics().quota_charges.get_or_create(&labels).inc();
        let mut answer = ChargeAnswer {
            id: ask.id,
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
        let Some((terms, ledger)) = self.customer_ledger(refund.slot, &refund.customer, now) else {
            return;
        };
        if let Some(terms) = terms {
            let amount = f64::from(refund.amount);
            ledger.refund(&refund.customer, &terms, refund.id, amount, now);
        }
    }

    /// Returns the granted amount or the delay until a retry; `None` if this host does not hold the customer's shard.
    fn charge(
        &mut self,
        ask: &ChargeAsk,
        now: Instant,
    ) -> Option<Result<f64, Duration>> {
        let charge = Charge {
            id: ask.id,
            need: f64::from(ask.need),
            prefetch: f64::from(ask.ahead),
        };
        let (terms, ledger) = self.customer_ledger(ask.slot, &ask.customer, now)?;
        Some(match terms {
            Some(terms) => ledger.charge(&ask.customer, &terms, charge, now),
            // The limit was removed, and the requesting host does not know it yet.
            None => Ok(charge.need),
        })
    }

    /// Returns the limits of a customer's bucket, if any, and the shard's ledger; `None` if the shard is not held here.
    fn customer_ledger(
        &mut self,
        slot: u32,
        customer: &str,
        now: Instant,
    ) -> Option<(Option<BucketLimits>, &mut QuotaLedger)> {
        let slot = slot as usize;
        let held = self.holding.held_engine(&shard_lease(slot), now)?;
        let limit = self.routing.customers.named(customer)?.limit;
        let terms = limit.map(|limit| self.bucket_limits(&limit));
        let known = self.ledgers.get_mut(&slot)?;
        (known.fence == held.fence).then_some((terms, &mut known.ledger))
    }

    fn bucket_limits(
        &self,
        limit: &UseLimit,
    ) -> BucketLimits {
        let bounds = &self.settings.bounds;
        let terms = QuotaPolicy {
            window: bounds.quota_window,
            tolerance: bounds.quota_over,
            slack: bounds.quota_slack,
        };
        terms.bucket(limit)
    }
}

/// Converts to milliseconds, rounded up so that a retry does not come too early.
fn round_up_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis() + 1).unwrap_or(u32::MAX)
}
