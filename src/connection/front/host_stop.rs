use {
    crate::clock::Instant,
    std::{future::pending, time::Duration},
    tokio::sync::watch,
};

/// Stage of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    Serving,
    /// Requests are served that can end in time; connections are closed after their request.
    Draining,
    /// New requests are rejected.
    Rejecting,
    /// Requests that still run are answered without their targets' answers.
    Answering,
}

/// State of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostStop {
    pub stage: StopStage,
    /// When the last stage begins; `None` while there is no stop.
    pub answering_at: Option<Instant>,
}

impl HostStop {
    /// Returns the state without a stop.
    pub fn none() -> Self {
        Self {
            stage: StopStage::Serving,
            answering_at: None,
        }
    }
}

/// Tells the traffic of a host of its planned stop.
#[derive(Debug, Clone)]
pub struct StopWatch {
    state: watch::Receiver<HostStop>,
}

impl StopWatch {
    pub fn new(state: watch::Receiver<HostStop>) -> Self {
        Self { state }
    }

    /// Returns the watch of a host that is not stopped.
    pub fn never() -> Self {
        Self::new(watch::channel(HostStop::none()).1)
    }

    /// Returns true if the stop has reached a stage.
    pub fn has_reached(
        &self,
        stage: StopStage,
    ) -> bool {
        self.state.borrow().stage >= stage
    }

    /// Waits for a stage of the stop.
    pub async fn until(
        &self,
        stage: StopStage,
    ) {
        let mut state = self.state.clone();
        if state.wait_for(|state| state.stage >= stage).await.is_err() {
            // Whoever stops the host is gone, and the process with it.
            pending().await
        }
    }

    /// Runs `work` up to the last stage of the stop; `None` if that comes first.
    pub async fn before_the_end<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.until(StopStage::Answering) => None,
        }
    }

    /// Returns false if something that takes `time` from now on would end after the stop.
    pub fn leaves_time_for(
        &self,
        time: Duration,
        now: Instant,
    ) -> bool {
        let answering_at = self.state.borrow().answering_at;
        answering_at.is_none_or(|at| now + time < at)
    }
}
