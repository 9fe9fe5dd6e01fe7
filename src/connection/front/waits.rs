//! How long requests wait before they look for an engine again.

use std::time::Duration;

/// Wait for the answer of a holder that was just asked.
pub const ASK_WAIT: Duration = Duration::from_millis(60);

/// Pause before a request that no engine can take looks again.
pub const LOOK_AGAIN: Duration = Duration::from_millis(25);
