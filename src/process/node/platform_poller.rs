use {
    crate::{
        connection::platform::{HostList, Table},
        process::{
            control::{ControlHandle, Input},
            ownership::{OWNER_PREFIX, SessionLease},
        },
        timeline::{Event, EventLog},
        version::{CONFIG_HEAD_KEY, ConfigHead, ConfigStore, SiteConfig},
    },
    rand::RngExt,
    std::{sync::Arc, time::Duration},
};

/// Looks that are asked for come no closer together than this.
const WAKE_PAUSE: Duration = Duration::from_millis(10);

/// Looks at the table and the host list again and again, on a thread of its own.
pub struct PlatformPoller {
    pub table: Arc<dyn Table>,
    pub hosts: Arc<dyn HostList>,
    pub configs: ConfigStore,
    pub control: ControlHandle,
    pub lease: SessionLease,
    pub log: EventLog,
    pub period: Duration,
    /// Wakes the poller early; its end ends the poller.
    pub wake: flume::Receiver<()>,
    sequence: u64,
    config: Arc<SiteConfig>,
    head: Option<ConfigHead>,
}

impl PlatformPoller {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        table: Arc<dyn Table>,
        hosts: Arc<dyn HostList>,
        configs: ConfigStore,
        control: ControlHandle,
        lease: SessionLease,
        log: EventLog,
        period: Duration,
        wake: flume::Receiver<()>,
    ) -> Self {
        Self {
            table,
            hosts,
            configs,
            control,
            lease,
            log,
            period,
            wake,
            sequence: 0,
            config: Arc::default(),
            head: None,
        }
    }

    /// Polls until the waking side is gone.
    pub fn run(mut self) {
        loop {
            self.look_at_hosts();
            self.look_at_table();
            self.read_config();
            let pause = self.period.mul_f64(rand::rng().random_range(0.8..1.2));
            match self.wake.recv_timeout(pause) {
                Err(flume::RecvTimeoutError::Disconnected) => return,
                _ => {
                    self.wake.drain().for_each(drop);
                    std::thread::sleep(WAKE_PAUSE);
                }
            }
        }
    }

    fn look_at_hosts(&self) {
        match self.hosts.read() {
            Ok(hosts) => self.control.input(Input::HostList(hosts)),
            Err(error) => self
                .log
                .note(Event::HostListUnreadable, &[("error", &error)]),
        }
    }

    fn look_at_table(&mut self) {
        let prefixes = [OWNER_PREFIX, CONFIG_HEAD_KEY];
        let term = self.lease.term();
        let Ok(scan) = self.table.scan(&prefixes, self.sequence) else {
            return self.control.input(Input::TableFailed);
        };
        self.sequence = scan.sequence;
        for row in &scan.rows {
            if row.key == CONFIG_HEAD_KEY
                && let Ok(head) = ConfigHead::from_row(row)
            {
                self.head = Some(head);
            }
        }
        self.control.input(Input::Rows { scan, term });
    }

    /// Reads a newer revision; one that can't be read yet is tried again at the next look.
    fn read_config(&mut self) {
        let Some(head) = &self.head else { return };
        if head.revision <= self.config.revision {
            return;
        }
        match self.configs.read_to(head, &self.config) {
            Ok(config) => {
                self.config = Arc::new(config);
                self.control.input(Input::Config(self.config.clone()));
            }
            Err(error) => self.log.note(Event::ConfigUnreadable, &[("error", &error)]),
        }
    }
}
