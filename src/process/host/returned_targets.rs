use {
    crate::clock::Instant,
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which an entry that a restored store lists again is taken for a target that runs: the platform has removed the
/// entry of one that is silent by then.
const CONFIRMATION_TIME: Duration = Duration::from_secs(5);

/// Targets known as gone whose entries came back with an older copy of the store.
///
/// They are not used until their entries have stood for a while: what was acknowledged before the restoration stays true.
#[derive(Debug, Default)]
pub struct ReturnedTargets {
    listed_at: BTreeMap<String, Instant>,
}

impl ReturnedTargets {
    /// Records that an entry is listed again. Further changes of it do not begin anew.
    pub fn insert(
        &mut self,
        id: &str,
        now: Instant,
    ) {
        self.listed_at.entry(id.to_string()).or_insert(now);
    }

    pub fn remove(
        &mut self,
        id: &str,
    ) {
        self.listed_at.remove(id);
    }

    /// Returns the targets whose entries have stood for long enough, and forgets them.
    pub fn take_confirmed(
        &mut self,
        now: Instant,
    ) -> Vec<String> {
        let is_confirmed = |at: &Instant| now.saturating_duration_since(*at) >= CONFIRMATION_TIME;
        let listed = std::mem::take(&mut self.listed_at);
        let (confirmed, listed) = listed.into_iter().partition(|(_, at)| is_confirmed(at));
        self.listed_at = listed;
        let confirmed: BTreeMap<String, Instant> = confirmed;
        confirmed.into_keys().collect()
    }
}
