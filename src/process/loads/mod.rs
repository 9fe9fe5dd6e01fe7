//! The site-wide order in which adapters are loaded.

mod load_queue;

pub use load_queue::{AskId, LoadAsk, LoadDecision, LoadQueue};
