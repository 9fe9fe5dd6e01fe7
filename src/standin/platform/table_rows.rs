use {
    crate::connection::platform::{Commit, Condition, Row, RowScan, Transaction},
    std::collections::BTreeMap,
};

/// The rows of the table, with marks of the deleted ones.
#[derive(Debug, Clone, Default)]
pub struct TableRows {
    /// Rises by one with each restoration.
    era: u32,
    sequence: u64,
    rows: BTreeMap<String, Row>,
}

impl TableRows {
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Comes back from an older copy: what was written since is gone, and its sequence numbers are given out again.
    pub fn restore(
        &mut self,
        copy: &Self,
    ) {
        *self = Self {
            era: self.era + 1,
            ..copy.clone()
        };
    }

    pub fn get(
        &self,
        key: &str,
    ) -> Option<Row> {
        self.rows.get(key).filter(|row| !row.deleted).cloned()
    }

    /// Returns the rows that were written or deleted after `since`; `None` if there is no such number yet.
    pub fn scan(
        &self,
        prefixes: &[&str],
        since: u64,
    ) -> Option<RowScan> {
        if since > self.sequence {
            return None;
        }
        let wanted = |row: &&Row| {
            let under = prefixes.iter().any(|prefix| row.key.starts_with(prefix));
            let news = row.version > since;
            under && news && (since > 0 || !row.deleted)
        };
        Some(RowScan {
            sequence: self.sequence,
            rows: self.rows.values().filter(wanted).cloned().collect(),
            is_whole: since == 0,
        })
    }

    pub fn transact(
        &mut self,
        transaction: &Transaction,
    ) -> Commit {
        let found: Vec<Condition> = transaction
            .conditions
            .iter()
            .filter_map(|condition| self.mismatch(condition))
            .collect();
        if !found.is_empty() {
            return Commit::Conflict { found };
        }
        self.sequence += 1;
        for write in &transaction.writes {
            let row = Row {
                key: write.key.clone(),
                deleted: write.value.is_none(),
                value: write.value.clone().unwrap_or_default(),
                version: self.sequence,
            };
            self.rows.insert(write.key.clone(), row);
        }
        Commit::Done {
            sequence: self.sequence,
        }
    }

    fn mismatch(
        &self,
        condition: &Condition,
    ) -> Option<Condition> {
        let version = self.get(&condition.key).map_or(0, |row| row.version);
        (version != condition.version).then(|| Condition::new(&condition.key, version))
    }
}
