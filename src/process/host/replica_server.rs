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
const LARGE_PAGE_BYTES: usize = 16 * 1024;

/// An encoded page and the digest of the changes in it.
struct EncodedPage {
    content_digest: u64,
    page: CopyPage,
}

/// Serves this host's table replicas to other hosts.
pub struct ReplicaServer {
    limiter: SendRateLimiter,
    /// Last page of each table; hosts that lag behind mostly request the same changes.
    last_pages: HashMap<TableName, EncodedPage>,
}

impl ReplicaServer {
    /// `link_mbps` is the capacity of this host's link; `None` disables the limit.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            limiter: SendRateLimiter::new(link_mbps),
            last_pages: HashMap::new(),
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
            return PeerAnswer::NotFound;
        };
        let bytes = self.encode(table, &changes).to_bytes(age);
        if bytes.len() >= LARGE_PAGE_BYTES && !self.limiter.admit(bytes.len(), now) {
            return PeerAnswer::Busy;
        }
        let labels = CopyLabels {
            table: table.label(),
        };
        let sent = metrics().copy_sent.get_or_create(&labels).clone();
        sent.inc_by(bytes.len() as u64);
        PeerAnswer::Page(bytes)
    }

    /// Returns the page of these changes, from the cache if it is the table's last one.
    fn encode(
        &mut self,
        table: TableName,
        changes: &TableChanges,
    ) -> &CopyPage {
        let content_digest = digest_of(changes);
        let last_page = self.last_pages.entry(table).or_insert_with(|| EncodedPage {
            content_digest,
            page: CopyPage::new(&changes.into()),
        });
        if last_page.content_digest != content_digest {
            *last_page = EncodedPage {
                content_digest,
                page: CopyPage::new(&changes.into()),
            };
        }
        &last_page.page
    }
}

/// Digest of the content of a page.
fn digest_of(changes: &TableChanges) -> u64 {
    let mut hasher = Xxh3Default::new();
    for row in &changes.rows {
        hasher.update(row.key.as_bytes());
        hasher.update(&row.version.to_le_bytes());
    }
    hasher.update(&changes.version.to_le_bytes());
    hasher.update(&changes.digest.to_le_bytes());
    hasher.update(&[u8::from(changes.is_full)]);
    hasher.digest()
}
