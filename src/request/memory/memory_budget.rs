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

/// Identifies a caller's connection.
pub type ConnectionId = u64;

/// What is held for one caller's connection, and since when the caller has made no progress.
#[derive(Debug)]
struct HeldConnection {
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

impl HeldConnection {
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
    connections: BTreeMap<ConnectionId, HeldConnection>,
    next_id: ConnectionId,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            held: 0,
            by_use: [0; MemoryUse::ALL.len()],
            connections: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Returns the limits that decide on room and pressure.
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

    /// Returns the pressure at what is held now.
    pub fn pressure(&self) -> Pressure {
        self.limits.pressure(self.held)
    }

    /// Adds a caller's connection.
    pub fn add_connection(
        &mut self,
        now: Instant,
    ) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        let connection = HeldConnection {
            stage: CallerStage::Idle,
            bytes: 0,
            unread: 0,
            progress_at: now,
            received: 0,
            cut: None,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection for which nothing is held any more.
    pub fn remove_connection(
        &mut self,
        id: ConnectionId,
    ) {
        let connection = self.connections.remove(&id);
        debug_assert!(connection.is_none_or(|connection| connection.bytes == 0));
    }

    /// Records what is waited for on a connection from now on. A cut that has not taken effect yet is void.
    pub fn set_stage(
        &mut self,
        id: ConnectionId,
        stage: CallerStage,
        now: Instant,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.stage = stage;
        connection.progress_at = now;
        connection.received = 0;
        connection.cut = None;
    }

    /// Records that bytes of a request's body have arrived.
    pub fn on_received(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.received += bytes;
        if connection.received >= MIN_PROGRESS_BYTES {
            connection.received = 0;
            connection.progress_at = now;
        }
    }

    /// Returns true if `bytes` more may be held for this use.
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
        id: ConnectionId,
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
        id: ConnectionId,
        bytes: u64,
        now: Instant,
    ) -> bool {
        let has_read_all = self
            .connections
            .get(&id)
            .is_none_or(|connection| connection.unread == 0);
        if has_read_all {
            self.reserve(id, MemoryUse::Piece, bytes, now);
            return true;
        }
        self.try_reserve(id, MemoryUse::Piece, bytes, now)
    }

    /// Counts memory that is held already, also beyond the bound.
    pub fn reserve(
        &mut self,
        id: ConnectionId,
        purpose: MemoryUse,
        bytes: u64,
        now: Instant,
    ) {
        self.held += bytes;
        self.by_use[purpose as usize] += bytes;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.bytes += bytes;
        if purpose.is_read_by_caller() {
            if connection.unread == 0 {
                // Until now the caller had nothing to read.
                connection.progress_at = now;
            }
            connection.unread += bytes;
        }
    }

    /// Returns memory. For what the caller reads, that is its progress.
    pub fn release(
        &mut self,
        id: ConnectionId,
        purpose: MemoryUse,
        bytes: u64,
        now: Instant,
    ) {
        self.held -= bytes;
        self.by_use[purpose as usize] -= bytes;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.bytes -= bytes;
        if purpose.is_read_by_caller() {
            connection.unread -= bytes;
            connection.progress_at = now;
        }
    }

    /// Records that this process itself was suspended: callers could make no progress meanwhile.
    pub fn on_pause(
        &mut self,
        pause: Duration,
    ) {
        for connection in self.connections.values_mut() {
            connection.progress_at += pause;
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
        let mut candidates = self.stalled_connections(now);
        candidates.sort_by_key(|(_, cut)| (cut.is_last_resort, Reverse(cut.held), cut.connection));
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
            if let Some(connection) = self.connections.get_mut(&cut.connection) {
                connection.cut = Some(cut.kind);
            }
        }
        cuts
    }

    /// Returns the callers that may be cut, each with whether it is cut whatever the pressure.
    fn stalled_connections(
        &self,
        now: Instant,
    ) -> Vec<(bool, MemoryCut)> {
        let pressure = self.pressure();
        let stalled = self.connections.iter().filter_map(|(id, connection)| {
            let kind = connection
                .cut_kind()
                .filter(|kind| connection.cut < Some(*kind))?;
            let stalled = now.saturating_duration_since(connection.progress_at);
            let is_due = connection.is_unread_stream() && stalled >= STREAM_STALL_LIMIT;
            let is_too_long = pressure.stall_limit().is_some_and(|limit| stalled >= limit);
            // An idle connection holds little; it goes only when new requests find no room.
            let may_relieve = kind != CutKind::Close || pressure == Pressure::Full;
            let cut = MemoryCut {
                connection: *id,
                kind,
                held: connection.bytes,
                stalled,
                is_last_resort: connection.is_last_resort(),
            };
            (is_due || (is_too_long && may_relieve)).then_some((is_due, cut))
        });
        stalled.collect()
    }
}
