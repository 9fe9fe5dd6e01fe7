//! Store rows of poison records, which must survive the loss of all hosts.

use {
    crate::{
        formats::{RowKey, RowWrite},
        request::poison::{PoisonKey, PoisonUpdate},
    },
    serde::{Deserialize, Serialize},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Table of poison records, by key.
pub(super) const POISON_TABLE: &str = "coveproxy-poison";

/// The value of a row.
#[derive(Debug, Serialize, Deserialize)]
struct PoisonRow {
    /// The record, with its age at the time of writing.
    #[serde(rename = "told")]
    update: PoisonUpdate,
    /// Unix time of the last crash in seconds, by the writer's wall clock.
    #[serde(rename = "struck_s")]
    crashed_at_s: u64,
}

/// Returns the write that stores a record.
pub(super) fn store_write(update: &PoisonUpdate) -> RowWrite {
    let row = PoisonRow {
        update: update.clone(),
        crashed_at_s: unix_seconds().saturating_sub(update.age.as_secs()),
    };
    RowWrite {
        row: RowKey::new(POISON_TABLE, &update.key.to_string()),
        // Serialization can't fail: all fields have a JSON form.
        value: serde_json::to_vec(&row).ok(),
    }
}

/// Returns the write that deletes a record.
pub(super) fn delete_write(key: &PoisonKey) -> RowWrite {
    RowWrite {
        row: RowKey::new(POISON_TABLE, &key.to_string()),
        value: None,
    }
}

/// Parses a row's value and computes the record's current age.
pub(super) fn parse_row(value: &[u8]) -> Result<PoisonUpdate, serde_json::Error> {
    let row: PoisonRow = serde_json::from_slice(value)?;
    let mut update = row.update;
    let age = Duration::from_secs(unix_seconds().saturating_sub(row.crashed_at_s));
    let since_written = age.saturating_sub(update.age);
    for evidence in &mut update.strikes {
        evidence.age += since_written;
    }
    update.age = age;
    Ok(update)
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
