use {
    super::{Action, Control, ControlEvent, Input, LoadGrant, SharedView},
    crate::{
        clock::Instant,
        process::{
            loads::LoadRequestId,
            node::ActionRunner,
            target::{Admission, TicketId},
        },
        version::AdapterVersion,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// Time between two passages of time for the control state.
const TICK: Duration = Duration::from_millis(50);

/// Runs the control state: takes events in one by one and hands its actions on.
pub struct ControlThread {
    control: Control,
    runner: ActionRunner,
    events: flume::Receiver<ControlEvent>,
    view: SharedView,
    admissions: HashMap<TicketId, oneshot::Sender<Admission>>,
    asks: HashMap<LoadRequestId, oneshot::Sender<Option<LoadRequestId>>>,
    grants: HashMap<(String, AdapterVersion), LoadGrant>,
    next_ask: u64,
}

impl ControlThread {
    pub fn new(
        control: Control,
        runner: ActionRunner,
        events: flume::Receiver<ControlEvent>,
        view: SharedView,
    ) -> Self {
        Self {
            control,
            runner,
            events,
            view,
            admissions: HashMap::new(),
            asks: HashMap::new(),
            grants: HashMap::new(),
            next_ask: 1,
        }
    }

    /// Runs until told to stop.
    pub fn run(mut self) {
        let mut next_tick = Instant::now();
        loop {
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK;
                self.input(Input::Tick);
            }
            if self.control.take_changed() {
                let view = self.control.view();
                self.view.store(Arc::new(view));
            }
            match self.events.recv_timeout(next_tick - Instant::now()) {
                Ok(ControlEvent::Stop) => return,
                Ok(event) => self.on_event(event),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn on_event(
        &mut self,
        event: ControlEvent,
    ) {
        match event {
            ControlEvent::Input(input) => self.input(input),
            ControlEvent::Admit {
                target,
                ticket,
                reply,
            } => {
                self.admissions.insert(ticket.id, reply);
                self.input(Input::Arrival { target, ticket });
            }
            ControlEvent::AskLoad { ask, reply } => {
                let id = LoadRequestId(self.next_ask);
                self.next_ask += 1;
                self.asks.insert(id, reply);
                self.input(Input::LoadAsked { id, ask });
            }
            ControlEvent::LoadAnswer {
                target,
                model,
                grant,
            } => self.on_load_answer(target, model, grant),
            ControlEvent::Heartbeat {
                heard,
                rumors,
                reply,
            } => {
                self.input(Input::Heartbeat { heard, rumors });
                let own = (self.control.heartbeat(), self.control.take_rumors());
                let _ = reply.send(own);
            }
            ControlEvent::Status { reply } => {
                let _ = reply.send(self.control.status(Instant::now()));
            }
            ControlEvent::Snapshot { known, reply } => {
                let _ = reply.send(self.control.snapshot(known));
            }
            ControlEvent::Stop => {}
        }
    }

    fn on_load_answer(
        &mut self,
        target: String,
        model: AdapterVersion,
        grant: Option<LoadGrant>,
    ) {
        let granted = grant.is_some();
        if let Some(grant) = grant {
            let key = (target.clone(), model.clone());
            if let Some(old) = self.grants.insert(key, grant) {
                self.runner.release(old);
            }
        }
        let owned = self.control.owns(&target);
        self.input(Input::LoadAnswer {
            target: target.clone(),
            model: model.clone(),
            granted,
        });
        if !owned {
            self.release(target, model);
        }
    }

    fn input(
        &mut self,
        input: Input,
    ) {
        if let Input::End { ticket, .. } = &input {
            self.admissions.remove(ticket);
        }
        for action in self.control.on(input, Instant::now()) {
            self.act(action);
        }
    }

    fn act(
        &mut self,
        action: Action,
    ) {
        match action {
            Action::Answer { ticket, admission } => {
                if let Some(reply) = self.admissions.remove(&ticket) {
                    let _ = reply.send(admission);
                }
            }
            Action::AnswerLoad { ask, granted } => {
                let reply = self.asks.remove(&ask);
                let heard = reply.is_some_and(|reply| reply.send(granted.then_some(ask)).is_ok());
                if granted && !heard {
                    self.input(Input::LoadReleased { ask });
                }
            }
            Action::ReleaseLoad { target, model } => self.release(target, model),
            Action::Membership(action) => {
                let own = (self.control.heartbeat(), self.control.take_rumors());
                self.runner.membership(action, own);
            }
            Action::Ownership(action) => self.runner.ownership(action),
            Action::AskLoad {
                target,
                model,
                score,
            } => self.runner.ask_load(target, model, score),
            Action::Order {
                target,
                fence,
                term,
                order,
            } => self.runner.order(target, fence, term, order),
            Action::ReadConfig => self.runner.read_config(),
            Action::FetchSnapshot { host } => {
                let known = self.control.revision();
                self.runner.fetch_snapshot(host, known);
            }
            Action::NoticeHandover {
                host,
                target,
                fence,
            } => self.runner.notice_handover(host, target, fence),
        }
    }

    fn release(
        &mut self,
        target: String,
        model: AdapterVersion,
    ) {
        if let Some(grant) = self.grants.remove(&(target, model)) {
            self.runner.release(grant);
        }
    }
}
