use {
    crate::timeline::{LineHead, LineWriter},
    std::io::Write,
};

/// Starts logging to standard error; `RUST_LOG` chooses what is written.
pub fn start_logging(default: &str) {
    let env = env_logger::Env::default().default_filter_or(default);
    // A second start, as in tests, changes nothing.
    let _ = env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .try_init();
}

/// Starts logging of `name=value` lines to standard output, through a writer that never holds a
/// caller up.
pub fn start_line_logging(
    default: &str,
    host: &str,
) {
    let head = LineHead::new(host);
    let Ok(writer) = LineWriter::start(head.clone(), std::io::stdout()) else {
        return;
    };
    let env = env_logger::Env::default().default_filter_or(default);
    let _ = env_logger::Builder::from_env(env)
        .format(move |line, record| {
            head.write(record.level(), line)?;
            writeln!(line, "{}", record.args())
        })
        .write_style(env_logger::WriteStyle::Never)
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .try_init();
}
