//! The desk's part that takes in what orders and reports have brought.

use {
    super::{
        AdapterPlace, DeskAction, DeskOrder, EngineDesk, OrderPurpose, PlaceState,
        engine_desk::{REPORT_LAG, key},
        load_limiter::LOAD_TIME,
    },
    crate::{
        clock::Instant,
        connection::datagram::PlacementState,
        formats::{OrderKind, OrderReply, TargetReport},
    },
    std::time::Duration,
};

/// Pause before a load that was found not to be over is looked at again, as a share of its time so far.
const LOOK_SHARE: f64 = 0.08;

const LEAST_LOOK_PAUSE: Duration = Duration::from_millis(14);

/// A load that is not over after so long is looked up in the engine's report.
const LOAD_OVERDUE: Duration = Duration::from_millis(1500);

/// Sends of one order that gets no answer, before the engine's report is asked for.
const MAX_TRIES: u32 = 4;

/// Sends of one order that get no answer, after which the engine is thought to leave more unanswered.
const UNANSWERED_TRIES: u32 = 2;

/// An engine that leaves orders unanswered is not asked for adapters for so long.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(2);

/// Pause before a report is asked for again that did not come.
const REPORT_RETRY: Duration = Duration::from_millis(500);

/// Time that an adapter takes which the engine held lately.
const RELOAD_TIME: Duration = Duration::from_millis(27);

impl EngineDesk {
    /// The engine's report was asked for at `asked`; `None` if none came.
    pub fn on_report(
        &mut self,
        report: Option<TargetReport>,
        now: Instant,
    ) -> Vec<DeskAction> {
        let asked = self.report_asked.take();
        let Some(report) = report else {
            self.report_due = Some(now + REPORT_RETRY);
            return Vec::new();
        };
        if self.is_before_last_start(&report) {
            self.report_due = Some(now + REPORT_LAG);
            return Vec::new();
        }
        let mut actions = match self.takes_start(report.started) {
            true => self.begin_anew(now),
            false => Vec::new(),
        };
        // An order since then would make the report contradict what is known.
        if self.under_way.is_some() || asked.is_none() {
            self.report_due = Some(now + REPORT_LAG);
            return actions;
        }
        self.sequence = Some(report.sequence);
        self.busy = report.busy;
        self.models_at_hand.clone_from(&report.at_hand);
        // Once the engine has taken another order, one from before is void.
        self.unsettled = self
            .unsettled
            .take()
            .filter(|order| order.expected_sequence == report.sequence);
        self.model = report.models.first().map(|model| model.name.clone());
        let came = self.take_places(&report, now);
        self.count_room();
        if !report.busy && !report.coming.is_empty() {
            self.report_due = Some(now + LOAD_OVERDUE);
        }
        let came = came
            .iter()
            .filter_map(|adapter| self.announce(adapter, now));
        actions.extend(came);
        actions.extend(self.next_orders(now));
        actions
    }

    /// The order under way was answered; `None` if it was not.
    pub fn on_order_end(
        &mut self,
        reply: Option<OrderReply>,
        now: Instant,
    ) -> Vec<DeskAction> {
        let Some(order) = self.under_way.take() else {
            return Vec::new();
        };
        if std::mem::take(&mut self.under_way_is_of_earlier_start) {
            return self.on_earlier_starts_order_end(order, reply, now);
        }
        match reply {
            Some(reply @ (OrderReply::Accepted | OrderReply::Done)) => match order.purpose {
                OrderPurpose::Change => self.on_order_taken(&order, reply, now),
                OrderPurpose::Look => self.on_look(&order, reply, now),
            },
            Some(_) => {
                self.forget_ordered(&order);
                self.learn_anew(now);
                Vec::new()
            }
            None => self.on_unanswered(order, now),
        }
    }

    /// An order without an answer may be carried out at any time, as long as the engine has taken no
    /// other since. The same order again settles that: if it is accepted, the first is void.
    pub(super) fn on_unanswered(
        &mut self,
        order: DeskOrder,
        now: Instant,
    ) -> Vec<DeskAction> {
        self.late_orders.note(order.clone(), now);
        if order.purpose == OrderPurpose::Look {
            self.postpone_look(&order, now);
            return Vec::new();
        }
        self.unsettled = Some(order.clone());
        let mut actions = Vec::new();
        if order.tries >= UNANSWERED_TRIES {
            self.unresponsive_until = Some(now + UNRESPONSIVE_PAUSE);
            actions.extend(self.turn_wishes_away());
        }
        if order.tries >= MAX_TRIES {
            self.learn_anew(now);
            return actions;
        }
        let again = DeskOrder {
            tries: order.tries + 1,
            ..order
        };
        self.under_way = Some(again.clone());
        actions.push(DeskAction::Order(again));
        actions
    }

    /// Tells all who wait for adapters that are not ordered yet to ask elsewhere.
    pub(super) fn turn_wishes_away(&mut self) -> Vec<DeskAction> {
        let mut actions = Vec::new();
        for (adapter, wish) in std::mem::take(&mut self.wishes) {
            let placement = self.placement_to_come(&adapter, wish.version, PlacementState::Full);
            let tell = |host| DeskAction::Tell {
                host,
                placement: placement.clone(),
            };
            actions.extend(wish.waiting.into_keys().map(tell));
        }
        actions
    }

    pub(super) fn postpone_look(
        &mut self,
        order: &DeskOrder,
        now: Instant,
    ) {
        let adapter = key(&order.model, order.adapter.as_deref().unwrap_or_default());
        let Some(place) = self.places.get_mut(&adapter) else {
            return;
        };
        if let PlaceState::Coming { since, .. } = place.state {
            let due = now + LEAST_LOOK_PAUSE;
            place.state = PlaceState::Coming { since, due };
        }
    }

    /// The order was not sent after all.
    pub fn on_order_withheld(&mut self) {
        self.under_way_is_of_earlier_start = false;
        if let Some(order) = self.under_way.take() {
            self.forget_ordered(&order);
        }
    }

    /// The engine told whether a load is over.
    pub(super) fn on_look(
        &mut self,
        order: &DeskOrder,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<DeskAction> {
        let adapter = key(&order.model, order.adapter.as_deref().unwrap_or_default());
        let mut actions = Vec::new();
        if let Some(place) = self.places.get_mut(&adapter) {
            let since = match place.state {
                PlaceState::Coming { since, .. } => since,
                _ => now,
            };
            let passed = now.saturating_duration_since(since);
            if reply == OrderReply::Done {
                place.state = PlaceState::Held;
                // Those who waited for it send their requests now.
                place.last_used = now;
                self.note_load_time(passed);
                actions.push(DeskAction::LoadOver {
                    adapter: adapter.clone(),
                    time: passed,
                });
                actions.extend(self.announce(&adapter, now));
            } else {
                let pause = passed.mul_f64(LOOK_SHARE).max(LEAST_LOOK_PAUSE);
                place.state = PlaceState::Coming {
                    since,
                    due: now + pause,
                };
            }
        }
        actions.extend(self.next_orders(now));
        actions
    }

    /// Loads of what the engine held lately tell nothing of the weight store.
    pub(super) fn note_load_time(
        &mut self,
        time: Duration,
    ) {
        if time >= LOAD_TIME.mul_f64(0.8) {
            self.shared.limiter.borrow_mut().on_load(time);
        }
    }

    pub(super) fn on_order_taken(
        &mut self,
        order: &DeskOrder,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<DeskAction> {
        // An order from before that has no answer expected another sequence: it is void now.
        self.unsettled = None;
        let counts = reply == OrderReply::Accepted || order.kind == OrderKind::Unload;
        if counts {
            self.sequence = self.sequence.map(|sequence| sequence + 1);
        }
        let mut actions = Vec::new();
        match (&order.adapter, order.kind) {
            (None, OrderKind::Load) => {
                self.busy = reply == OrderReply::Accepted;
                self.report_due = Some(now + self.base_load_time(&order.model) + REPORT_LAG);
            }
            (None, OrderKind::Unload) => self.learn_anew(now),
            (Some(adapter), OrderKind::Load) => {
                let key = key(&order.model, adapter);
                actions.extend(self.on_load_taken(&key, order.version.unwrap_or(1), reply, now));
            }
            (Some(adapter), OrderKind::Unload) => {
                let key = key(&order.model, adapter);
                if reply == OrderReply::Done {
                    self.places.remove(&key);
                } else {
                    // It waits for requests that were not known here.
                    self.busy = true;
                }
            }
        }
        actions.extend(self.next_orders(now));
        actions
    }

    pub(super) fn on_load_taken(
        &mut self,
        adapter: &str,
        version: u64,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<DeskAction> {
        let time = match self.memory.contains(adapter, version) {
            true => RELOAD_TIME,
            // Looked at from the earliest end on: who looks late finds every load slow.
            false => LOAD_TIME,
        };
        self.memory.note(adapter, version);
        let Some(place) = self.places.get_mut(adapter) else {
            return Vec::new();
        };
        place.state = match reply {
            OrderReply::Done => PlaceState::Held,
            _ => PlaceState::Coming {
                since: now,
                due: now + time,
            },
        };
        self.announce(adapter, now).into_iter().collect()
    }

    /// Time that a base model takes from the weight store.
    fn base_load_time(
        &self,
        model: &str,
    ) -> Duration {
        let model = self.spec.model(model);
        model.map_or(LOAD_OVERDUE, |model| model.load_time)
    }

    /// What was ordered did not come about.
    pub(super) fn forget_ordered(
        &mut self,
        order: &DeskOrder,
    ) {
        let Some(adapter) = &order.adapter else {
            return;
        };
        if order.purpose == OrderPurpose::Look {
            return;
        }
        let key = key(&order.model, adapter);
        match order.kind {
            OrderKind::Load => {
                self.places.remove(&key);
            }
            OrderKind::Unload => {
                if let Some(place) = self.places.get_mut(&key) {
                    place.state = PlaceState::Held;
                }
            }
        }
    }

    /// The engine's report is asked for, once it shows what was just done.
    pub(super) fn learn_anew(
        &mut self,
        now: Instant,
    ) {
        self.sequence = None;
        self.report_due = Some(now + REPORT_LAG);
    }

    /// Takes over what a report says; what is known besides is kept. Gives the adapters that were on
    /// their way and are there.
    pub(super) fn take_places(
        &mut self,
        report: &TargetReport,
        now: Instant,
    ) -> Vec<String> {
        let mut came = Vec::new();
        let mut old = std::mem::take(&mut self.places);
        for model in &report.models {
            for held in &model.adapters {
                let key = key(&model.name, &held.name);
                self.memory.note(&key, held.version);
                let mut place = old
                    .remove(&key)
                    .unwrap_or_else(|| AdapterPlace::new(held.version, PlaceState::Held, now));
                place.version = held.version;
                if matches!(place.state, PlaceState::Coming { .. }) {
                    place.last_used = now;
                    came.push(key.clone());
                }
                if place.state != PlaceState::Going {
                    place.state = PlaceState::Held;
                }
                self.places.insert(key, place);
            }
        }
        for (model, name, version) in &report.coming {
            let key = key(model, name);
            let coming = PlaceState::Coming {
                since: now,
                due: now + LOAD_TIME,
            };
            let mut place = self
                .places
                .remove(&key)
                .or_else(|| old.remove(&key))
                .unwrap_or_else(|| {
                    // A holder before ordered it: from where is not told, so it counts for the limit.
                    let mut place = AdapterPlace::new(*version, coming, now);
                    place.from_store = !self.memory.contains(&key, *version);
                    place
                });
            place.version = *version;
            if !matches!(place.state, PlaceState::Coming { .. }) {
                place.state = coming;
            }
            self.places.insert(key, place);
        }
        came
    }

    pub(super) fn count_room(&mut self) {
        let model = self.model.as_deref().and_then(|name| self.spec.model(name));
        self.room = model.map_or(0, |model| self.spec.adapter_room(model));
    }
}
