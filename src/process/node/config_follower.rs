use {
    crate::{
        process::control::{ControlHandle, Input},
        timeline::{Event, EventLog},
        version::{ConfigHead, ConfigStore, SiteConfig},
    },
    std::{sync::Arc, time::Duration},
};

/// Further attempts to write a lost revision again; other hosts try as well.
const RESTORE_RETRIES: usize = 5;

/// Reads each newer revision of the configuration, on a thread of its own: a large one may be many
/// seconds on its way, while looks at the table must go on.
pub struct ConfigFollower {
    pub configs: ConfigStore,
    pub control: ControlHandle,
    pub log: EventLog,
    /// Pause before a revision that can't be read yet is tried again.
    pub pause: Duration,
    /// Heads as the table tells them; the follower ends with their sender.
    pub heads: flume::Receiver<ConfigHead>,
}

impl ConfigFollower {
    /// Follows until no more heads can come.
    pub fn run(self) {
        let mut config: Arc<SiteConfig> = Arc::default();
        let mut known = ConfigHead::default();
        while let Ok(head) = self.heads.recv() {
            let mut newest = self.heads.drain().last().unwrap_or(head);
            if newest.revision < known.revision {
                self.restore(&known, &config);
            }
            while newest.revision > config.revision {
                match self.configs.read_to(&newest, &config) {
                    Ok(read) => {
                        known = newest.clone();
                        config = Arc::new(read);
                        self.control.input(Input::Config(config.clone()));
                    }
                    Err(error) => {
                        self.log.note(Event::ConfigUnreadable, &[("error", &error)]);
                        if self.heads.is_disconnected() {
                            return;
                        }
                        std::thread::sleep(self.pause);
                    }
                }
                newest = self.heads.drain().last().unwrap_or(newest);
            }
        }
    }

    /// Writes a revision again that the platform has lost: an accepted configuration never reverts.
    fn restore(
        &self,
        head: &ConfigHead,
        config: &SiteConfig,
    ) {
        let mut outcome = self.configs.restore(head, config);
        for _ in 0..RESTORE_RETRIES {
            if outcome.is_ok() {
                break;
            }
            std::thread::sleep(self.pause);
            outcome = self.configs.restore(head, config);
        }
        match outcome {
            Ok(()) => self
                .log
                .note(Event::ConfigRestored, &[("revision", &head.revision)]),
            Err(error) => self.log.note(Event::ConfigUnreadable, &[("error", &error)]),
        }
    }
}
