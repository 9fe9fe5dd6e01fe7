use {
    super::{PlannedOrder, engine_allocator::adapter_key},
    crate::{clock::Instant, formats::OrderKind},
    std::time::Duration,
};

/// Time after which an unanswered order can no longer take effect.
const MAX_DELIVERY_DELAY: Duration = Duration::from_secs(15);

/// Orders that got no reply and may still reach the engine.
///
/// Within an incarnation, an order is void once the engine has accepted another one. A restarted engine counts
/// from zero, so an order from before can take effect when the count reaches the number that it expects.
#[derive(Debug, Default)]
pub struct UnansweredOrders {
    orders: Vec<UnansweredOrder>,
}

#[derive(Debug)]
struct UnansweredOrder {
    order: PlannedOrder,
    timed_out_at: Instant,
    /// True if the engine has restarted since.
    from_earlier_incarnation: bool,
}

impl UnansweredOrders {
    /// Records an order without a reply, or whose reply may come from an earlier incarnation.
    pub fn record(
        &mut self,
        order: PlannedOrder,
        now: Instant,
    ) {
        self.evict_expired(now);
        self.orders.push(UnansweredOrder {
            order,
            timed_out_at: now,
            from_earlier_incarnation: false,
        });
    }

    /// Returns true if none of the orders can reach the engine any more.
    pub fn all_expired(
        &self,
        now: Instant,
    ) -> bool {
        self.orders
            .iter()
            .all(|unanswered| unanswered.is_expired(now))
    }

    /// Records a restart of the engine.
    pub fn on_restart(&mut self) {
        for unanswered in &mut self.orders {
            unanswered.from_earlier_incarnation = true;
        }
    }

    /// Returns the slots that orders to earlier incarnations may still take, once the engine has accepted `sequence`
    /// orders.
    pub fn reserved_slots(
        &self,
        sequence: u64,
        now: Instant,
    ) -> usize {
        let mut adapters: Vec<String> = self
            .orders
            .iter()
            .filter(|unanswered| {
                unanswered.from_earlier_incarnation && !unanswered.is_void(sequence, now)
            })
            .filter_map(|unanswered| unanswered.loaded_adapter())
            .collect();
        adapters.sort_unstable();
        adapters.dedup();
        adapters.len()
    }

    fn evict_expired(
        &mut self,
        now: Instant,
    ) {
        self.orders.retain(|unanswered| !unanswered.is_expired(now));
    }
}

impl UnansweredOrder {
    fn is_void(
        &self,
        sequence: u64,
        now: Instant,
    ) -> bool {
        self.order.expected_sequence < sequence || self.is_expired(now)
    }

    fn is_expired(
        &self,
        now: Instant,
    ) -> bool {
        now.saturating_duration_since(self.timed_out_at) >= MAX_DELIVERY_DELAY
    }

    /// Returns the adapter that would take a slot.
    fn loaded_adapter(&self) -> Option<String> {
        let adapter = self.order.adapter.as_deref()?;
        match self.order.kind {
            OrderKind::Load => Some(adapter_key(&self.order.model, adapter)),
            OrderKind::Unload => None,
        }
    }
}
