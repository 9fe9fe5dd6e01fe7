use {
    super::{Bed, bed::model},
    coveproxy::client::{CallResult, CallSpec, CallerClient, SeenOutcome},
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::task::JoinSet,
};

/// Callers of each sort that run at once.
const EACH: usize = 3;

/// Sends of one request, at the most, when its connection breaks.
const SENDS: u32 = 4;

/// One request and every result that its caller saw.
#[derive(Debug, Clone)]
pub struct Seen {
    pub spec: CallSpec,
    pub results: Vec<CallResult>,
}

impl Seen {
    pub fn last(&self) -> &CallResult {
        self.results.last().expect("each request has a result")
    }

    pub fn answered(&self) -> bool {
        self.last().outcome == SeenOutcome::Answered
    }
}

/// Callers in the background: streams, whole answers and calls that may not be repeated.
pub struct Callers {
    seen: Arc<Mutex<Vec<Seen>>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    pub fn start(bed: &Bed) -> Self {
        let mut callers = Self {
            seen: Arc::default(),
            stop: Arc::default(),
            tasks: JoinSet::new(),
        };
        for at in 0..EACH {
            let adapters = bed.plan.adapters;
            callers.spawn(bed, move |turn| {
                let model = model((turn + at) % adapters);
                CallSpec::completion("key-notes", model, 12, true)
            });
            callers.spawn(bed, move |turn| {
                let model = model((turn * 2 + at) % adapters);
                CallSpec::completion("key-notes", model, 6, false)
            });
            callers.spawn(bed, move |turn| {
                let mut spec = CallSpec::plain("key-seats", "seats", "book");
                spec.key = Some((format!("seat-{at}-{turn}"), 1));
                spec
            });
        }
        callers
    }

    /// Runs one caller that makes request after request.
    pub fn spawn(
        &mut self,
        bed: &Bed,
        next: impl Fn(usize) -> CallSpec + Send + 'static,
    ) {
        let client = bed.client.clone();
        let (seen, stop) = (self.seen.clone(), self.stop.clone());
        self.tasks.spawn(async move {
            for turn in 0.. {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let spec = next(turn);
                let results = send(&client, &spec).await;
                seen.lock().unwrap().push(Seen { spec, results });
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    }

    /// Requests answered so far, of engines and of plain services.
    pub fn answered(&self) -> (usize, usize) {
        let seen = self.seen.lock().unwrap();
        let answered = seen.iter().filter(|seen| seen.answered());
        let (models, plain): (Vec<&Seen>, Vec<&Seen>) =
            answered.partition(|seen| seen.spec.model().is_some());
        (models.len(), plain.len())
    }

    /// Waits until so many more requests of each sort are answered.
    pub async fn wait_answered(
        &self,
        more: usize,
    ) {
        let (models, plain) = self.answered();
        super::bed::wait_for("answers", async || {
            let now = self.answered();
            (now.0 >= models + more && now.1 >= plain + more).then_some(())
        })
        .await;
    }

    /// Requests that ended so far.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// Ends the callers after their requests.
    pub async fn finish(mut self) -> Vec<Seen> {
        self.stop.store(true, Ordering::Release);
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        std::mem::take(&mut *self.seen.lock().unwrap())
    }
}

/// Sends a request; when its connection breaks without a verdict, the caller sends it again:
/// what may be repeated anew, what may not under the next attempt number.
pub async fn send(
    client: &CallerClient,
    spec: &CallSpec,
) -> Vec<CallResult> {
    let mut spec = spec.clone();
    let mut results = Vec::new();
    for attempt in 1..=SENDS {
        if let Some((_, number)) = &mut spec.key {
            *number = attempt;
        }
        let result = client.call(&spec).await;
        let broke = result.outcome == SeenOutcome::Unknown
            && (result.code.is_empty() || result.code.starts_with("no_answer"));
        results.push(result);
        if !broke {
            break;
        }
    }
    results
}
