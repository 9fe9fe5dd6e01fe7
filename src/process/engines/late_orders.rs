use {
    super::{DeskOrder, engine_desk::key},
    crate::{clock::Instant, formats::OrderKind},
    std::time::Duration,
};

/// An order without an answer is carried out within this time, or never.
const MOST_LATE: Duration = Duration::from_secs(15);

/// Orders that got no answer and may still reach the engine.
///
/// While an engine runs, an order is void once the engine has taken another one. An engine that starts anew
/// counts its orders from zero: an order of its earlier start that expects a number is carried out when the new
/// count comes to it.
#[derive(Debug, Default)]
pub struct LateOrders {
    orders: Vec<LateOrder>,
}

#[derive(Debug)]
struct LateOrder {
    order: DeskOrder,
    unanswered_at: Instant,
    /// The engine has started anew since.
    of_earlier_start: bool,
}

impl LateOrders {
    /// An order got no answer, or one that may be an earlier start's.
    pub fn note(
        &mut self,
        order: DeskOrder,
        now: Instant,
    ) {
        self.forget_old(now);
        self.orders.push(LateOrder {
            order,
            unanswered_at: now,
            of_earlier_start: false,
        });
    }

    /// True once none of them can reach the engine any more.
    pub fn is_over(
        &self,
        now: Instant,
    ) -> bool {
        self.orders.iter().all(|late| late.is_too_old(now))
    }

    /// The engine has started anew.
    pub fn on_new_start(&mut self) {
        for late in &mut self.orders {
            late.of_earlier_start = true;
        }
    }

    /// Places that orders of earlier starts may still take at an engine that has taken `sequence` orders since
    /// its start, by the adapters that they load.
    pub fn places(
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

impl LateOrder {
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

    /// The adapter that would take a place.
    fn loaded_adapter(&self) -> Option<String> {
        let adapter = self.order.adapter.as_deref()?;
        match self.order.kind {
            OrderKind::Load => Some(key(&self.order.model, adapter)),
            OrderKind::Unload => None,
        }
    }
}
