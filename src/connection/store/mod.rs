//! Calls to the platform's store, in the product's own types.

mod store_client;

pub use store_client::{StoreClient, StoreFailure};
