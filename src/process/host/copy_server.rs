use {
    super::{HostControl, TableName, peer_answer::PeerAnswer, send_allowance::SendAllowance},
    crate::{
        clock::Instant,
        connection::pull::CopyPage,
        formats::StoreVersion,
        metrics::{CopyLabels, metrics},
        process::tables::TableChanges,
    },
    std::collections::HashMap,
    xxhash_rust::xxh3::Xxh3Default,
};

/// Larger pages wait until the link has room for them; smaller ones fill 10 Mbit/s for 13 ms at the most.
const LARGE_PAGE: usize = 16 * 1024;

/// A page that was packed, and which rows and copy it stands for.
struct PackedPage {
    content: u64,
    page: CopyPage,
}

/// Hands this host's copies of tables to other hosts.
pub struct CopyServer {
    allowance: SendAllowance,
    /// The last page of each table: hosts that lag mostly lack the same rows, and packing 1 MB takes 1 ms.
    last: HashMap<TableName, PackedPage>,
}

impl CopyServer {
    /// Serves over a link that carries so much; none sets no limit.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            allowance: SendAllowance::new(link_mbps),
            last: HashMap::new(),
        }
    }

    /// What has changed in a table since a version of the store.
    pub fn answer(
        &mut self,
        control: &HostControl,
        table: TableName,
        since: StoreVersion,
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

    /// The page of these changes, packed anew unless it is the last one again.
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

/// Equal for changes that make the same page.
fn content_of(changes: &TableChanges) -> u64 {
    let mut content = Xxh3Default::new();
    for row in &changes.rows {
        content.update(row.key.as_bytes());
        content.update(&row.version.to_bits().to_le_bytes());
    }
    content.update(&changes.version.to_bits().to_le_bytes());
    content.update(&changes.digest.to_le_bytes());
    content.update(&[u8::from(changes.is_full)]);
    content.digest()
}
