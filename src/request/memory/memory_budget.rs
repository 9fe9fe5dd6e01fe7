use {
    super::{CallerStage, CutKind, MemoryCut, MemoryLimits, MemoryUse, Pressure},
    crate::clock::Instant,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Bytes of a body that count as progress: a caller that sends single bytes holds its memory as long as one that sends
/// nothing.
const MIN_PROGRESS_BYTES: usize = 1024;

/// Time after which a stream is cut whose caller takes no piece, whatever the pressure. Targets cut an answer that is
/// left unread for some seconds, and callers give up a silent stream after 2 s.
const STREAM_STALL_LIMIT: Duration = Duration::from_secs(2);

/// Names a caller's connection.
pub type HolderId = u64;

/// What is held for one caller's connection, and since when the caller has made no progress.
#[derive(Debug)]
struct Holder {
    stage: CallerStage,
    /// Bytes of all uses.
    bytes: u64,
    /// Bytes that the caller frees by reading.
    unread: u64,
    progress_at: Instant,
    /// Bytes of the body since the last progress.
    received: usize,
    cut: Option<CutKind>,
}

impl Holder {
    /// Returns how the caller can be cut, or `None` if the caller is not the one who is waited for.
    fn cut_kind(&self) -> Option<CutKind> {
        match self.stage {
            CallerStage::SendsBody => Some(CutKind::Reject),
            CallerStage::AwaitsRoom | CallerStage::AwaitsAnswer => None,
            CallerStage::Answered { .. } if self.unread > 0 => Some(CutKind::Reset),
            CallerStage::Idle | CallerStage::Answered { .. } => Some(CutKind::Close),
        }
    }

    /// Returns true if the request may have run, and may not be repeated.
    fn is_last_resort(&self) -> bool {
        let stage = self.stage;
        let may_repeat = !matches!(
            stage,
            CallerStage::Answered {
                repeatable: false,
                ..
            }
        );
        !may_repeat && self.unread > 0
    }

    fn is_unread_stream(&self) -> bool {
        matches!(self.stage, CallerStage::Answered { streams: true, .. }) && self.unread > 0
    }
}

/// Counts the bytes held for callers, and decides who gets memory and who is cut.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    held: u64,
    by_use: [u64; MemoryUse::ALL.len()],
    holders: BTreeMap<HolderId, Holder>,
    next_id: HolderId,
}

impl MemoryBudget {
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            held: 0,
            by_use: [0; MemoryUse::ALL.len()],
            holders: BTreeMap::new(),
            next_id: 0,
        }
    }

    pub fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the bytes that are held for a use.
    pub fn held_for(
        &self,
        purpose: MemoryUse,
    ) -> u64 {
        self.by_use[purpose as usize]
    }

    pub fn pressure(&self) -> Pressure {
        self.limits.pressure(self.held)
    }

    /// Adds a caller's connection.
    pub fn add_holder(
        &mut self,
        now: Instant,
    ) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder {
            stage: CallerStage::Idle,
            bytes: 0,
            unread: 0,
            progress_at: now,
            received: 0,
            cut: None,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a connection for which nothing is held any more.
    pub fn remove_holder(
        &mut self,
        id: HolderId,
    ) {
        let holder = self.holders.remove(&id);
        debug_assert!(holder.is_none_or(|holder| holder.bytes == 0));
    }

    /// Records what is waited for on a connection from now on. A cut that has not taken effect yet is void.
    pub fn set_stage(
        &mut self,
        id: HolderId,
        stage: CallerStage,
        now: Instant,
    ) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.stage = stage;
        holder.progress_at = now;
        holder.received = 0;
        holder.cut = None;
    }

    /// Records that bytes of a request's body have arrived.
    pub fn on_received(
        &mut self,
        id: HolderId,
        bytes: usize,
        now: Instant,
    ) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.received += bytes;
        if holder.received >= MIN_PROGRESS_BYTES {
            holder.received = 0;
            holder.progress_at = now;
        }
    }

    /// Returns true if so many bytes more may be held for this use.
    pub fn has_room(
        &self,
        purpose: MemoryUse,
        bytes: u64,
    ) -> bool {
        bytes == 0 || self.held + bytes <= self.limits.bound(purpose)
    }

    /// Reserves memory if there is room for it.
    pub fn try_reserve(
        &mut self,
        id: HolderId,
        purpose: MemoryUse,
        bytes: u64,
        now: Instant,
    ) -> bool {
        let has_room = self.has_room(purpose, bytes);
        if has_room {
            self.reserve(id, purpose, bytes, now);
        }
        has_room
    }

    /// Reserves memory for a piece of an answer. A caller that has taken all earlier pieces always gets the next one.
    pub fn try_reserve_piece(
        &mut self,
        id: HolderId,
        bytes: u64,
        now: Instant,
    ) -> bool {
        let has_read_all = self
            .holders
            .get(&id)
            .is_none_or(|holder| holder.unread == 0);
        if has_read_all {
            self.reserve(id, MemoryUse::Piece, bytes, now);
            return true;
        }
        self.try_reserve(id, MemoryUse::Piece, bytes, now)
    }

    /// Counts memory that is held already, also beyond the bound.
    pub fn reserve(
        &mut self,
        id: HolderId,
        purpose: MemoryUse,
        bytes: u64,
        now: Instant,
    ) {
        self.held += bytes;
        self.by_use[purpose as usize] += bytes;
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.bytes += bytes;
        if purpose.is_read_by_caller() {
            if holder.unread == 0 {
                // Until now the caller had nothing to read.
                holder.progress_at = now;
            }
            holder.unread += bytes;
        }
    }

    /// Returns memory. For what the caller reads, that is its progress.
    pub fn release(
        &mut self,
        id: HolderId,
        purpose: MemoryUse,
        bytes: u64,
        now: Instant,
    ) {
        self.held -= bytes;
        self.by_use[purpose as usize] -= bytes;
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.bytes -= bytes;
        if purpose.is_read_by_caller() {
            holder.unread -= bytes;
            holder.progress_at = now;
        }
    }

    /// Records that this process itself stood still: callers could make no progress meanwhile.
    pub fn on_pause(
        &mut self,
        pause: Duration,
    ) {
        for holder in self.holders.values_mut() {
            holder.progress_at += pause;
        }
    }

    /// Returns the callers to cut now, the one that holds most first.
    ///
    /// Under pressure these are callers without progress, until enough memory will be free; one whose request may have
    /// run and may not be repeated only if there is no other. Streams that are not read for long are always cut, for
    /// the sake of their targets.
    pub fn choose_cuts(
        &mut self,
        now: Instant,
    ) -> Vec<MemoryCut> {
        let mut candidates = self.stalled_holders(now);
        candidates.sort_by_key(|(_, cut)| (cut.is_last_resort, Reverse(cut.held), cut.holder));
        let has_other = candidates
            .iter()
            .any(|(is_due, cut)| !is_due && !cut.is_last_resort);
        let mut held = self.held;
        let mut cuts = Vec::new();
        for (is_due, cut) in candidates {
            let relieves = held >= self.limits.pressed_from();
            if !is_due && (!relieves || (cut.is_last_resort && has_other)) {
                continue;
            }
            held = held.saturating_sub(cut.held);
            cuts.push(cut);
        }
        for cut in &cuts {
            if let Some(holder) = self.holders.get_mut(&cut.holder) {
                holder.cut = Some(cut.kind);
            }
        }
        cuts
    }

    /// Returns the callers that may be cut, each with whether it is cut whatever the pressure.
    fn stalled_holders(
        &self,
        now: Instant,
    ) -> Vec<(bool, MemoryCut)> {
        let pressure = self.pressure();
        let stalled = self.holders.iter().filter_map(|(id, holder)| {
            let kind = holder.cut_kind().filter(|kind| holder.cut < Some(*kind))?;
            let stalled = now.saturating_duration_since(holder.progress_at);
            let is_due = holder.is_unread_stream() && stalled >= STREAM_STALL_LIMIT;
            let is_too_long = pressure.stall_limit().is_some_and(|limit| stalled >= limit);
            // An idle connection holds little; it goes only when new requests find no room.
            let may_relieve = kind != CutKind::Close || pressure == Pressure::Full;
            let cut = MemoryCut {
                holder: *id,
                kind,
                held: holder.bytes,
                stalled,
                is_last_resort: holder.is_last_resort(),
            };
            (is_due || (is_too_long && may_relieve)).then_some((is_due, cut))
        });
        stalled.collect()
    }
}
