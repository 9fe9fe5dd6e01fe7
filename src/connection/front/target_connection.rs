use {
    super::{
        in_flight_request::InFlightRequest,
        reach_check::{suspect_unreached, until_unreached},
    },
    crate::{
        connection::http1::{ExchangeError, HttpConnection},
        formats::HeaderNames,
        request::direct::CallRequest,
        version::routing::TargetService,
    },
    std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::time::{error::Elapsed, timeout},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection attempt that takes this long may mean that no target is reached: far above a round trip between regions.
const SLOW_CONNECT_TIME: Duration = Duration::from_millis(100);

/// A connection for one exchange with a target.
pub struct TargetConnection {
    pub connection: HttpConnection,
    /// It was opened for this exchange.
    pub is_new: bool,
}

/// Returns a connection to the target of a request, an idle one if there is any that has not carried the request before; `None`
/// if none can be opened.
pub async fn connect(
    in_flight: &InFlightRequest,
    names: &HeaderNames,
    request: &CallRequest,
) -> Option<TargetConnection> {
    let service = &request.service;
    let address = match in_flight.idle_connection(request.id_bytes())? {
        Ok(connection) => {
            return Some(TargetConnection {
                connection,
                is_new: false,
            });
        }
        Err(address) => address,
    };
    match open(address, in_flight, names, service).await {
        Ok(Ok(connection)) => Some(TargetConnection {
            connection,
            is_new: true,
        }),
        _ => {
            in_flight.record_failure();
            suspect_unreached(in_flight.table(), names, service);
            None
        }
    }
}

/// Opens a connection; gives it up if no target of the service turns out to be reached.
async fn open(
    address: SocketAddr,
    in_flight: &InFlightRequest,
    names: &HeaderNames,
    service: &Arc<TargetService>,
) -> Result<Result<HttpConnection, ExchangeError>, Elapsed> {
    let mut opening = pin!(timeout(CONNECT_TIMEOUT, HttpConnection::open(address)));
    if let Ok(opened) = timeout(SLOW_CONNECT_TIME, opening.as_mut()).await {
        return opened;
    }
    suspect_unreached(in_flight.table(), names, service);
    tokio::select! {
        opened = opening => opened,
        () = until_unreached(in_flight.table(), &service.name) => Ok(Err(ExchangeError::NoConnection)),
    }
}
