use {
    super::IniReader,
    crate::{
        errors::{RunError, SettingsProblem},
        request::direct::Policy,
    },
    std::{
        net::{IpAddr, SocketAddr},
        path::Path,
        time::Duration,
    },
};

/// Largest accepted limit of memory, in MB: its bytes are still exact in an `f64`.
const MAX_MEMORY_MB: f64 = 1e9;

const BYTES_PER_MB: f64 = 1e6;

/// Where one host listens.
#[derive(Debug, Clone, PartialEq)]
pub struct ListenSettings {
    /// Callers' requests.
    pub front: SocketAddr,
    /// Callers that ask which hosts to use.
    pub entry: SocketAddr,
    /// Whoever asks whether the host takes requests.
    pub ready: SocketAddr,
    /// Other hosts, by datagrams and by connections.
    pub peers: SocketAddr,
    /// Requests that other hosts forward, by default on the port after that of `peers`; all hosts use the same port.
    pub forwards: SocketAddr,
    /// Whoever gathers figures; none serves none.
    pub metrics: Option<SocketAddr>,
}

/// The times and sizes that the platform wants kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// A leaving target gets no new requests after this time.
    pub drain: Duration,
    /// An accepted configuration is in force after this time.
    pub config: Duration,
    /// No request begins on a version of an adapter later than this after a newer one was accepted.
    pub version: Duration,
    /// No request runs for a key later than this after it was taken away, whatever its host can reach.
    pub revoke: Duration,
    /// A customer's use is counted over a sliding time; its limit may be exceeded there by a part of it and by so
    /// many units besides.
    pub quota_window: Duration,
    pub quota_over: f64,
    pub quota_slack: f64,
    /// Orders of two hosts to one engine lie so far apart.
    pub lease_gap: Duration,
    /// Repeats allowed for each request, and besides, over a sliding window.
    pub budget_ratio: f64,
    pub budget_extra: f64,
    pub budget_window: Duration,
    /// Longest time that callers keep an entry answer.
    pub entry_life: Duration,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
}

/// The lease that a host's orders to engines rest on.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderLeaseSettings {
    /// Long, so that orders go on while the store is out for a while; an engine whose holder is lost
    /// gets no orders for so long.
    pub length: Duration,
    pub renew: Duration,
}

/// Everything that one host on a platform needs to know at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    pub name: String,
    pub hall: String,
    pub listen: ListenSettings,
    /// The platform's store.
    pub store: SocketAddr,
    /// Hosts that may be there already.
    pub seeds: Vec<IpAddr>,
    pub bounds: Bounds,
    /// What this host's link carries, in Mbit/s; not known if absent.
    pub link_mbps: Option<f64>,
    /// Bytes of memory that the process may use; no limit if absent.
    pub memory_limit: Option<u64>,
    pub lease: OrderLeaseSettings,
    pub policy: Policy,
    /// No process of this host ran before: the whole site starts for the first time.
    pub first_start: bool,
}

impl NodeSettings {
    /// Reads and checks a settings file; every problem is reported at once.
    pub fn read(file: &Path) -> Result<Self, RunError> {
        IniReader::read_file(file, Self::from_ini)
    }

    /// Parses the text of a settings file.
    pub fn parse(
        file: &Path,
        text: &str,
    ) -> Result<Self, Vec<SettingsProblem>> {
        IniReader::read_text(file, text, Self::from_ini)
    }

    fn from_ini(ini: &mut IniReader) -> Option<Self> {
        let name = ini.required("host", "name");
        let hall = ini.required("host", "hall");
        let listen = listen(ini);
        let store = ini.required("store", "address");
        let seeds = seeds(ini);
        let bounds = bounds(ini);
        let link_mbps = ini
            .optional("limits", "link_mbps")
            .filter(|mbps| *mbps > 0.0);
        let memory_limit = memory_limit(ini);
        let lease = lease(ini);
        let policy = policy(ini);
        let first_start = ini.optional("host", "first_start").unwrap_or(false);
        Some(Self {
            name: name?,
            hall: hall?,
            listen: listen?,
            store: store?,
            seeds,
            bounds,
            link_mbps,
            memory_limit,
            lease,
            policy,
            first_start,
        })
    }

    /// Where seeds listen for other hosts: all hosts use the same port.
    pub fn seed_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.listen.peers.port();
        self.seeds.iter().map(move |ip| SocketAddr::new(*ip, port))
    }
}

fn listen(ini: &mut IniReader) -> Option<ListenSettings> {
    const SECTION: &str = "listen";
    let front = ini.required(SECTION, "front");
    let entry = ini.required(SECTION, "entry");
    let ready = ini.required(SECTION, "ready");
    let peers_ip: Option<IpAddr> = ini.required(SECTION, "peers_ip");
    let peers_port: Option<u16> = ini.required(SECTION, "peers_port");
    let forwards_port: Option<u16> = ini.optional(SECTION, "forwards_port");
    let metrics = ini.optional(SECTION, "metrics");
    let (peers_ip, peers_port) = (peers_ip?, peers_port?);
    let forwards_port = forwards_port.unwrap_or(peers_port.saturating_add(1));
    Some(ListenSettings {
        front: front?,
        entry: entry?,
        ready: ready?,
        peers: SocketAddr::new(peers_ip, peers_port),
        forwards: SocketAddr::new(peers_ip, forwards_port),
        metrics,
    })
}

/// A list of addresses; only their IP numbers count, and what is no address is passed over.
fn seeds(ini: &mut IniReader) -> Vec<IpAddr> {
    let text: Option<String> = ini.optional("peers", "seeds");
    let text = text.unwrap_or_default();
    text.split(',')
        .filter_map(|seed| seed.trim().parse::<SocketAddr>().ok())
        .map(|seed| seed.ip())
        .collect()
}

/// Returns the limit in bytes; a platform that sets none leaves the setting out, empty or 0.
fn memory_limit(ini: &mut IniReader) -> Option<u64> {
    const SECTION: &str = "limits";
    const KEY: &str = "memory_mb";
    let text: Option<String> = ini.optional(SECTION, KEY);
    let text = text.filter(|text| !text.is_empty())?;
    match text.parse::<f64>() {
        Ok(mb) if (0.0..=MAX_MEMORY_MB).contains(&mb) => {
            Some((mb * BYTES_PER_MB) as u64).filter(|bytes| *bytes > 0)
        }
        _ => {
            let problem = format!("{text} is not a number of megabytes");
            ini.contradiction(SECTION, KEY, &problem);
            None
        }
    }
}

fn bounds(ini: &mut IniReader) -> Bounds {
    const SECTION: &str = "bounds";
    Bounds {
        drain: millis(ini, "drain_ms", 2_000.0),
        config: millis(ini, "config_ms", 2_000.0),
        // Of a shorter one nothing is left: hosts hear of versions after up to 1.2 s, and 1.7 s are kept back
        // for the way to the engine and the wait there.
        version: ini.millis(SECTION, "version_ms", 5_000, 4_000..=86_400_000),
        // Of a shorter one nothing is left: hosts hear of changes after up to 1.8 s, and 1 s is kept back for the way to
        // the target.
        revoke: ini.millis(SECTION, "revoke_ms", 5_000, 3_000..=86_400_000),
        quota_window: seconds(ini, "quota_window_s", 8.0),
        quota_over: ini.number(SECTION, "quota_over", 0.1, 0.0..=1.0),
        quota_slack: ini.number(SECTION, "quota_slack", 0.0, 0.0..=1e9),
        lease_gap: millis(ini, "lease_ms", 3_000.0),
        budget_ratio: ini.number(SECTION, "budget_ratio", 0.2, 0.0..=10.0),
        budget_extra: ini.number(SECTION, "budget_extra", 50.0, 0.0..=1e6),
        budget_window: seconds(ini, "budget_window_s", 10.0),
        entry_life: seconds(ini, "entry_life_s", 5.0),
        grace: seconds(ini, "grace_s", 8.0),
    }
}

fn lease(ini: &mut IniReader) -> OrderLeaseSettings {
    const SECTION: &str = "lease";
    let settings = OrderLeaseSettings {
        length: ini.millis(SECTION, "length_ms", 9_000, 500..=120_000),
        renew: ini.millis(SECTION, "renew_ms", 2_500, 50..=60_000),
    };
    if settings.renew * 2 > settings.length {
        let problem = "must be at most half of length_ms";
        ini.contradiction(SECTION, "renew_ms", problem);
    }
    settings
}

/// Mechanisms that are switched off with `false`, or on with `true` where they are off by default.
fn policy(ini: &mut IniReader) -> Policy {
    let default = Policy::default();
    let mut switch = |key, default| ini.optional("policy", key).unwrap_or(default);
    Policy {
        prefers_home: switch("prefers_home", default.prefers_home),
        shares_copy_price: switch("shares_copy_price", default.shares_copy_price),
        adds_copies: switch("adds_copies", default.adds_copies),
        avoids_crowds: switch("avoids_crowds", default.avoids_crowds),
        avoids_full_engines: switch("avoids_full_engines", default.avoids_full_engines),
        ranks_backlog: switch("ranks_backlog", default.ranks_backlog),
        refuses_early: switch("refuses_early", default.refuses_early),
        tells_sends_at_once: switch("tells_sends_at_once", default.tells_sends_at_once),
        ranks_wishes: switch("ranks_wishes", default.ranks_wishes),
        limits_loads: switch("limits_loads", default.limits_loads),
        uses_engine_memory: switch("uses_engine_memory", default.uses_engine_memory),
        learns_pace: switch("learns_pace", default.learns_pace),
        holds_requests: switch("holds_requests", default.holds_requests),
        prefers_cached_prompts: switch("prefers_cached_prompts", default.prefers_cached_prompts),
        bounds_waits: switch("bounds_waits", default.bounds_waits),
    }
}

/// A time that may be written with a fraction.
fn seconds(
    ini: &mut IniReader,
    key: &str,
    default: f64,
) -> Duration {
    Duration::from_secs_f64(ini.number("bounds", key, default, 0.0..=86_400.0))
}

fn millis(
    ini: &mut IniReader,
    key: &str,
    default: f64,
) -> Duration {
    Duration::from_secs_f64(ini.number("bounds", key, default, 0.0..=86_400_000.0) / 1000.0)
}
