use {
    crate::{
        errors::RunError,
        version::{
            AdapterVersion, Change, EngineSpec, KeyHash, KindSpec, OutfitterSpec, ServiceSpec,
            TargetRole, TargetSpec,
        },
    },
    std::{net::SocketAddr, time::Duration},
};

/// The base model of every engine in a demo.
pub const BASE_MODEL: &str = "base-8b";

/// Versions of an adapter that are called.
const VERSION: &str = "1";

/// One kind of traffic of a site.
#[derive(Debug, Clone)]
pub struct TrafficKind {
    pub service: &'static str,
    pub kind: &'static str,
    /// Share of the site's requests.
    pub share: f64,
    /// Tokens of an answer; 0 for a call to a plain service.
    pub tokens: u64,
    pub stream: bool,
    /// Priority, deadline in milliseconds, batch work, repeatable.
    pub spec: (u8, u64, bool, bool),
}

/// A site's sizes and traffic.
#[derive(Debug, Clone)]
pub struct SitePlan {
    pub name: &'static str,
    pub halls: &'static [&'static str],
    pub hosts: usize,
    pub engines: usize,
    pub plain_service: &'static str,
    pub plain_targets: usize,
    pub adapters: usize,
    /// Adapters that get most of the requests, and their share.
    pub hot: usize,
    pub hot_share: f64,
    pub adapter_slots: usize,
    pub batch_slots: usize,
    pub token_time: Duration,
    pub fetch_time: Duration,
    /// Requests a second.
    pub rate: f64,
    pub traffic: Vec<TrafficKind>,
    /// Outfitters with their worth.
    pub outfitters: &'static [(&'static str, f64)],
    pub checks_fences: bool,
}

impl SitePlan {
    /// A site in small, by its name.
    pub fn small(name: &str) -> Result<Self, RunError> {
        match name {
            "cascadia" => Ok(Self::cascadia()),
            "tour" => Ok(Self::tour()),
            _ => Err(RunError::Usage(format!(
                "no such site: {name}; there are cascadia and tour"
            ))),
        }
    }

    fn cascadia() -> Self {
        let traffic = vec![
            kind(
                "triage",
                "red-build",
                0.45,
                24,
                true,
                (7, 20_000, false, true),
            ),
            kind(
                "summaries",
                "overnight",
                0.35,
                48,
                false,
                (1, 60_000, true, true),
            ),
            kind(
                "manifests",
                "manifest",
                0.20,
                0,
                false,
                (6, 5_000, false, false),
            ),
        ];
        Self {
            name: "cascadia",
            halls: &["pnw-a", "pnw-b", "pnw-c"],
            hosts: 4,
            engines: 6,
            plain_service: "manifests",
            plain_targets: 2,
            adapters: 150,
            hot: 12,
            hot_share: 0.9,
            adapter_slots: 6,
            batch_slots: 16,
            token_time: Duration::from_millis(8),
            fetch_time: Duration::from_millis(70),
            rate: 60.0,
            traffic,
            outfitters: &[("build-farm", 1.0)],
            checks_fences: true,
        }
    }

    fn tour() -> Self {
        let traffic = vec![
            kind(
                "narration",
                "live",
                0.50,
                24,
                true,
                (8, 10_000, false, true),
            ),
            kind(
                "itineraries",
                "overnight",
                0.25,
                48,
                false,
                (1, 60_000, true, true),
            ),
            kind(
                "bookings",
                "booking",
                0.25,
                0,
                false,
                (7, 5_000, false, false),
            ),
        ];
        Self {
            name: "tour",
            halls: &["tx-a", "tx-b", "tx-c", "tx-d"],
            plain_service: "bookings",
            outfitters: &[
                ("lone-star", 1.0),
                ("hill-country", 1.5),
                ("bluebonnet", 0.8),
            ],
            traffic,
            ..Self::cascadia()
        }
    }

    /// The key that a service shows in the demo.
    pub fn service_key(service: &str) -> String {
        format!("demo-key-of-{service}")
    }

    /// The adapter version with this number; the first ones are hot.
    pub fn model(
        &self,
        number: usize,
    ) -> AdapterVersion {
        AdapterVersion::new(&format!("{}-{number}", self.name), VERSION)
            .expect("demo names are valid")
    }

    /// Everything that the site declares.
    pub fn changes(
        &self,
        engines: &[SocketAddr],
        plain: &[SocketAddr],
    ) -> Vec<Change> {
        let mut changes = self.declare_callers();
        changes.push(Change::DeclareAdapters {
            base_model: BASE_MODEL.to_string(),
            versions: (0..self.adapters)
                .map(|number| self.model(number))
                .collect(),
        });
        for (at, address) in engines.iter().enumerate() {
            let role = TargetRole::Engine(EngineSpec {
                base_model: BASE_MODEL.to_string(),
                adapter_slots: self.adapter_slots,
                batch_slots: self.batch_slots,
            });
            changes.push(self.target(&format!("engine-{at:02}"), at, *address, role));
        }
        for (at, address) in plain.iter().enumerate() {
            let role = TargetRole::Plain {
                service: self.plain_service.to_string(),
                calls: 64,
            };
            let name = format!("{}-{at:02}", self.plain_service);
            changes.push(self.target(&name, at, *address, role));
        }
        changes
    }

    fn declare_callers(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, worth) in self.outfitters {
            changes.push(Change::SetOutfitter {
                name: name.to_string(),
                spec: OutfitterSpec { worth: *worth },
            });
        }
        for traffic in &self.traffic {
            let (priority, deadline_ms, batch, repeatable) = traffic.spec;
            changes.push(Change::SetKind {
                name: traffic.kind.to_string(),
                spec: KindSpec {
                    priority,
                    deadline_ms,
                    batch,
                    repeatable,
                },
            });
            changes.push(Change::SetService {
                name: traffic.service.to_string(),
                spec: ServiceSpec {
                    keys: vec![KeyHash::from_key(&Self::service_key(traffic.service))],
                    kinds: vec![traffic.kind.to_string()],
                    outfitter: None,
                    plain: traffic.service == self.plain_service,
                    retry_share: 0.2,
                    rate: 0.0,
                },
            });
        }
        changes
    }

    fn target(
        &self,
        name: &str,
        at: usize,
        address: SocketAddr,
        role: TargetRole,
    ) -> Change {
        Change::SetTarget {
            name: name.to_string(),
            spec: TargetSpec {
                address,
                hall: self.halls[at % self.halls.len()].to_string(),
                role,
                checks_fences: self.checks_fences,
                leaving: false,
            },
        }
    }
}

fn kind(
    service: &'static str,
    kind: &'static str,
    share: f64,
    tokens: u64,
    stream: bool,
    spec: (u8, u64, bool, bool),
) -> TrafficKind {
    TrafficKind {
        service,
        kind,
        share,
        tokens,
        stream,
        spec,
    }
}
