//! How much of an answer is buffered on its way to the caller.

/// Bodies up to this size in bytes are read completely before they are relayed.
pub const MAX_BUFFERED_BODY: usize = 256 * 1024;

/// Pieces that are buffered for a slow caller before backpressure reaches whoever answers.
pub const MAX_BUFFERED_PIECES: usize = 16;
