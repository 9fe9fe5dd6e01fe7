use {super::Liveness, std::collections::BTreeMap};

/// State of one host, gossiped with heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rumor {
    pub host: String,
    pub incarnation: u64,
    pub liveness: Liveness,
}

/// Maximum number of rumors in one heartbeat.
const MAX_RUMORS_PER_MESSAGE: usize = 12;

/// Transmissions of a rumor, as a multiple of the base-2 logarithm of the number of hosts.
const RETRANSMIT_FACTOR: u32 = 3;

/// Rumors to be sent, with the number of times each was sent; those sent least often go first.
#[derive(Debug, Default)]
pub struct RumorQueue {
    entries: BTreeMap<String, (u32, Rumor)>,
}

impl RumorQueue {
    /// Queues a rumor, replacing an older one about the same host.
    pub fn push(
        &mut self,
        rumor: Rumor,
    ) {
        self.entries.insert(rumor.host.clone(), (0, rumor));
    }

    /// Returns the rumors for one heartbeat in a site of `hosts` hosts.
    pub fn take(
        &mut self,
        hosts: usize,
    ) -> Vec<Rumor> {
        let limit = RETRANSMIT_FACTOR * (usize::BITS - hosts.leading_zeros()).max(1);
        let mut least_sent: Vec<(u32, String)> = self
            .entries
            .iter()
            .map(|(host, (sends, _))| (*sends, host.clone()))
            .collect();
        least_sent.sort();
        least_sent.truncate(MAX_RUMORS_PER_MESSAGE);
        let mut taken = Vec::new();
        for (_, host) in least_sent {
            if let Some((sends, rumor)) = self.entries.get_mut(&host) {
                *sends += 1;
                taken.push(rumor.clone());
                if *sends >= limit {
                    self.entries.remove(&host);
                }
            }
        }
        taken
    }
}
