use {
    crate::errors::RunError,
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
    },
};

/// A runtime with so many threads for traffic; none takes one for each core.
pub fn runtime(threads: Option<usize>) -> Result<Runtime, RunError> {
    let mut builder = Builder::new_multi_thread();
    if let Some(threads) = threads {
        builder.worker_threads(threads);
    }
    let runtime = builder.enable_all().build();
    runtime.map_err(|e| RunError::Call(e.to_string()))
}

/// Waits for the request to stop: SIGTERM or SIGINT.
pub async fn stop_requested() -> Result<(), RunError> {
    let call = |e: std::io::Error| RunError::Call(e.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(call)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(call)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
