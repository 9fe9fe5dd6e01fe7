//! Watches a target on which a request waits, for a reason to try the request elsewhere besides.

use {
    super::{
        health_check::CHECK_TIMEOUT, reach_check::suspect_unreached, silence_check::suspect_silent,
    },
    crate::{
        clock::Instant,
        connection::targets::{SilenceVerdict, TargetIncarnation, TargetTable},
        formats::HeaderNames,
        request::direct::CallRequest,
    },
    std::{cell::RefCell, future::pending, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// A target that sends nothing for so long while a request waits for its answer is checked. Engines take longer until their
/// first event.
const PLAIN_QUIET_TIME: Duration = Duration::from_millis(300);
const ENGINE_QUIET_TIME: Duration = Duration::from_millis(800);

/// Interval at which a silent target is looked at again.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The same while a second attempt goes on: two targets work on a request no longer than this.
const HEDGED_WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Time that an engine has for the first event even if it is silent, as a multiple of the route's objective: it may be full, and
/// then answers no check either.
const FIRST_EVENT_FACTOR: u32 = 2;

/// Silence of a stream after which its connection counts as lost though its target talks, as a multiple of the silence after
/// which the target is given no more time.
const LOST_CONNECTION_FACTOR: u32 = 2;

/// What may bring an answer sooner than to wait for that of a silent target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Alternative {
    /// Only this target is silent, or it is not listed any more: another one.
    OtherTarget,
    /// The target talks, but not over the stream's connection: the same target over a new one.
    SameTarget,
    /// This host hears from no target of the service: another host.
    OtherHost,
}

impl Alternative {
    /// Returns the word for logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::OtherTarget => "other_target",
            Self::SameTarget => "same_target",
            Self::OtherHost => "other_host",
        }
    }
}

/// Why a stream's wait for its target ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamSilence {
    /// The target may go on, and this may bring the next event sooner.
    Alternative(Alternative),
    /// The target has started anew, so that the stream has ended.
    Restarted,
}

/// Watches one target for one request.
pub struct SilenceWatch<'a> {
    pub table: &'a Rc<RefCell<TargetTable>>,
    pub names: &'a HeaderNames,
    pub request: &'a CallRequest,
    pub incarnation: &'a TargetIncarnation,
}

impl SilenceWatch<'_> {
    /// Waits until there is an alternative to the next bytes of a stream; `max_silence` is given to a target that is silent
    /// while others are not.
    pub async fn until_stream_is_silent(
        &self,
        max_silence: Duration,
    ) -> StreamSilence {
        let begun = Instant::now();
        let check_after = max_silence.saturating_sub(CHECK_TIMEOUT);
        sleep(check_after).await;
        loop {
            let now = Instant::now();
            let waited = now.saturating_duration_since(begun);
            match self.verdict(max_silence, now) {
                SilenceVerdict::Restarted => return StreamSilence::Restarted,
                SilenceVerdict::Isolated | SilenceVerdict::Unlisted if waited >= max_silence => {
                    return StreamSilence::Alternative(Alternative::OtherTarget);
                }
                SilenceVerdict::Talking if waited >= max_silence * LOST_CONNECTION_FACTOR => {
                    return StreamSilence::Alternative(Alternative::SameTarget);
                }
                _ => self.check_if_silent(check_after, now),
            }
            sleep(WATCH_INTERVAL).await;
        }
    }

    /// Waits until there is an alternative to the first bytes of an answer to a request that was sent at `sent`. There is none
    /// for a request that may run only once.
    pub async fn until_answer_is_late(
        &self,
        sent: Instant,
    ) -> Alternative {
        let service = &self.request.service;
        let (quiet_time, min_wait) = match self.request.generation {
            Some(_) => (
                ENGINE_QUIET_TIME,
                self.request.route.aim * FIRST_EVENT_FACTOR,
            ),
            None => (PLAIN_QUIET_TIME, PLAIN_QUIET_TIME),
        };
        let mut interval = quiet_time;
        loop {
            let updates = self.table.borrow().reach_updates();
            let _ = timeout(interval, updates.notified()).await;
            interval = WATCH_INTERVAL;
            let now = Instant::now();
            self.check_service_if_quiet(quiet_time, sent, now);
            self.check_if_silent(quiet_time, now);
            if !self.request.route.repeatable() {
                continue;
            }
            // The other hosts have found out by then if they hear from no target either.
            let is_silent = {
                let table = self.table.borrow();
                table.is_silent_for(&service.name, CHECK_TIMEOUT, now)
            };
            if is_silent {
                return Alternative::OtherHost;
            }
            let waited = now.saturating_duration_since(sent);
            let needed = match self.verdict(quiet_time, now) {
                SilenceVerdict::Talking | SilenceVerdict::Unconfirmed => continue,
                SilenceVerdict::Isolated | SilenceVerdict::Restarted => min_wait,
                // A target that leaves by plan still ends what it runs.
                SilenceVerdict::Unlisted => min_wait.max(ENGINE_QUIET_TIME),
            };
            if waited >= needed {
                return Alternative::OtherTarget;
            }
        }
    }

    /// Waits until the target is heard again, while the request is also tried as `alternative`. A target that talks all the
    /// time is not heard again.
    pub async fn until_heard_again(
        &self,
        alternative: Alternative,
    ) {
        if alternative == Alternative::SameTarget {
            return pending().await;
        }
        let since = Instant::now();
        loop {
            sleep(HEDGED_WATCH_INTERVAL).await;
            if self.table.borrow().is_heard_since(self.incarnation, since) {
                return;
            }
        }
    }

    fn verdict(
        &self,
        max_silence: Duration,
        now: Instant,
    ) -> SilenceVerdict {
        let table = self.table.borrow();
        table.silence_verdict(self.incarnation, max_silence, now)
    }

    /// Checks the target if it has been silent for `time`.
    fn check_if_silent(
        &self,
        time: Duration,
        now: Instant,
    ) {
        if self.verdict(time, now) == SilenceVerdict::Unconfirmed {
            suspect_silent(
                self.table,
                self.names,
                &self.request.service,
                self.incarnation,
            );
        }
    }

    /// Checks whether the service is reached if no target of it has sent anything for `time`.
    fn check_service_if_quiet(
        &self,
        time: Duration,
        sent: Instant,
        now: Instant,
    ) {
        let service = &self.request.service;
        let is_quiet = {
            let table = self.table.borrow();
            table.is_quiet(&service.name, time, sent, now)
        };
        if is_quiet {
            suspect_unreached(self.table, self.names, service);
        }
    }
}
