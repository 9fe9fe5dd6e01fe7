use {
    crate::clock::{Instant, sleep_until},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
    },
};

/// Bytes passed on at once.
const PIECE: usize = 16 * 1024;

/// What a fault-injecting proxy does to the connections through it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProxyFault {
    /// New connections are closed at once.
    pub refuse: bool,
    /// Nothing passes; connections stay open.
    pub stall: bool,
    /// Answers do not pass; what is sent does.
    pub stall_answers: bool,
    /// Each piece waits this long.
    pub delay: Duration,
    /// What the link carries each way in bytes a second, over all its connections; none sets no limit.
    pub bytes_per_s: Option<u32>,
}

/// Which process opened a connection, by the address that it comes from; `None` if that is not known.
pub type SourceOf = Arc<dyn Fn(SocketAddr) -> Option<usize> + Send + Sync>;

/// Faults of all connections, and of those of some sources.
#[derive(Debug, Clone, Default, PartialEq)]
struct LinkFaults {
    all: ProxyFault,
    /// In place of `all`.
    by_source: HashMap<usize, ProxyFault>,
    /// Times that the connections open at that moment were frozen.
    freezes: u64,
}

impl LinkFaults {
    fn of(
        &self,
        source: Option<usize>,
    ) -> &ProxyFault {
        let own = source.and_then(|source| self.by_source.get(&source));
        own.unwrap_or(&self.all)
    }
}

/// Numbers of cuts so far: of all connections, and of those of some sources.
#[derive(Debug, Clone, Default, PartialEq)]
struct LinkCuts {
    all: u64,
    by_source: HashMap<usize, u64>,
}

impl LinkCuts {
    fn of(
        &self,
        source: Option<usize>,
    ) -> u64 {
        let own = source.and_then(|source| self.by_source.get(&source));
        self.all + own.copied().unwrap_or_default()
    }
}

/// One direction of a link, which carries one piece after the other.
#[derive(Debug)]
struct Lane {
    /// When the last piece that was let in has passed.
    free_at: Mutex<Instant>,
}

impl Lane {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            free_at: Mutex::new(Instant::now()),
        })
    }

    /// Lets a piece in behind those that wait; it has passed at the time given.
    fn enter(
        &self,
        bytes: usize,
        bytes_per_s: u32,
    ) -> Instant {
        let mut free_at = self.free_at.lock().expect("no holder panics");
        let takes = Duration::from_secs_f64(bytes as f64 / f64::from(bytes_per_s));
        *free_at = (*free_at).max(Instant::now()) + takes;
        *free_at
    }
}

/// A TCP proxy on loopback whose connections can be refused, stalled, frozen, slowed and cut.
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    cuts: watch::Sender<LinkCuts>,
    stop: watch::Sender<bool>,
    bytes: Arc<AtomicU64>,
}

/// What one connection needs.
#[derive(Clone)]
struct Shared {
    to: Arc<Mutex<SocketAddr>>,
    faults: watch::Receiver<LinkFaults>,
    cuts: watch::Receiver<LinkCuts>,
    source_of: SourceOf,
    bytes: Arc<AtomicU64>,
    asks: Arc<Lane>,
    answers: Arc<Lane>,
}

/// How a connection was opened.
#[derive(Debug, Clone, Copy)]
struct Opened {
    source: Option<usize>,
    freezes_before: u64,
}

impl FaultProxy {
    /// Listens on a port of the system's and passes connections on to `to`.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        Self::start_with_sources(to, Arc::new(|_| None)).await
    }

    /// Like `start`, for a link that is shared by processes whose connections can be harmed separately.
    pub async fn start_with_sources(
        to: SocketAddr,
        source_of: SourceOf,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let (faults, seen_faults) = watch::channel(LinkFaults::default());
        let (cuts, seen_cuts) = watch::channel(LinkCuts::default());
        let (stop, mut stopped) = watch::channel(false);
        let bytes = Arc::new(AtomicU64::new(0));
        let shared = Shared {
            bytes: bytes.clone(),
            to: Arc::new(Mutex::new(to)),
            faults: seen_faults,
            cuts: seen_cuts,
            source_of,
            asks: Lane::new(),
            answers: Lane::new(),
        };
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = stopped.changed() => return,
                };
                if let Ok((stream, from)) = accepted {
                    tokio::spawn(carry(stream, from, shared.clone()));
                }
            }
        });
        Ok(Self {
            address,
            faults,
            cuts,
            stop,
            bytes,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault from now on, for open connections too.
    pub fn set(
        &self,
        fault: ProxyFault,
    ) {
        self.faults.send_modify(|faults| faults.all = fault);
    }

    /// Sets the fault of one source's connections from now on; `None` treats them like all others again.
    pub fn set_source(
        &self,
        source: usize,
        fault: Option<ProxyFault>,
    ) {
        self.faults.send_modify(|faults| {
            match fault {
                Some(fault) => faults.by_source.insert(source, fault),
                None => faults.by_source.remove(&source),
            };
        });
    }

    /// Bytes passed on so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Makes the connections open now carry nothing any more, without closing them; new ones work.
    pub fn freeze_open(&self) {
        self.faults.send_modify(|faults| faults.freezes += 1);
    }

    /// Cuts every open connection.
    pub fn cut(&self) {
        self.cuts.send_modify(|cuts| cuts.all += 1);
    }

    /// Cuts every open connection of one source.
    pub fn cut_source(
        &self,
        source: usize,
    ) {
        self.cuts
            .send_modify(|cuts| *cuts.by_source.entry(source).or_default() += 1);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}

async fn carry(
    from: TcpStream,
    address: SocketAddr,
    shared: Shared,
) {
    let source = (shared.source_of)(address);
    let mut cuts = shared.cuts.clone();
    let cuts_before = cuts.borrow().of(source);
    let freezes_before = shared.faults.borrow().freezes;
    if shared.faults.borrow().of(source).refuse {
        return;
    }
    let to = *shared.to.lock().expect("no holder panics");
    let Ok(to) = TcpStream::connect(to).await else {
        return;
    };
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    let opened = Opened {
        source,
        freezes_before,
    };
    let asks = pass(from_read, to_write, &shared, opened, false);
    let answers = pass(to_read, from_write, &shared, opened, true);
    tokio::select! {
        _ = async { tokio::try_join!(asks, answers) } => {}
        _ = cuts.wait_for(|cuts| cuts.of(source) > cuts_before) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    opened: Opened,
    answers: bool,
) -> io::Result<()> {
    let mut faults = shared.faults.clone();
    let mut piece = vec![0; PIECE];
    loop {
        let read = match from.read(&mut piece).await {
            Ok(read) => read,
            Err(problem) => {
                reset(to);
                return Err(problem);
            }
        };
        let passes = |faults: &LinkFaults| {
            let fault = faults.of(opened.source);
            let stalls = fault.stall || answers && fault.stall_answers;
            !stalls && faults.freezes == opened.freezes_before
        };
        let fault = match faults.wait_for(passes).await {
            Ok(faults) => *faults.of(opened.source),
            Err(_) => return Ok(()),
        };
        tokio::time::sleep(fault.delay).await;
        if let Some(bytes_per_s) = fault.bytes_per_s {
            let lane = match answers {
                true => &shared.answers,
                false => &shared.asks,
            };
            sleep_until(lane.enter(read, bytes_per_s)).await;
        }
        if read == 0 {
            // A half-closed connection may still be answered.
            return to.shutdown().await;
        }
        shared.bytes.fetch_add(read as u64, Ordering::Relaxed);
        to.write_all(&piece[..read]).await?;
    }
}

/// Passes a reset on: as an orderly end it would make an answer without a length look whole.
fn reset(to: OwnedWriteHalf) {
    let _ = to.as_ref().set_zero_linger();
    to.forget();
}
