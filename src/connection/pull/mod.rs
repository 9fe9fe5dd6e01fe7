//! What one host tells another when asked over a connection: its copy of a table, and the hosts that
//! it knows.

mod changes_body;
mod copy_page;

pub use {
    changes_body::{ChangesBody, HostsBody, RowBody},
    copy_page::{CopyPage, PageProblem},
};
