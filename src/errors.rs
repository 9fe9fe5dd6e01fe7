//! The errors of each domain, one enum apiece.

use {http::StatusCode, std::path::PathBuf, thiserror::Error};

/// What is wrong with a request before it is routed.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum RequestError {
    #[error("the model {0:?} is not of the form adapter@version")]
    BadModel(String),
    #[error("the adapter version {0} is not declared")]
    UnknownModel(String),
    #[error("no such service: {0}")]
    UnknownService(String),
    #[error("the key is missing or does not belong to the service")]
    WrongKey,
    #[error("the service may not send requests of kind {0}")]
    KindNotAllowed(String),
    #[error("no such outfitter: {0}")]
    UnknownOutfitter(String),
    #[error("header {name}: {problem}")]
    BadHeader { name: &'static str, problem: String },
    #[error("the body is not valid JSON: {0}")]
    BadJson(String),
    #[error("field {field}: {problem}")]
    BadField {
        field: &'static str,
        problem: String,
    },
    #[error("the head is larger than {limit} bytes")]
    HeadTooLarge { limit: usize },
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge { limit: usize },
    #[error("the body did not arrive within {limit_ms} ms")]
    BodyTooSlow { limit_ms: u64 },
    #[error("the body ended early")]
    BodyCut,
    #[error("no such path: {0}")]
    UnknownPath(String),
    #[error("this path does not take the method {0}")]
    MethodNotAllowed(String),
    #[error("the service sends more than its {0} requests a second")]
    RateExceeded(f64),
    #[error("the host has no configuration yet")]
    NotReady,
}

impl RequestError {
    /// The stable code and the HTTP status that the error is sent with.
    pub fn code(&self) -> (&'static str, StatusCode) {
        match self {
            Self::BadModel(_) => ("bad_model", StatusCode::BAD_REQUEST),
            Self::UnknownModel(_) => ("unknown_model", StatusCode::NOT_FOUND),
            Self::UnknownService(_) => ("unknown_service", StatusCode::NOT_FOUND),
            Self::WrongKey => ("wrong_key", StatusCode::UNAUTHORIZED),
            Self::KindNotAllowed(_) => ("kind_not_allowed", StatusCode::FORBIDDEN),
            Self::UnknownOutfitter(_) => ("unknown_outfitter", StatusCode::BAD_REQUEST),
            Self::BadHeader { .. } => ("bad_header", StatusCode::BAD_REQUEST),
            Self::BadJson(_) => ("bad_json", StatusCode::BAD_REQUEST),
            Self::BadField { .. } => ("bad_field", StatusCode::BAD_REQUEST),
            Self::HeadTooLarge { .. } => (
                "head_too_large",
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ),
            Self::BodyTooLarge { .. } => ("body_too_large", StatusCode::PAYLOAD_TOO_LARGE),
            Self::BodyTooSlow { .. } => ("body_too_slow", StatusCode::REQUEST_TIMEOUT),
            Self::BodyCut => ("body_cut", StatusCode::BAD_REQUEST),
            Self::UnknownPath(_) => ("unknown_path", StatusCode::NOT_FOUND),
            Self::MethodNotAllowed(_) => ("method_not_allowed", StatusCode::METHOD_NOT_ALLOWED),
            Self::RateExceeded(_) => ("rate_exceeded", StatusCode::TOO_MANY_REQUESTS),
            Self::NotReady => ("not_ready", StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

/// A call to the platform that did not succeed.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum PlatformError {
    #[error("{what}: not reached: {problem}")]
    NotReached { what: &'static str, problem: String },
    #[error("{what}: the reply was lost: {problem}")]
    ReplyLost { what: &'static str, problem: String },
    #[error("{what}: refused with status {status}")]
    Refused { what: &'static str, status: u16 },
    #[error("{what}: the reply makes no sense: {problem}")]
    BadReply { what: &'static str, problem: String },
}

impl PlatformError {
    /// True when a write may have taken effect although it was not confirmed.
    pub fn may_have_committed(&self) -> bool {
        matches!(self, Self::ReplyLost { .. } | Self::BadReply { .. })
    }
}

/// A declared configuration that can't be read, changed or committed.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ConfigError {
    #[error("no such {what}: {name}")]
    Unknown { what: &'static str, name: String },
    #[error("kind {0}: the priority is above 9")]
    PriorityOutOfRange(String),
    #[error("service {0} has no kind")]
    NoKind(String),
    #[error("target {0} can run nothing")]
    NoRoom(String),
    #[error("outfitter {0}: the worth must be a positive number")]
    BadWorth(String),
    #[error("revision {seen} is no longer the newest; it is {found} now")]
    Conflict { seen: u64, found: u64 },
    #[error("the platform's configuration can't be read: {0}")]
    Corrupt(String),
    #[error("whether the change was accepted is not known yet: {0}")]
    Undecided(String),
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// A problem in a settings file.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{}:{line}: {problem}", file.display())]
pub struct SettingsProblem {
    pub file: PathBuf,
    /// Counted from 1; 0 when the problem has no line.
    pub line: usize,
    pub problem: String,
}

/// A call to a target that did not give a whole, right answer.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TargetError {
    #[error("not reached: {0}")]
    NotReached(String),
    #[error("refused, not run: {code}")]
    NotRun { code: String, retry_after_ms: u64 },
    #[error("the answer belongs to {found}, not to {wanted}")]
    ForeignAnswer { wanted: String, found: String },
    #[error("the answer skipped from event {wanted} to {found}")]
    Gap { wanted: u64, found: u64 },
    #[error("the answer was cut short: {0}")]
    CutShort(String),
    #[error("the answer makes no sense: {0}")]
    BadAnswer(String),
    #[error("the order bears an old fence")]
    FencedOff,
    #[error("the order failed: {0}")]
    OrderFailed(String),
    #[error("no answer within {0} ms")]
    TimedOut(u64),
}

impl TargetError {
    /// True when the request can't have begun at the target.
    pub fn surely_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotReached(_) | Self::NotRun { .. } | Self::FencedOff
        )
    }
}

/// Why a daemon or command could not do its work.
#[derive(Debug, Error)]
pub enum RunError {
    #[error("the settings are wrong:\n{}", list(.0))]
    Settings(Vec<SettingsProblem>),
    #[error("{file}: {source}", file = file.display())]
    File {
        file: PathBuf,
        source: std::io::Error,
    },
    #[error("can't listen on {address}: {problem}")]
    Listen { address: String, problem: String },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Platform(#[from] PlatformError),
    #[error("{0}")]
    Usage(String),
    #[error("the call failed: {0}")]
    Call(String),
    #[error("the request was not answered: {0}")]
    NotAnswered(String),
    #[error("a promise was broken: {0}")]
    PromiseBroken(String),
}

fn list(problems: &[SettingsProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("  {problem}"))
        .collect::<Vec<_>>()
        .join("\n")
}
