/// Starts logging to standard error; `RUST_LOG` chooses what is written.
pub fn start_logging(default: &str) {
    let env = env_logger::Env::default().default_filter_or(default);
    // A second start, as in tests, changes nothing.
    let _ = env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .try_init();
}
