//! Handling of engine restarts under an unchanged target id.

use {
    super::{
        AllocatorAction, EngineAllocator, EngineCacheEstimate, EngineUsage, PlannedOrder,
        PromptCache, UnansweredOrders, engine_allocator::CACHED_ADAPTERS_PER_SLOT,
    },
    crate::{
        clock::Instant,
        connection::datagram::PlacementState,
        formats::{OrderReply, TargetReport, TargetStart},
    },
};

impl EngineAllocator {
    /// Handles the incarnation named in the target list. Ignores incarnations older than the known one.
    pub fn on_incarnation(
        &mut self,
        reported: Option<TargetStart>,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        if !self.update_incarnation(reported) {
            return Vec::new();
        }
        self.report_due_at = Some(now);
        self.reset(now)
    }

    /// Updates the known incarnation. Returns true if it replaces an earlier one.
    pub(super) fn update_incarnation(
        &mut self,
        reported: Option<TargetStart>,
    ) -> bool {
        let previous = self.incarnation;
        if reported <= previous {
            return false;
        }
        self.incarnation = reported;
        previous.is_some()
    }

    /// Returns true if the report comes from an incarnation before the known one.
    pub(super) fn is_from_earlier_incarnation(
        &self,
        report: &TargetReport,
    ) -> bool {
        report.started.is_some() && report.started < self.incarnation
    }

    /// Returns the orders that may still reach the engine after this allocator is closed.
    pub fn into_unanswered_orders(
        mut self,
        now: Instant,
    ) -> UnansweredOrders {
        if let Some(order) = self.in_flight_order.take() {
            self.unanswered_orders.record(order, now);
        }
        // The next allocator does not know which orders the engine accepts in the meantime.
        self.unanswered_orders.on_restart();
        self.unanswered_orders
    }

    /// Sets the unanswered orders of an earlier allocator of this engine.
    pub fn set_unanswered_orders(
        &mut self,
        unanswered_orders: UnansweredOrders,
    ) {
        self.unanswered_orders = unanswered_orders;
    }

    /// Resets the state of the previous incarnation.
    ///
    /// Rejects pending loads: the base model must be loaded first, which takes longer than most requests can wait.
    pub(super) fn reset(
        &mut self,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        let mut actions = self.withdraw_adapters();
        actions.extend(self.reject_pending_loads());
        self.adapters.clear();
        self.usage = EngineUsage::default();
        self.cache = EngineCacheEstimate::new(self.spec.adapter_slots * CACHED_ADAPTERS_PER_SLOT);
        self.prompts = PromptCache::default();
        self.local_models.clear();
        self.model = None;
        self.base_load_not_before = now;
        self.busy = false;
        self.unresponsive_until = None;
        self.unresolved_order = None;
        self.in_flight_order_is_stale = self.in_flight_order.is_some();
        self.unanswered_orders.on_restart();
        self.sequence = None;
        self.update_adapter_capacity();
        self.publish_state();
        actions
    }

    /// Announces that no adapter is loaded any more. Sends `Full`, as `Absent` would count as cached and quick to load.
    fn withdraw_adapters(&self) -> Vec<AllocatorAction> {
        let withdrawals =
            self.adapters
                .iter()
                .map(|(adapter, resident)| AllocatorAction::Announce {
                    interested_hosts: resident.interested_hosts.iter().copied().collect(),
                    placement: self.pending_placement(
                        adapter,
                        resident.version,
                        PlacementState::Full,
                    ),
                });
        withdrawals.collect()
    }

    /// Handles the end of an order to an earlier incarnation. Either incarnation may have accepted it.
    pub(super) fn on_stale_order_end(
        &mut self,
        order: PlannedOrder,
        reply: Option<OrderReply>,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        if reply.is_none() {
            self.unanswered_orders.record(order, now);
            self.unanswered_orders.on_restart();
        }
        self.discard_sequence(now);
        Vec::new()
    }
}
