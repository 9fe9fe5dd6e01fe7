//! Holds requests back while what they would rest on is too old.

use {
    crate::{
        clock::{Instant, timeout_at},
        connection::{front::request_trace::millis, targets::TargetTable},
        note,
        timeline::Event,
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// A request is held back for so long at the most. News that are late are mostly late by less; past
/// this a caller does better to come to another host, as long as most of its time is left.
const MOST_HELD: Duration = Duration::from_millis(250);

/// Callers that were turned away come back after this time: to another host, as a rule.
pub const HELD_COME_BACK: Duration = Duration::from_millis(50);

/// What a request is held back for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// It is to be routed: by the configuration.
    Declared,
    /// It is to be sent for a customer: by the keys that stand.
    Keys,
    /// It is to be sent: by the list of targets.
    Targets,
    /// It is to be sent for an adapter: by what is known of its versions.
    Versions,
}

impl Belief {
    fn word(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::Keys => "keys",
            Self::Targets => "targets",
            Self::Versions => "versions",
        }
    }

    pub fn is_confirmed(
        self,
        board: &TargetTable,
        now: Instant,
    ) -> bool {
        match self {
            Self::Declared => board.can_route(now),
            Self::Keys => board.can_accept_keys(now),
            Self::Targets => board.can_send(now),
            Self::Versions => board.can_use_versions(now),
        }
    }
}

/// Waits until a belief is young enough, and tells if that took time; false if it took too long.
///
/// It guards against a host whose control thread gets no processor, or whose news are held up on full
/// links: it must not send requests to targets that said longer ago than the bound that they leave.
pub async fn wait_until_confirmed(
    board: &Rc<RefCell<TargetTable>>,
    belief: Belief,
    request: &str,
) -> bool {
    let begun = Instant::now();
    if news_to_wait_for(board, belief).is_none() {
        return true;
    }
    let confirmed = async {
        while let Some(news) = news_to_wait_for(board, belief) {
            news.notified().await;
        }
    };
    let confirmed = timeout_at(begun + MOST_HELD, confirmed).await;
    note!(
        Event::RequestHeld,
        id = request,
        table = belief.word(),
        waited_ms = millis(begun.elapsed()),
        confirmed = confirmed.is_ok()
    );
    confirmed.is_ok()
}

fn news_to_wait_for(
    board: &Rc<RefCell<TargetTable>>,
    belief: Belief,
) -> Option<Rc<Notify>> {
    let board = board.borrow();
    let confirmed = belief.is_confirmed(&board, Instant::now());
    (!confirmed).then(|| board.freshness_updates())
}
