//! Delays before a request tries to choose an engine again.

use std::time::Duration;

/// Delay after a holder was asked to load an adapter.
pub const ASK_WAIT: Duration = Duration::from_millis(60);

/// Delay when no engine can take the request.
pub const LOOK_AGAIN: Duration = Duration::from_millis(25);
