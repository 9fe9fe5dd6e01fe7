//! The page on which one host reads another's copy of a table.

use {
    super::{HostControl, TableName},
    crate::{
        connection::pull::{ChangesBody, RowBody},
        formats::HttpCall,
        process::tables::TableChanges,
    },
    prost::Message,
    std::time::{Duration, Instant},
};

const PATH: &str = "/changes/";

impl TableName {
    pub(super) fn word(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::Targets => "targets",
        }
    }

    fn from_word(word: &str) -> Option<Self> {
        [Self::Declared, Self::Targets]
            .into_iter()
            .find(|table| table.word() == word)
    }
}

/// Asks for what has changed since a version.
pub fn changes_call(
    table: TableName,
    since: u64,
) -> HttpCall {
    HttpCall::get(format!("{PATH}{}?since={since}", table.word()))
}

/// The page's body; `None` for another page.
pub fn changes_page(
    control: &HostControl,
    path: &str,
    query: &str,
    now: Instant,
) -> Option<Vec<u8>> {
    let table = TableName::from_word(path.strip_prefix(PATH)?)?;
    let since = query.strip_prefix("since=")?.parse().ok()?;
    let (changes, age) = control.changes_for_host(table, since, now);
    let body = ChangesBody {
        rows: changes.rows.iter().map(RowBody::from).collect(),
        version: changes.version,
        digest: changes.digest,
        whole: changes.whole,
        age_ms: u32::try_from(age?.as_millis()).unwrap_or(u32::MAX),
    };
    Some(body.encode_to_vec())
}

/// Understands the page; gives also how old the copy was when it was told.
pub fn parse_changes(body: &[u8]) -> Option<(TableChanges, Duration)> {
    let body = ChangesBody::decode(body).ok()?;
    let changes = TableChanges {
        rows: body.rows.into_iter().map(Into::into).collect(),
        version: body.version,
        digest: body.digest,
        whole: body.whole,
    };
    Some((changes, Duration::from_millis(u64::from(body.age_ms))))
}
