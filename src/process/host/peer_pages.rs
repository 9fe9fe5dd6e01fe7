//! HTTP pages that hosts serve to one another: table replicas and the list of known hosts.

use {
    super::{HostControl, TableName, peer_answer::PeerAnswer, replica_server::ReplicaServer},
    crate::{
        clock::Instant,
        connection::{datagram::HostRumor, pull::HostsBody},
        formats::HttpCall,
    },
    prost::Message,
};

const CHANGES_PATH: &str = "/copy/";

const HOSTS_PATH: &str = "/hosts";

impl TableName {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::Targets => "targets",
        }
    }

    fn from_label(label: &str) -> Option<Self> {
        [Self::Declared, Self::Targets]
            .into_iter()
            .find(|table| table.label() == label)
    }
}

/// Returns the call that requests the changes of a table since a version.
pub fn changes_call(
    table: TableName,
    since: u64,
) -> HttpCall {
    HttpCall::get(format!("{CHANGES_PATH}{}?since={since}", table.label()))
}

/// Returns the call that requests the list of known hosts.
pub fn hosts_call() -> HttpCall {
    HttpCall::get(HOSTS_PATH.to_string())
}

/// Decodes the list of known hosts; `None` if it is malformed.
pub fn parse_hosts(body: &[u8]) -> Option<Vec<HostRumor>> {
    Some(HostsBody::decode(body).ok()?.hosts)
}

/// Answers a request from another host.
pub fn answer_peer_request(
    control: &HostControl,
    replicas: &mut ReplicaServer,
    path: &str,
    query: &str,
    now: Instant,
) -> PeerAnswer {
    if path == HOSTS_PATH {
        let hosts = control.known_host_rumors(now);
        return PeerAnswer::Page(HostsBody { hosts }.encode_to_vec());
    }
    let Some((table, since)) = parse_changes_request(path, query) else {
        return PeerAnswer::NotFound;
    };
    replicas.answer(control, table, since, now)
}

/// Parses the table and the version of a request for changes; `None` for any other path or query.
fn parse_changes_request(
    path: &str,
    query: &str,
) -> Option<(TableName, u64)> {
    let table = TableName::from_label(path.strip_prefix(CHANGES_PATH)?)?;
    let since = query.strip_prefix("since=")?.parse().ok()?;
    Some((table, since))
}
