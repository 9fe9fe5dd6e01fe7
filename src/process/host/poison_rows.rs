//! Requests that end targets, as the store keeps them: what is known must outlive a loss of all hosts.

use {
    crate::{
        formats::{RowKey, RowWrite},
        request::poison::{Fingerprint, PoisonUpdate},
    },
    serde::{Deserialize, Serialize},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The table of these rows; a row's key is the request's fingerprint.
pub(super) const POISON_TABLE: &str = "coveproxy-poison";

/// The value of a row.
#[derive(Debug, Serialize, Deserialize)]
struct PoisonRow {
    /// Its age is as of the time of writing.
    told: PoisonUpdate,
    /// Unix second of the last strike, by the writer's time of day: ages must outlive the writer, and are of hours.
    struck_s: u64,
}

/// The write that keeps what is known of a request.
pub(super) fn row_of(told: &PoisonUpdate) -> RowWrite {
    let row = PoisonRow {
        told: told.clone(),
        struck_s: unix_seconds().saturating_sub(told.age.as_secs()),
    };
    RowWrite {
        row: RowKey::new(POISON_TABLE, &told.fingerprint.to_string()),
        // Plain fields, all of which have a JSON form.
        value: serde_json::to_vec(&row).ok(),
    }
}

/// The write that removes what was known of a request.
pub(super) fn removal_of(fingerprint: &Fingerprint) -> RowWrite {
    RowWrite {
        row: RowKey::new(POISON_TABLE, &fingerprint.to_string()),
        value: None,
    }
}

/// What a row tells, as old as it is by now.
pub(super) fn poison_of(value: &[u8]) -> Result<PoisonUpdate, serde_json::Error> {
    let row: PoisonRow = serde_json::from_slice(value)?;
    Ok(PoisonUpdate {
        age: Duration::from_secs(unix_seconds().saturating_sub(row.struck_s)),
        ..row.told
    })
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
