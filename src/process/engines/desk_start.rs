//! The desk's part for an engine that starts anew under the id that it had.

use {
    super::{
        DeskAction, DeskOrder, EngineDesk, EngineUse, LateOrders, LoadMemory,
        engine_desk::REMEMBERED_PER_PLACE,
    },
    crate::{
        clock::Instant,
        connection::datagram::PlacementState,
        formats::{OrderReply, TargetReport, TargetStart},
    },
};

impl EngineDesk {
    /// The list tells which start of the engine this is. News of an earlier start than the one that is known
    /// are passed over.
    pub fn on_start(
        &mut self,
        told: Option<TargetStart>,
        now: Instant,
    ) -> Vec<DeskAction> {
        if !self.takes_start(told) {
            return Vec::new();
        }
        self.report_due = Some(now);
        self.begin_anew(now)
    }

    /// Takes over which start of the engine this is; true if an earlier one was known.
    pub(super) fn takes_start(
        &mut self,
        told: Option<TargetStart>,
    ) -> bool {
        let known = self.started;
        if told <= known {
            return false;
        }
        self.started = told;
        known.is_some()
    }

    /// True if a report was made by an earlier start than the one that is known.
    pub(super) fn is_before_last_start(
        &self,
        report: &TargetReport,
    ) -> bool {
        report.started.is_some() && report.started < self.started
    }

    /// The orders that may still reach the engine when this desk closes.
    pub fn into_late_orders(
        mut self,
        now: Instant,
    ) -> LateOrders {
        if let Some(order) = self.under_way.take() {
            self.late_orders.note(order, now);
        }
        // The next desk knows nothing of what the engine has taken meanwhile.
        self.late_orders.on_new_start();
        self.late_orders
    }

    /// Orders of an earlier desk of this engine may still reach it.
    pub fn set_late_orders(
        &mut self,
        late_orders: LateOrders,
    ) {
        self.late_orders = late_orders;
    }

    /// Forgets what the earlier start held and had taken.
    ///
    /// Whoever waits for an adapter here is told to ask elsewhere: the base model must come first, and that
    /// takes longer than most requests can wait.
    pub(super) fn begin_anew(
        &mut self,
        now: Instant,
    ) -> Vec<DeskAction> {
        let mut actions = self.tell_gone();
        actions.extend(self.turn_wishes_away());
        self.places.clear();
        self.usage = EngineUse::default();
        self.memory = LoadMemory::new(self.spec.adapter_slots * REMEMBERED_PER_PLACE);
        self.models_at_hand.clear();
        self.model = None;
        self.model_not_before = now;
        self.busy = false;
        self.unresponsive_until = None;
        self.unsettled = None;
        self.under_way_is_of_earlier_start = self.under_way.is_some();
        self.late_orders.on_new_start();
        self.sequence = None;
        self.count_room();
        self.tell_desks();
        actions
    }

    /// Tells all that no adapter is there any more. One that is only told to be absent would count as held lately,
    /// and so as loaded again in a moment, which this start can't do.
    fn tell_gone(&self) -> Vec<DeskAction> {
        let gone = self
            .places
            .iter()
            .map(|(adapter, place)| DeskAction::Announce {
                interested: place.interested.iter().copied().collect(),
                placement: self.placement_to_come(adapter, place.version, PlacementState::Full),
            });
        gone.collect()
    }

    /// An order ended that was given to an earlier start: either start may have taken it.
    pub(super) fn on_earlier_starts_order_end(
        &mut self,
        order: DeskOrder,
        reply: Option<OrderReply>,
        now: Instant,
    ) -> Vec<DeskAction> {
        if reply.is_none() {
            self.late_orders.note(order, now);
            self.late_orders.on_new_start();
        }
        self.learn_anew(now);
        Vec::new()
    }
}
