use std::collections::{BTreeSet, HashMap};

/// The least number of loads from the weight store that would have served these requests, in order, had
/// all engines together kept `capacity` adapters and had it been known which is asked for next.
///
/// What is asked for again last makes way, which is the best that can be done. A lower bound: it takes
/// all engines for one, and leaves out that a place is taken while a request runs.
pub fn least_loads(
    asked: &[String],
    capacity: usize,
) -> usize {
    let next = next_uses(asked);
    // Of each adapter that is kept, when it is asked for next; the last of them makes way.
    let mut kept: BTreeSet<(usize, &str)> = BTreeSet::new();
    let mut next_of: HashMap<&str, usize> = HashMap::new();
    let mut loads = 0;
    for (at, adapter) in asked.iter().enumerate() {
        match next_of.remove(adapter.as_str()) {
            Some(expected) => {
                kept.remove(&(expected, adapter.as_str()));
            }
            None => loads += 1,
        }
        if kept.len() >= capacity
            && let Some((_, last)) = kept.pop_last()
        {
            next_of.remove(last);
        }
        kept.insert((next[at], adapter));
        next_of.insert(adapter, next[at]);
    }
    loads
}

/// For each request, when its adapter is asked for next; past the end if never.
fn next_uses(asked: &[String]) -> Vec<usize> {
    let mut seen: HashMap<&str, usize> = HashMap::new();
    let mut next = vec![0; asked.len()];
    for (at, adapter) in asked.iter().enumerate().rev() {
        next[at] = seen.insert(adapter, at).unwrap_or(asked.len() + at);
    }
    next
}
