/// What is thought of a request under which targets have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It may have been others that ended them: it is served, but not sent again by itself.
    Suspected,
    /// It is sent to no target any more.
    Refused,
}

impl Standing {
    /// The standing in logs; none is that of every other request.
    pub fn word(standing: Option<Self>) -> &'static str {
        match standing {
            None => "cleared",
            Some(Self::Suspected) => "suspected",
            Some(Self::Refused) => "refused",
        }
    }
}
