//! The pages on which one host reads what another knows: its copies of tables, and the hosts.

use {
    super::{HostControl, TableName, copy_server::CopyServer, peer_answer::PeerAnswer},
    crate::{
        clock::Instant,
        connection::{datagram::HostRumor, pull::HostsBody},
        formats::{HttpCall, StoreVersion},
    },
    prost::Message,
};

const COPY_PATH: &str = "/copy/";

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
pub fn copy_call(
    table: TableName,
    since: StoreVersion,
) -> HttpCall {
    HttpCall::get(format!(
        "{COPY_PATH}{}?since={}",
        table.word(),
        since.to_bits()
    ))
}

/// Asks for the hosts that another one knows.
pub fn hosts_call() -> HttpCall {
    HttpCall::get(HOSTS_PATH.to_string())
}

/// Understands the page of hosts.
pub fn parse_hosts(body: &[u8]) -> Option<Vec<HostRumor>> {
    Some(HostsBody::decode(body).ok()?.hosts)
}

/// Answers another host.
pub fn answer_peer(
    control: &HostControl,
    copies: &mut CopyServer,
    path: &str,
    query: &str,
    now: Instant,
) -> PeerAnswer {
    if path == HOSTS_PATH {
        let hosts = control.known_host_rumors(now);
        return PeerAnswer::Page(HostsBody { hosts }.encode_to_vec());
    }
    let Some((table, since)) = asked_copy(path, query) else {
        return PeerAnswer::NoPage;
    };
    copies.answer(control, table, since, now)
}

/// Which table is asked for, and since which version.
fn asked_copy(
    path: &str,
    query: &str,
) -> Option<(TableName, StoreVersion)> {
    let table = TableName::from_word(path.strip_prefix(COPY_PATH)?)?;
    let since = query.strip_prefix("since=")?.parse().ok()?;
    Some((table, StoreVersion::from_bits(since)))
}
