use {
    crate::{
        connection::http1::{CallClient, CallEnd, CallHeaders, CallLimit, ExchangeError},
        formats::{HeaderNames, HttpCall},
        version::routing::TargetService,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time for a target's answer to a health check; a sound one answers within some milliseconds.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes of the answer to a health check; one that goes on is no answer.
const MAX_CHECK_BODY: usize = 64 * 1024;

/// Result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The target answered, with any status.
    Answering,
    /// The target sent something that is no answer.
    Malformed,
    /// Connections are refused, or closed at once.
    Refusing,
    /// No answer in time: the network may be partitioned.
    Silent,
}

impl Health {
    /// Returns true if the target runs and is reached, whether it is sound or not.
    pub fn is_alive(self) -> bool {
        matches!(self, Self::Answering | Self::Malformed)
    }
}

/// A health check of one target.
pub struct HealthCheck {
    call: HttpCall,
    /// The target: any other one at the address rejects the call.
    expect: CallHeaders,
}

impl HealthCheck {
    pub fn new(
        names: &HeaderNames,
        service: &TargetService,
        target: &str,
    ) -> Self {
        Self {
            call: HttpCall::get(service.health_path.clone()),
            expect: CallHeaders::default().with(&names.expect_target, target),
        }
    }

    /// Runs the check over a new connection, since an open one may be closed for other reasons.
    pub async fn at(
        &self,
        address: SocketAddr,
    ) -> Health {
        let limit = CallLimit::whole(CHECK_TIMEOUT).with_body(MAX_CHECK_BODY);
        let mut client = CallClient::new(address);
        match client.call(&self.call, &self.expect, limit).await {
            Ok(_) => Health::Answering,
            Err(failure) => match failure.end {
                CallEnd::TimedOut | CallEnd::Silent => Health::Silent,
                CallEnd::Broken(ExchangeError::Nonsense(_)) => Health::Malformed,
                CallEnd::Broken(_) => Health::Refusing,
            },
        }
    }
}
