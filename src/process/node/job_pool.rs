use std::thread;

type Job = Box<dyn FnOnce() + Send>;

/// A few threads for calls to the platform that block.
#[derive(Clone)]
pub struct JobPool {
    jobs: flume::Sender<Job>,
}

impl JobPool {
    /// Starts `threads` threads; they end with the last handle.
    pub fn start(
        name: &str,
        threads: usize,
    ) -> Self {
        let (jobs, received) = flume::unbounded::<Job>();
        for _ in 0..threads {
            let received = received.clone();
            thread::Builder::new()
                .name(name.to_string())
                .spawn(move || received.into_iter().for_each(|job| job()))
                .expect("the system gives a thread");
        }
        Self { jobs }
    }

    /// Runs a job when a thread is free.
    pub fn run(
        &self,
        job: impl FnOnce() + Send + 'static,
    ) {
        let _ = self.jobs.send(Box::new(job));
    }
}
