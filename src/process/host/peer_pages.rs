//! The pages on which one host reads what another knows: its copies of tables, and the hosts.

use {
    super::{HostControl, TableName},
    crate::{
        connection::{
            datagram::HostRumor,
            pull::{ChangesBody, HostsBody, RowBody},
        },
        formats::HttpCall,
        metrics::{CopyLabels, metrics},
        process::tables::TableChanges,
    },
    prost::Message,
    std::time::{Duration, Instant},
};

const PATH: &str = "/changes/";

const HOSTS_PATH: &str = "/hosts";

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

/// Asks for the hosts that another one knows.
pub fn hosts_call() -> HttpCall {
    HttpCall::get(HOSTS_PATH.to_string())
}

/// Understands the page of hosts.
pub fn parse_hosts(body: &[u8]) -> Option<Vec<HostRumor>> {
    Some(HostsBody::decode(body).ok()?.hosts)
}

/// A page for other hosts; `None` if there is none at this path.
pub fn peer_page(
    control: &HostControl,
    path: &str,
    query: &str,
    now: Instant,
) -> Option<Vec<u8>> {
    if path == HOSTS_PATH {
        let hosts = control.hosts_for_host(now);
        return Some(HostsBody { hosts }.encode_to_vec());
    }
    changes_page(control, path, query, now)
}

fn changes_page(
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
    let body = body.encode_to_vec();
    let labels = CopyLabels {
        table: table.word(),
    };
    let sent = metrics().copy_sent.get_or_create(&labels).clone();
    sent.inc_by(body.len() as u64);
    Some(body)
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
