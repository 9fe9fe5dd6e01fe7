use {
    super::{Event, line_gate::take_held_back},
    crate::{
        clock::Instant,
        metrics::{StateLabels, metrics},
    },
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Lines that wait to be written; more are dropped.
const MAX_LINES: usize = 4096;

/// Bytes written at once.
const MAX_BATCH: usize = 64 * 1024;

/// Pause after a write, so that lines gather.
const PAUSE: Duration = Duration::from_millis(50);

/// The head of a line: when it was noted, by which host.
#[derive(Debug, Clone)]
pub struct LineHead {
    host: Arc<str>,
    started: Instant,
}

impl LineHead {
    pub fn new(host: &str) -> Self {
        Self {
            host: host.into(),
            started: Instant::now(),
        }
    }

    /// Writes the head: the time of day in milliseconds since 1970, the time since the process
    /// started in microseconds on the steady clock, and the host.
    pub fn write(
        &self,
        level: log::Level,
        to: &mut impl Write,
    ) -> io::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let ts = now.map_or(0, |since| since.as_millis());
        let up = self.started.elapsed().as_micros();
        let level = level.as_str().to_ascii_lowercase();
        write!(to, "ts={ts} up_us={up} host={} level={level} ", self.host)
    }
}

/// Takes lines without ever waiting; a thread of its own writes them on.
#[derive(Debug, Clone)]
pub struct LineWriter {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts a thread that writes to `to`; what can't be written is discarded.
    pub fn start(
        head: LineHead,
        to: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let (lines, waiting) = flume::bounded(MAX_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let seen = dropped.clone();
        thread::Builder::new()
            .name("log".to_string())
            .stack_size(128 * 1024)
            .spawn(move || write_on(&waiting, &seen, &head, to))?;
        Ok(Self { lines, dropped })
    }
}

impl Write for LineWriter {
    fn write(
        &mut self,
        line: &[u8],
    ) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_on(
    waiting: &flume::Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    head: &LineHead,
    mut to: impl Write,
) {
    let mut batch = Vec::new();
    while let Ok(line) = waiting.recv() {
        batch.clear();
        batch.extend_from_slice(&line);
        while batch.len() < MAX_BATCH {
            match waiting.try_recv() {
                Ok(line) => batch.extend_from_slice(&line),
                Err(_) => break,
            }
        }
        tell_losses(
            Event::LinesDropped,
            dropped.swap(0, Ordering::Relaxed),
            head,
            &mut batch,
        );
        tell_losses(Event::LinesHeldBack, take_held_back(), head, &mut batch);
        // Nobody is left to tell of a failure here.
        let _ = to.write_all(&batch).and_then(|()| to.flush());
        thread::sleep(PAUSE);
    }
}

fn tell_losses(
    event: Event,
    count: u64,
    head: &LineHead,
    batch: &mut Vec<u8>,
) {
    if count == 0 {
        return;
    }
    let labels = StateLabels {
        state: event.word(),
    };
    metrics().lines_lost.get_or_create(&labels).inc_by(count);
    let _ = head.write(event.level(), batch);
    let (number, word) = (event.number(), event.word());
    let _ = writeln!(batch, "event={number} name={word} count={count}");
}
