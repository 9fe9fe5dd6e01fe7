use {
    crate::connection::datagram::Usage,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Requests that run at an engine, and their tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UseSum {
    pub in_flight: u32,
    pub tokens: u32,
    /// Tokens of prompts that have brought no event yet.
    pub unread_tokens: u32,
}

/// What each host sends to one engine, as it last told.
#[derive(Debug, Clone, Default)]
pub struct EngineUse {
    by_host: BTreeMap<SocketAddr, UseSum>,
}

impl EngineUse {
    /// A host told what it sends.
    pub fn on_usage(
        &mut self,
        host: SocketAddr,
        usage: &Usage,
    ) {
        let sum = UseSum {
            in_flight: usage.in_flight,
            tokens: usage.tokens,
            unread_tokens: usage.unread_tokens,
        };
        self.by_host.insert(host, sum);
    }

    /// A host is gone, and its requests with it.
    pub fn on_host_gone(
        &mut self,
        host: SocketAddr,
    ) {
        self.by_host.remove(&host);
    }

    /// Hosts that have sent something.
    pub fn hosts(&self) -> impl Iterator<Item = SocketAddr> {
        self.by_host.keys().copied()
    }

    /// What all hosts but one send.
    pub fn of_others(
        &self,
        host: SocketAddr,
    ) -> UseSum {
        let others = self.by_host.iter().filter(|(other, _)| **other != host);
        others.fold(UseSum::default(), |sum, (_, of_host)| UseSum {
            in_flight: sum.in_flight + of_host.in_flight,
            tokens: sum.tokens.saturating_add(of_host.tokens),
            unread_tokens: sum.unread_tokens.saturating_add(of_host.unread_tokens),
        })
    }
}
