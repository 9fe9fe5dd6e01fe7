//! What one host tells another of its copy of a table, when asked over a connection.

mod changes_body;

pub use changes_body::{ChangesBody, RowBody};
