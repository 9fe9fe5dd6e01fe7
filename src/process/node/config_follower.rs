use {
    crate::{
        process::control::{ControlHandle, Input},
        timeline::{Event, EventLog},
        version::{ConfigHead, ConfigStore, SiteConfig},
    },
    std::{sync::Arc, time::Duration},
};

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
        while let Ok(head) = self.heads.recv() {
            let mut newest = self.heads.drain().last().unwrap_or(head);
            while newest.revision > config.revision {
                match self.configs.read_to(&newest, &config) {
                    Ok(read) => {
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
}
