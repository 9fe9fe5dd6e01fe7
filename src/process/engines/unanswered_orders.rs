use {
    super::{PlannedOrder, engine_allocator::key},
    crate::{clock::Instant, formats::OrderKind},
    std::time::Duration,
};

/// Time after which an unanswered order can no longer take effect.
const MOST_LATE: Duration = Duration::from_secs(15);

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
    unanswered_at: Instant,
    /// True if the engine has restarted since.
    of_earlier_start: bool,
}

impl UnansweredOrders {
    /// Records an order without a reply, or whose reply may come from an earlier incarnation.
    pub fn note(
        &mut self,
        order: PlannedOrder,
        now: Instant,
    ) {
        self.forget_old(now);
        self.orders.push(UnansweredOrder {
            order,
            unanswered_at: now,
            of_earlier_start: false,
        });
    }

    /// Returns true if none of the orders can reach the engine any more.
    pub fn is_over(
        &self,
        now: Instant,
    ) -> bool {
        self.orders.iter().all(|late| late.is_too_old(now))
    }

    /// Records a restart of the engine.
    pub fn on_new_start(&mut self) {
        for late in &mut self.orders {
            late.of_earlier_start = true;
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
            .filter(|late| late.of_earlier_start && !late.is_void(sequence, now))
            .filter_map(|late| late.loaded_adapter())
            .collect();
        adapters.sort_unstable();
        adapters.dedup();
        adapters.len()
    }

    fn forget_old(
        &mut self,
        now: Instant,
    ) {
        self.orders.retain(|late| !late.is_too_old(now));
    }
}

impl UnansweredOrder {
    fn is_void(
        &self,
        sequence: u64,
        now: Instant,
    ) -> bool {
        self.order.expected_sequence < sequence || self.is_too_old(now)
    }

    fn is_too_old(
        &self,
        now: Instant,
    ) -> bool {
        now.saturating_duration_since(self.unanswered_at) >= MOST_LATE
    }

    /// Returns the adapter that would take a slot.
    fn loaded_adapter(&self) -> Option<String> {
        let adapter = self.order.adapter.as_deref()?;
        match self.order.kind {
            OrderKind::Load => Some(key(&self.order.model, adapter)),
            OrderKind::Unload => None,
        }
    }
}
