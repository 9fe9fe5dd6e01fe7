//! Delays before a request tries to choose an engine again.

use std::time::Duration;

/// Delay after a holder was asked to load an adapter.
pub const HOLDER_TIMEOUT: Duration = Duration::from_millis(60);

/// Delay when no engine can take the request.
pub const CHOICE_RETRY_INTERVAL: Duration = Duration::from_millis(25);
