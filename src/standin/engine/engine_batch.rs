use {crate::clock::Instant, std::cmp::Reverse, tokio::sync::oneshot};

/// The slots of a continuous batch; higher priorities get a free slot first.
#[derive(Debug)]
pub struct EngineBatch {
    slots: usize,
    running: usize,
    waiting: Vec<Waiting>,
    arrivals: u64,
    changed: Instant,
    busy_slot_ms: f64,
    busy_ms: f64,
}

#[derive(Debug)]
struct Waiting {
    priority: u32,
    arrival: u64,
    wake: oneshot::Sender<()>,
}

impl EngineBatch {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: 0,
            waiting: Vec::new(),
            arrivals: 0,
            changed: Instant::now(),
            busy_slot_ms: 0.0,
            busy_ms: 0.0,
        }
    }

    /// Asks for a slot; the receiver is woken when it is granted.
    pub fn ask(
        &mut self,
        priority: u32,
    ) -> oneshot::Receiver<()> {
        let (wake, woken) = oneshot::channel();
        self.arrivals += 1;
        self.waiting.push(Waiting {
            priority,
            arrival: self.arrivals,
            wake,
        });
        self.fill();
        woken
    }

    /// Gives a granted slot back.
    pub fn release(&mut self) {
        self.account();
        self.running -= 1;
        self.fill();
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Integrals up to now: slot-milliseconds in use, and milliseconds with any slot in use.
    pub fn integrals(&mut self) -> (f64, f64) {
        self.account();
        (self.busy_slot_ms, self.busy_ms)
    }

    fn fill(&mut self) {
        while self.running < self.slots {
            let best = self
                .waiting
                .iter()
                .enumerate()
                .max_by_key(|(_, waiting)| (waiting.priority, Reverse(waiting.arrival)))
                .map(|(at, _)| at);
            let Some(best) = best else { return };
            let waiting = self.waiting.swap_remove(best);
            if waiting.wake.send(()).is_ok() {
                self.account();
                self.running += 1;
            }
        }
    }

    fn account(&mut self) {
        let now = Instant::now();
        let ms = now.duration_since(self.changed).as_secs_f64() * 1000.0;
        self.changed = now;
        if self.running > 0 {
            self.busy_slot_ms += ms * self.running as f64;
            self.busy_ms += ms;
        }
    }
}
