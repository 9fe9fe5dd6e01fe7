//! The control thread's part for customers' use: the parts of it that are counted here, and the answers to those who ask.

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
        version::routing::QuotaLimit,
    },
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// A part of customers' use that this host counts.
pub(super) struct HeldLedger {
    /// Another fence means that another host may have counted meanwhile.
    fence: u64,
    ledger: QuotaLedger,
}

impl HostControl {
    /// Slots in which use is counted: none where no customer has a limit.
    pub(super) fn slot_count(&self) -> usize {
        match self.routing.customers.has_limits() {
            true => QUOTA_SHARDS,
            false => 0,
        }
    }

    /// The slots that this host holds now.
    pub(super) fn held_slots(
        &self,
        now: Instant,
    ) -> Vec<usize> {
        let held = self.holding.held(now);
        held.filter_map(|(name, _)| shard_of_lease(name)).collect()
    }

    /// Begins to count where this host has become the holder. It begins with nothing: what the holder before let be
    /// spent is not known.
    pub(super) fn open_ledgers(
        &mut self,
        now: Instant,
    ) {
        for slot in self.held_slots(now) {
            let Some(held) = self.holding.held_engine(&shard_lease(slot), now) else {
                continue;
            };
            let known = self.ledgers.get(&slot);
            if known.is_some_and(|known| known.fence == held.fence) {
                continue;
            }
            note!(Event::QuotaCounted, slot = slot, fence = held.fence);
            let ledger = HeldLedger {
                fence: held.fence,
                ledger: QuotaLedger::new(self.settings.bounds.quota_window, now),
            };
            self.ledgers.insert(slot, ledger);
            self.changed = true;
        }
    }

    /// The hosts that hold the slots.
    pub(super) fn slot_holders(
        &self,
        holders: &HashMap<&str, SocketAddr>,
    ) -> Vec<Option<SocketAddr>> {
        let holder = |slot| holders.get(shard_lease(slot).as_str()).copied();
        (0..self.slot_count()).map(holder).collect()
    }

    /// A host asks whether a customer may use more.
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
            Some(Err(come_back)) => answer.come_back_ms = whole_millis(come_back),
        }
        self.send(from, Message::ChargeAnswer(answer))
    }

    /// Some of what was granted is not used.
    pub(super) fn on_charge_refund(
        &mut self,
        refund: &ChargeRefund,
        now: Instant,
    ) {
        let Some((terms, ledger)) = self.account(refund.slot, &refund.customer, now) else {
            return;
        };
        if let Some(terms) = terms {
            let amount = f64::from(refund.amount);
            ledger.refund(&refund.customer, &terms, refund.id, amount, now);
        }
    }

    /// What is granted, or the time after which it could be; `None` if the customer's use is not counted here.
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
        let (terms, ledger) = self.account(ask.slot, &ask.customer, now)?;
        Some(match terms {
            Some(terms) => ledger.charge(&ask.customer, &terms, charge, now),
            // Its limit was lifted; whoever asks has not heard of it.
            None => Ok(charge.need),
        })
    }

    /// The ledger of a slot that this host holds, and the terms of a customer's bucket in it, if it has a limit.
    fn account(
        &mut self,
        slot: u32,
        customer: &str,
        now: Instant,
    ) -> Option<(Option<BucketLimits>, &mut QuotaLedger)> {
        let slot = slot as usize;
        let held = self.holding.held_engine(&shard_lease(slot), now)?;
        let limit = self.routing.customers.find_by_name(customer)?.limit;
        let terms = limit.map(|limit| self.bucket_terms(&limit));
        let known = self.ledgers.get_mut(&slot)?;
        (known.fence == held.fence).then_some((terms, &mut known.ledger))
    }

    fn bucket_terms(
        &self,
        limit: &QuotaLimit,
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

/// Rounded up: who comes back sooner finds too little.
fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis() + 1).unwrap_or(u32::MAX)
}
