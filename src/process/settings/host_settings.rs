use {
    super::IniReader,
    crate::errors::{RunError, SettingsProblem},
    std::{net::SocketAddr, path::Path, time::Duration},
};

/// Where the platform's services listen, and how long a call to them may take.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    pub table: SocketAddr,
    pub objects: SocketAddr,
    pub hosts: SocketAddr,
    pub weights: SocketAddr,
    pub timeout: Duration,
    /// Time between looks at the table, the host list and the weight store.
    pub poll: Duration,
}

/// The session lease that a host's ownership rests on.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseSettings {
    pub length: Duration,
    pub renew: Duration,
    /// Added for clocks that run at different speeds and for orders under way.
    pub margin: Duration,
    /// A new owner counts unknown adapters as in use for at least this long.
    pub pin_quiet: Duration,
}

/// Heartbeats among hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipSettings {
    pub probe: Duration,
    pub probe_timeout: Duration,
    /// Time that a suspected host has to refute.
    pub suspect: Duration,
}

/// What callers may take.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerLimits {
    pub connections: usize,
    pub connections_per_address: usize,
    pub body_bytes: usize,
    pub head_timeout: Duration,
    pub body_timeout: Duration,
    /// How long a caller may keep an entry answer.
    pub entry_life: Duration,
}

/// Loading of adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    /// Loads at once over the whole site.
    pub at_once: usize,
    /// A load that takes longer has failed.
    pub timeout: Duration,
}

/// Choices of policy.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicySettings {
    /// Requests that may wait at a target, as a multiple of its batch.
    pub queue_factor: f64,
    /// Engines that may hold a copy of one adapter.
    pub replicas: usize,
}

/// Everything one `coveproxyd` needs to know at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    pub name: String,
    pub hall: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
    /// Where metrics go; none sends none.
    pub statsd: Option<SocketAddr>,
    pub platform: PlatformSettings,
    pub lease: LeaseSettings,
    pub membership: MembershipSettings,
    pub limits: CallerLimits,
    pub loads: LoadSettings,
    pub policy: PolicySettings,
}

impl HostSettings {
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
        let callers = ini.required("listen", "callers");
        let peers = ini.required("listen", "peers");
        let admin = ini.required("listen", "admin");
        let platform = platform(ini);
        let lease = lease(ini);
        let membership = membership(ini);
        let limits = limits(ini);
        let loads = loads(ini);
        let policy = policy(ini);
        let statsd = ini.optional("metrics", "statsd");
        Some(Self {
            name: name?,
            hall: hall?,
            callers: callers?,
            peers: peers?,
            admin: admin?,
            statsd,
            platform: platform?,
            lease,
            membership,
            limits,
            loads,
            policy,
        })
    }
}

fn platform(ini: &mut IniReader) -> Option<PlatformSettings> {
    const SECTION: &str = "platform";
    let table = ini.required(SECTION, "table");
    let objects = ini.required(SECTION, "objects");
    let hosts = ini.required(SECTION, "hosts");
    let weights = ini.required(SECTION, "weights");
    let timeout = ini.millis(SECTION, "timeout_ms", 1_000, 50..=60_000);
    let poll = ini.millis(SECTION, "poll_ms", 500, 20..=10_000);
    Some(PlatformSettings {
        table: table?,
        objects: objects?,
        hosts: hosts?,
        weights: weights?,
        timeout,
        poll,
    })
}

fn lease(ini: &mut IniReader) -> LeaseSettings {
    const SECTION: &str = "lease";
    let settings = LeaseSettings {
        length: ini.millis(SECTION, "length_ms", 6_000, 300..=120_000),
        renew: ini.millis(SECTION, "renew_ms", 2_000, 50..=60_000),
        margin: ini.millis(SECTION, "margin_ms", 1_000, 50..=60_000),
        pin_quiet: ini.millis(SECTION, "pin_quiet_ms", 3_000, 100..=600_000),
    };
    if settings.renew * 2 > settings.length {
        let problem = "must be at most half of length_ms";
        ini.contradiction(SECTION, "renew_ms", problem);
    }
    settings
}

fn membership(ini: &mut IniReader) -> MembershipSettings {
    const SECTION: &str = "membership";
    let settings = MembershipSettings {
        probe: ini.millis(SECTION, "probe_ms", 100, 10..=60_000),
        probe_timeout: ini.millis(SECTION, "probe_timeout_ms", 100, 5..=60_000),
        suspect: ini.millis(SECTION, "suspect_ms", 300, 10..=60_000),
    };
    if settings.probe_timeout > settings.probe {
        let problem = "must be at most probe_ms";
        ini.contradiction(SECTION, "probe_timeout_ms", problem);
    }
    settings
}

fn limits(ini: &mut IniReader) -> CallerLimits {
    const SECTION: &str = "limits";
    let settings = CallerLimits {
        connections: ini.number(SECTION, "connections", 8_192, 1..=1_000_000),
        connections_per_address: ini.number(
            SECTION,
            "connections_per_address",
            4_096,
            1..=1_000_000,
        ),
        body_bytes: ini.number(SECTION, "body_bytes", 1 << 20, 1..=1 << 30),
        head_timeout: ini.millis(SECTION, "head_timeout_ms", 10_000, 10..=600_000),
        body_timeout: ini.millis(SECTION, "body_timeout_ms", 10_000, 10..=600_000),
        entry_life: ini.millis(SECTION, "entry_life_ms", 5_000, 100..=600_000),
    };
    if settings.connections_per_address > settings.connections {
        let problem = "must be at most connections";
        ini.contradiction(SECTION, "connections_per_address", problem);
    }
    settings
}

fn loads(ini: &mut IniReader) -> LoadSettings {
    const SECTION: &str = "loads";
    LoadSettings {
        at_once: ini.number(SECTION, "at_once", 1, 1..=64),
        timeout: ini.millis(SECTION, "timeout_ms", 5_000, 50..=600_000),
    }
}

fn policy(ini: &mut IniReader) -> PolicySettings {
    const SECTION: &str = "policy";
    PolicySettings {
        queue_factor: ini.number(SECTION, "queue_factor", 4.0, 0.0..=100.0),
        replicas: ini.number(SECTION, "replicas", 2, 1..=64),
    }
}
