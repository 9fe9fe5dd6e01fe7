use {
    crate::{
        clock::Instant,
        connection::{
            http1::{HttpConnection, ResponseHead},
            targets::{RequestTokens, TargetIncarnation, TargetLink, TargetTable},
        },
        formats::{HeaderNames, SoftwareVersion, TargetStart},
        request::{direct::CallRequest, notices::NoticeHeaders, pace::PrefillSample},
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
};

/// Priority of the requests that engines admit before all others.
pub(super) const HIGHEST_PRIORITY: u8 = 0;

/// A request that may run at a target; counted there until dropped.
pub struct InFlightRequest {
    table: Rc<RefCell<TargetTable>>,
    target: Arc<str>,
    incarnation: Option<TargetStart>,
    software: Option<SoftwareVersion>,
    adapter: Option<String>,
    tokens: RequestTokens,
    /// True until the first byte of the answer arrives.
    is_prompt_unread: Cell<bool>,
}

impl InFlightRequest {
    pub fn start(
        table: &Rc<RefCell<TargetTable>>,
        request: &CallRequest,
        target: &Arc<str>,
    ) -> Self {
        let generation = request.generation.as_ref();
        let adapter = generation.and_then(|generation| generation.adapter());
        let incarnation = table.borrow().incarnation(target);
        let tokens = generation.map_or(RequestTokens::default(), |generation| RequestTokens {
            all: u64::from(generation.tokens_in) + u64::from(generation.tokens_out),
            prompt: table
                .borrow_mut()
                .send_prompt(target, generation, Instant::now()),
        });
        table.borrow_mut().start_request(target, adapter, tokens);
        Self {
            table: table.clone(),
            target: target.clone(),
            incarnation,
            software: table.borrow().software_of(target).cloned(),
            adapter: adapter.map(str::to_string),
            tokens,
            is_prompt_unread: Cell::new(true),
        }
    }

    /// Applies a change to the target's link, unless the target is gone or has a new incarnation.
    fn with_link(
        &self,
        change: impl FnOnce(&mut TargetLink),
    ) {
        let mut table = self.table.borrow_mut();
        let link = table.links.get_mut(&self.target);
        if let Some(link) = link.filter(|link| link.view.record.started == self.incarnation) {
            change(link);
        }
    }

    /// Returns true if the target still has the incarnation that the request was sent to.
    pub fn has_same_incarnation(&self) -> bool {
        let table = self.table.borrow();
        let link = table.links.get(&self.target);
        link.is_some_and(|link| link.view.record.started == self.incarnation)
    }

    /// Records that bytes have arrived from the target.
    pub fn on_received(&self) {
        self.with_link(|link| link.on_received(Instant::now()));
    }

    /// Records what the head of an answer announces; `sent` is the time of the request.
    pub fn on_head(
        &self,
        names: &HeaderNames,
        head: &ResponseHead,
        sent: Instant,
    ) {
        self.on_received();
        let notice = NoticeHeaders {
            names,
            status: head.status,
            headers: &head.headers,
        };
        let mut table = self.table.borrow_mut();
        let (target, incarnation) = (&self.target, self.incarnation);
        table.on_answer_notices(target, incarnation, &notice, sent, Instant::now());
    }

    /// Records that the target has read the prompt: the answer has started, or none will come.
    pub fn on_prefill_done(&self) {
        if !self.is_prompt_unread.replace(false) {
            return;
        }
        self.with_link(|link| link.on_prefill_done(self.tokens));
        if self.tokens.prompt > 0 {
            self.table.borrow_mut().report_prefill_done(&self.target);
        }
    }

    /// Samples the engine's pace; `backlog` is the number of prompt tokens that were queued when the request was sent. An engine
    /// that was silent meanwhile has not read all the time.
    pub fn sample_prefill(
        &self,
        request: &CallRequest,
        backlog: u64,
        time: Duration,
    ) {
        if self.was_unresponsive(time) {
            return;
        }
        let mut table = self.table.borrow_mut();
        let prompt = self.tokens.prompt;
        let policy = table.policy();
        let service = &request.service.name;
        if backlog == 0 {
            let throughput = table.prefill_throughput(service);
            throughput.on_first_event(prompt, time);
        }
        if !policy.learns_pace || !table.is_large_site() {
            return;
        }
        // An urgent request overtakes the backlog, so that its wait tells little of the time that the backlog takes.
        if backlog > 0 && policy.ranks_backlog && request.urgency == HIGHEST_PRIORITY {
            return;
        }
        let sample = PrefillSample {
            tokens: backlog + prompt,
            time,
        };
        table.prefill_throughput(service).on_sample(&sample);
        drop(table);
        self.with_link(|link| link.pace_samples.add(&sample));
    }

    /// Returns true if the target was unresponsive within the last `time`.
    fn was_unresponsive(
        &self,
        time: Duration,
    ) -> bool {
        let since = Instant::now() - time;
        let table = self.table.borrow();
        let link = table.links.get(&self.target);
        link.is_some_and(|link| link.check.was_unresponsive_since(since))
    }

    /// Returns an idle connection to the target, or its address if there is none; `None` if the target is gone.
    pub fn idle_connection(
        &self,
        request_id: &[u8],
    ) -> Option<Result<HttpConnection, SocketAddr>> {
        let mut table = self.table.borrow_mut();
        let link = table.links.get_mut(&self.target)?;
        let idle = link.take_idle(request_id, Instant::now());
        Some(idle.ok_or(link.view.record.address))
    }

    pub fn target(&self) -> &str {
        &self.target
    }

    /// Returns the version of the target's software; `None` if the target was gone when the request was sent.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        self.software.as_ref()
    }

    pub fn target_incarnation(&self) -> TargetIncarnation {
        (self.target.clone(), self.incarnation)
    }

    pub fn table(&self) -> &Rc<RefCell<TargetTable>> {
        &self.table
    }

    /// Records that the target has answered.
    pub fn record_success(&self) {
        self.with_link(|link| link.health.on_success());
    }

    /// Records that no connection opened, or that one ended without an answer.
    pub fn record_failure(&self) {
        self.with_link(|link| link.health.on_failure(Instant::now()));
    }

    /// Returns the connection of a finished exchange to the pool of idle ones.
    pub fn release(
        &self,
        connection: HttpConnection,
        idle_limit: Option<Duration>,
    ) {
        self.with_link(|link| link.put_idle(connection, idle_limit, Instant::now()));
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.on_prefill_done();
        self.with_link(|link| link.end(self.adapter.as_deref(), self.tokens));
    }
}
