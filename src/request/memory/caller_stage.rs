/// What this host and a caller wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerStage {
    /// The caller may send a request.
    Idle,
    /// The caller is sending the body of a request, which has not run.
    SendsBody,
    /// This host does not read the body, as it has no room for it.
    AwaitsRoom,
    /// The request is complete, and has no answer yet.
    AwaitsAnswer,
    /// The answer is complete or being sent; once the caller has taken all of it, the caller may send a request.
    Answered {
        /// The request may run again.
        repeatable: bool,
        /// The answer comes piece by piece from a target.
        streams: bool,
    },
}
