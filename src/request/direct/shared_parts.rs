//! The parts of a prompt that other requests may share, as a request lists them.

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of shared parts of one prompt that are told apart; a caller may list any number.
const MAX_SHARED_PARTS: usize = 64;

/// Hexadecimal digits of an id that stands for itself.
const MAX_ID_DIGITS: usize = 16;

/// Returns the ids of the shared parts in a list of `ID:TOKENS,…`, each once, in order: all but the last one, which belongs to the
/// request or its session. Parts without a hexadecimal id are skipped; the number of tokens does not matter.
pub fn shared_parts(list: &str) -> Vec<u64> {
    let Some((shared, _own)) = list.rsplit_once(',') else {
        return Vec::new();
    };
    let mut ids = Vec::new();
    for id in shared.split(',').filter_map(part_id) {
        if ids.len() < MAX_SHARED_PARTS && !ids.contains(&id) {
            ids.push(id);
        }
    }
    ids
}

/// Returns the id of a part; a hash stands for one of more digits.
fn part_id(part: &str) -> Option<u64> {
    let (id, _tokens) = part.trim().split_once(':')?;
    if id.is_empty() || !id.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    let digits = id.trim_start_matches('0').to_ascii_lowercase();
    match digits.len() <= MAX_ID_DIGITS {
        true => u64::from_str_radix(id, 16).ok(),
        false => Some(xxh3_64(digits.as_bytes())),
    }
}
