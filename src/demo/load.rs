use {
    super::{SitePlan, Tally, TrafficKind},
    crate::{
        client::{CallSpec, CallerClient},
        clock::{Instant, sleep_until},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::task::JoinSet,
};

/// How long and how hard a site is called.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    pub seconds: f64,
    /// Requests a second.
    pub rate: f64,
    pub seed: u64,
}

/// An open-loop load: requests come at their own times, however slow the answers are.
pub struct Load {
    plan: LoadPlan,
    site: SitePlan,
    client: Arc<CallerClient>,
    rng: StdRng,
    tally: Arc<Mutex<Tally>>,
}

impl Load {
    pub fn new(
        plan: LoadPlan,
        site: SitePlan,
        callers: Vec<SocketAddr>,
    ) -> Self {
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            client: Arc::new(CallerClient::new(callers)),
            tally: Arc::default(),
            plan,
            site,
        }
    }

    /// Sends the load and waits for every request's end; `progress` hears of each second.
    pub async fn run(
        mut self,
        progress: impl Fn(&Tally),
    ) -> Tally {
        let began = Instant::now();
        let mut due = Duration::ZERO;
        let mut calls = JoinSet::new();
        let mut told = 0;
        while due.as_secs_f64() < self.plan.seconds {
            sleep_until(began + due).await;
            let spec = self.next_call();
            let (client, tally) = (self.client.clone(), self.tally.clone());
            calls.spawn(async move {
                let result = client.call(&spec).await;
                tally.lock().expect("no holder panics").add(&result, &spec);
            });
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            due += Duration::from_secs_f64(-uniform.ln() / self.plan.rate);
            if due.as_secs() > told {
                told = due.as_secs();
                progress(&self.tally.lock().expect("no holder panics"));
            }
        }
        while calls.join_next().await.is_some() {}
        let mut tally = self.tally.lock().expect("no holder panics").clone();
        tally.seconds = began.elapsed().as_secs_f64();
        tally
    }

    fn next_call(&mut self) -> CallSpec {
        let traffic = self.pick_traffic();
        let key = SitePlan::service_key(traffic.service);
        let mut spec = match traffic.tokens {
            0 => {
                let mut spec = CallSpec::plain(&key, traffic.service, "run");
                let name = format!("k-{:016x}", self.rng.random::<u64>());
                spec.key = Some((name, 1));
                spec
            }
            tokens => CallSpec::completion(&key, self.pick_model(), tokens, traffic.stream),
        };
        let outfitters = self.site.outfitters;
        let at = self.rng.random_range(0..outfitters.len());
        spec.outfitter = Some(outfitters[at].0.to_string());
        spec
    }

    fn pick_traffic(&mut self) -> TrafficKind {
        let mut left: f64 = self.rng.random_range(0.0..1.0);
        for traffic in &self.site.traffic {
            left -= traffic.share;
            if left < 0.0 {
                return traffic.clone();
            }
        }
        self.site.traffic[0].clone()
    }

    fn pick_model(&mut self) -> crate::version::AdapterVersion {
        let hot = self.rng.random_bool(self.site.hot_share);
        let number = match hot {
            true => self.rng.random_range(0..self.site.hot),
            false => self.rng.random_range(self.site.hot..self.site.adapters),
        };
        self.site.model(number)
    }
}
