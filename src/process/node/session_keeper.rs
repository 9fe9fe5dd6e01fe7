use {
    crate::{
        clock::Instant,
        connection::platform::{Commit, Condition, Table, Transaction, Write},
        errors::PlatformError,
        process::{
            ownership::{SessionLease, SessionRow, session_key},
            settings::LeaseSettings,
        },
    },
    rand::RngExt,
    std::{sync::Arc, time::Duration},
};

/// Pause after a failed renewal; jittered, so that hosts do not come back all at once.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// Keeps this process's session row alive, on a thread of its own that nothing else can hold up.
pub struct SessionKeeper {
    table: Arc<dyn Table>,
    key: String,
    session: u64,
    settings: LeaseSettings,
    lease: SessionLease,
    version: Option<u64>,
    stop: flume::Receiver<()>,
}

impl SessionKeeper {
    pub fn new(
        table: Arc<dyn Table>,
        host: &str,
        session: u64,
        settings: LeaseSettings,
        lease: SessionLease,
        stop: flume::Receiver<()>,
    ) -> Self {
        Self {
            table,
            key: session_key(host),
            session,
            settings,
            lease,
            version: None,
            stop,
        }
    }

    /// Renews until told to stop; then says that the session has ended.
    pub fn run(mut self) {
        loop {
            let sent = Instant::now();
            let pause = match self.renew(false) {
                Ok(()) => {
                    self.lease.record_renewal(sent, Instant::now());
                    self.settings.renew
                }
                Err(_) => FAILED_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5)),
            };
            match self.stop.recv_timeout(pause) {
                Err(flume::RecvTimeoutError::Timeout) => {}
                _ => break,
            }
        }
        // If this is lost, others wait until the lease has lapsed.
        let _ = self.renew(true);
    }

    fn renew(
        &mut self,
        ended: bool,
    ) -> Result<(), PlatformError> {
        let version = match self.version {
            Some(version) => version,
            None => self.read_version()?,
        };
        let row = SessionRow {
            session: self.session,
            ended,
        };
        let value = serde_json::to_string(&row).expect("sessions serialize");
        let committed = self.table.transact(&Transaction {
            conditions: vec![Condition::new(&self.key, version)],
            writes: vec![Write::put(&self.key, value)],
        });
        match committed {
            Ok(Commit::Done { sequence }) => {
                self.version = Some(sequence);
                Ok(())
            }
            Ok(Commit::Conflict { .. }) => {
                self.version = None;
                Err(self.superseded())
            }
            Err(error) => {
                // The write may have taken effect: the row is read anew.
                self.version = None;
                Err(error)
            }
        }
    }

    /// The row's version; a newer session under the same name is left alone.
    fn read_version(&self) -> Result<u64, PlatformError> {
        let Some(row) = self.table.get(&self.key)? else {
            return Ok(0);
        };
        let other: Option<SessionRow> = serde_json::from_str(&row.value).ok();
        match other {
            Some(other) if other.session > self.session => Err(self.superseded()),
            _ => Ok(row.version),
        }
    }

    fn superseded(&self) -> PlatformError {
        PlatformError::BadReply {
            what: "table",
            problem: format!("{} is held by another process", self.key),
        }
    }
}
