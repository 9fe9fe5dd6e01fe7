use {super::Instant, std::time::Duration, tokio::time::sleep};

/// Timers don't count the time for which the machine is suspended; so long after it goes on, whoever waits has looked at the clock
/// again. Callers wait for seconds; it costs one wake a second for each that waits.
const LOOK_AGAIN: Duration = Duration::from_secs(1);

/// The time was over first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Waits until a moment.
pub async fn sleep_until(at: Instant) {
    loop {
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        sleep(left.min(LOOK_AGAIN)).await;
    }
}

/// Waits for something, but not beyond a moment.
pub async fn timeout_at<F: Future>(
    at: Instant,
    future: F,
) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        _ = sleep_until(at) => Err(Elapsed),
    }
}
