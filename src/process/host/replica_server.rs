use {
    super::{HostControl, TableName, peer_answer::PeerAnswer, send_rate_limiter::SendRateLimiter},
    crate::{
        clock::Instant,
        connection::pull::CopyPage,
        metrics::{CopyLabels, metrics},
        process::tables::TableChanges,
    },
    std::collections::HashMap,
    xxhash_rust::xxh3::Xxh3Default,
};

/// Pages of at least this many bytes are subject to the send allowance.
const LARGE_PAGE: usize = 16 * 1024;

/// An encoded page and the digest of the changes in it.
struct PackedPage {
    content: u64,
    page: CopyPage,
}

/// Serves this host's table replicas to other hosts.
pub struct ReplicaServer {
    allowance: SendRateLimiter,
    /// Last page of each table; hosts that lag behind mostly request the same changes.
    last: HashMap<TableName, PackedPage>,
}

impl ReplicaServer {
    /// `link_mbps` is the capacity of this host's link; `None` disables the limit.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            allowance: SendRateLimiter::new(link_mbps),
            last: HashMap::new(),
        }
    }

    /// Returns the changes of a table since a version of the store.
    pub fn answer(
        &mut self,
        control: &HostControl,
        table: TableName,
        since: u64,
        now: Instant,
    ) -> PeerAnswer {
        let (changes, age) = control.changes_for_host(table, since, now);
        let Some(age) = age else {
            return PeerAnswer::NoPage;
        };
        let bytes = self.pack(table, &changes).to_bytes(age);
        if bytes.len() >= LARGE_PAGE && !self.allowance.admit(bytes.len(), now) {
            return PeerAnswer::Busy;
        }
        let labels = CopyLabels {
            table: table.word(),
        };
        let sent = metrics().copy_sent.get_or_create(&labels).clone();
        sent.inc_by(bytes.len() as u64);
        PeerAnswer::Page(bytes)
    }

    /// Returns the page of these changes, from the cache if it is the table's last one.
    fn pack(
        &mut self,
        table: TableName,
        changes: &TableChanges,
    ) -> &CopyPage {
        let content = content_of(changes);
        let last = self.last.entry(table).or_insert_with(|| PackedPage {
            content,
            page: CopyPage::new(&changes.into()),
        });
        if last.content != content {
            *last = PackedPage {
                content,
                page: CopyPage::new(&changes.into()),
            };
        }
        &last.page
    }
}

/// Digest of the content of a page.
fn content_of(changes: &TableChanges) -> u64 {
    let mut content = Xxh3Default::new();
    for row in &changes.rows {
        content.update(row.key.as_bytes());
        content.update(&row.version.to_le_bytes());
    }
    content.update(&changes.version.to_le_bytes());
    content.update(&changes.digest.to_le_bytes());
    content.update(&[u8::from(changes.whole)]);
    content.digest()
}
