use {
    crate::{
        connection::platform::{HostList, Table},
        process::{
            control::{ControlHandle, Input},
            ownership::{OWNER_PREFIX, SessionLease},
        },
        timeline::{Event, EventLog},
        version::{CONFIG_HEAD_KEY, ConfigHead},
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
    /// Where heads of the configuration go.
    pub heads: flume::Sender<ConfigHead>,
    pub control: ControlHandle,
    pub lease: SessionLease,
    pub log: EventLog,
    pub period: Duration,
    /// Wakes the poller early; its end ends the poller.
    pub wake: flume::Receiver<()>,
    sequence: u64,
}

impl PlatformPoller {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        table: Arc<dyn Table>,
        hosts: Arc<dyn HostList>,
        heads: flume::Sender<ConfigHead>,
        control: ControlHandle,
        lease: SessionLease,
        log: EventLog,
        period: Duration,
        wake: flume::Receiver<()>,
    ) -> Self {
        Self {
            table,
            hosts,
            heads,
            control,
            lease,
            log,
            period,
            wake,
            sequence: 0,
        }
    }

    /// Polls until the waking side is gone.
    pub fn run(mut self) {
        loop {
            self.look_at_hosts();
            self.look_at_table();
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
        let names_head = scan.rows.iter().any(|row| row.key == CONFIG_HEAD_KEY);
        if scan.is_whole && !names_head {
            let _ = self.heads.send(ConfigHead::default());
        }
        for row in &scan.rows {
            if row.key == CONFIG_HEAD_KEY
                && let Ok(head) = ConfigHead::from_row(row)
            {
                let _ = self.heads.send(head);
            }
        }
        self.control.input(Input::Rows { scan, term });
    }
}
