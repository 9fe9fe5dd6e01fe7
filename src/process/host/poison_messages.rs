//! Poison records as hosts send them to one another.

use {
    crate::{
        connection::datagram::{Message, PoisonEntry, PoisonNews, PoisonStrike},
        request::poison::{CrashEvidence, IncarnationId, PoisonKey, PoisonUpdate},
    },
    prost::Message as _,
    std::time::Duration,
};

/// Maximum size of the records in one datagram, in bytes, unless a single one is larger; a datagram must fit into a packet.
const MAX_RECORD_BYTES: usize = 1_150;

/// Returns the messages that hold these records, as few as fit.
pub(super) fn to_messages(updates: &[PoisonUpdate]) -> Vec<Message> {
    let mut messages = Vec::new();
    let mut entries: Vec<PoisonEntry> = Vec::new();
    let mut bytes = 0;
    for update in updates {
        let entry = entry_to_wire(update);
        let size = entry.encoded_len();
        if !entries.is_empty() && bytes + size > MAX_RECORD_BYTES {
            let full = std::mem::take(&mut entries);
            messages.push(Message::PoisonNews(PoisonNews { entries: full }));
            bytes = 0;
        }
        bytes += size;
        entries.push(entry);
    }
    if !entries.is_empty() {
        messages.push(Message::PoisonNews(PoisonNews { entries }));
    }
    messages
}

fn entry_to_wire(update: &PoisonUpdate) -> PoisonEntry {
    PoisonEntry {
        key: update.key.to_bytes(),
        strikes: update.strikes.iter().map(evidence_to_wire).collect(),
        cleared: numbers(&update.cleared),
        age_s: u32::try_from(update.age.as_secs()).unwrap_or(u32::MAX),
        survivors: numbers(&update.survivors),
    }
}

fn evidence_to_wire(evidence: &CrashEvidence) -> PoisonStrike {
    PoisonStrike {
        end: evidence.end.number(),
        alone: evidence.alone,
        begun: evidence.begun,
        age_ms: u32::try_from(evidence.age.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Converts an entry from its wire format; `None` if its key is invalid.
pub(super) fn update_from_wire(entry: &PoisonEntry) -> Option<PoisonUpdate> {
    Some(PoisonUpdate {
        key: PoisonKey::from_bytes(&entry.key)?,
        strikes: entry.strikes.iter().map(evidence_from_wire).collect(),
        cleared: incarnations(&entry.cleared),
        survivors: incarnations(&entry.survivors),
        age: Duration::from_secs(u64::from(entry.age_s)),
    })
}

fn evidence_from_wire(evidence: &PoisonStrike) -> CrashEvidence {
    CrashEvidence {
        end: IncarnationId::from_number(evidence.end),
        begun: evidence.begun,
        alone: evidence.alone,
        age: Duration::from_millis(u64::from(evidence.age_ms)),
    }
}

fn numbers(incarnations: &[IncarnationId]) -> Vec<u64> {
    incarnations.iter().map(|id| id.number()).collect()
}

fn incarnations(numbers: &[u64]) -> Vec<IncarnationId> {
    let numbers = numbers.iter().copied();
    numbers.map(IncarnationId::from_number).collect()
}
