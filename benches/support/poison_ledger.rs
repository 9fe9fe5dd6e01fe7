//! What one crash of a target costs in the ledger of poison, at the number of requests that a target runs and queues.

use {
    super::figures::median,
    coveproxy::{
        clock::Instant,
        connection::datagram::{Message, PoisonEntry, PoisonNews, PoisonStrike, encode},
        request::poison::{
            CrashEvidence, Fingerprint, IncarnationId, PoisonKey, PoisonLedger, PoisonUpdate,
        },
    },
    std::{hint::black_box, time::Duration},
};

const ROUNDS: usize = 200;

/// Parts of each prompt that others may share; all prompts share the first one.
const PARTS: u64 = 8;

/// Part that is in all requests, and all crashes.
const COMMON_PART: PoisonKey = PoisonKey::Part(1);

pub fn print_rows() {
    println!(
        "{:>9} {:>9} {:>16} {:>16} {:>14} {:>14}",
        "suspects", "records", "bytes to a host", "of one part", "merge us", "verdict us"
    );
    for suspects in [4, 64] {
        row(suspects, 100);
        row(suspects, 1_000);
    }
}

/// Keys of the suspects of one crash.
fn suspect_keys(
    suspects: u64,
    crash: u64,
) -> Vec<PoisonKey> {
    let mut keys = vec![COMMON_PART];
    for suspect in 0..suspects {
        let number = crash * 1_000 + suspect;
        let body = number.to_le_bytes();
        let fingerprint = Fingerprint::of(None, "site", "POST", "/path", &body);
        keys.push(PoisonKey::Request(fingerprint));
        let rare = (1..PARTS).map(|part| PoisonKey::Part(number * PARTS + part + 10));
        keys.extend(rare);
    }
    keys
}

fn updates(
    keys: &[PoisonKey],
    crash: u64,
) -> Vec<PoisonUpdate> {
    let update = |key: &PoisonKey| PoisonUpdate {
        key: *key,
        strikes: vec![CrashEvidence {
            end: IncarnationId::from_number(u64::MAX - crash),
            begun: true,
            alone: true,
            age: Duration::from_millis(250),
        }],
        cleared: Vec::new(),
        survivors: Vec::new(),
        age: Duration::from_millis(250),
    };
    keys.iter().map(update).collect()
}

/// Bytes of these records in datagrams, without the heads of packets.
fn encoded_len(updates: &[PoisonUpdate]) -> usize {
    let entry = |update: &PoisonUpdate| PoisonEntry {
        key: update.key.to_bytes(),
        strikes: update.strikes.iter().map(strike).collect(),
        cleared: Vec::new(),
        age_s: 0,
        survivors: Vec::new(),
    };
    let entries = updates.iter().map(entry).collect();
    encode(Message::PoisonNews(PoisonNews { entries })).len()
}

fn strike(evidence: &CrashEvidence) -> PoisonStrike {
    PoisonStrike {
        end: evidence.end.number(),
        alone: evidence.alone,
        begun: evidence.begun,
        age_ms: 250,
    }
}

/// A ledger of so many suspected keys, each of one crash, and of a part that was in all of them.
fn filled_ledger(
    records: u64,
    now: Instant,
) -> PoisonLedger {
    let mut ledger = PoisonLedger::default();
    let mut crash = 0;
    while (ledger.page(None, usize::MAX, now).len() as u64) < records {
        crash += 1;
        for update in updates(&suspect_keys(4, 10_000 + crash), 10_000 + crash) {
            ledger.merge(&update, now);
        }
    }
    ledger
}

fn row(
    suspects: u64,
    records: u64,
) {
    let now = Instant::now();
    let mut merges = Vec::new();
    let mut verdicts = Vec::new();
    let news = updates(&suspect_keys(suspects, 1), 1);
    for _ in 0..ROUNDS {
        let mut ledger = filled_ledger(records, now);
        let began = Instant::now();
        for update in &news {
            black_box(ledger.merge(update, now));
        }
        merges.push(began.elapsed().as_secs_f64());
        ledger.settle(now + Duration::from_secs(1));
        let began = Instant::now();
        black_box(ledger.rejected_parts().count());
        black_box(ledger.verdict(&COMMON_PART));
        verdicts.push(began.elapsed().as_secs_f64());
    }
    println!(
        "{suspects:>9} {records:>9} {:>16} {:>16} {:>14.1} {:>14.1}",
        encoded_len(&news),
        encoded_len(&news[..1]),
        median(merges) * 1e6,
        median(verdicts) * 1e6,
    );
}
