//! Health check of the colocated backend server.

use crate::executor::http_pool::{connect, HttpPool};
use crate::hop::forward_body::ForwardBody;
use crate::hop::forward_headers::header;
use foxtailgauge_platform::{headers, is_leaving_value};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a health check. The backend server queues it like a request.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Outcome of a health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HealthAnswer {
    /// A backend server at the address serves.
    Passed {
        /// Its name, if it states it.
        server: Option<String>,
        /// Value of the header with its load, if there is one.
        load: Option<String>,
    },
    /// None answered, or it does not serve.
    Failed,
}

impl HealthAnswer {
    /// Whether the check was passed by this backend server, and not by another at its address.
    pub(crate) fn is_passed_by(&self, name: &str) -> bool {
        match self {
            HealthAnswer::Passed { server, .. } => {
                server.as_ref().is_none_or(|server| server == name)
            }
            HealthAnswer::Failed => false,
        }
    }
}

/// Checks the backend server at an address, on a connection of its own.
pub(crate) async fn check(pool: &HttpPool, addr: SocketAddr, path: &str) -> HealthAnswer {
    let checking = async_std::future::timeout(TIMEOUT, send(pool, addr, path));
    checking
        .await
        .ok()
        .flatten()
        .unwrap_or(HealthAnswer::Failed)
}

/// `None` if there was no response.
async fn send(pool: &HttpPool, addr: SocketAddr, path: &str) -> Option<HealthAnswer> {
    let addr = addr.to_string();
    let request = Request::get(path).header(HOST, &addr);
    let request = request.body(ForwardBody::default()).ok()?;
    let mut connection = pool.open(&addr, connect(&addr), TIMEOUT).await.ok()?;
    let response = connection.send(request).await.ok()?;
    let is_leaving = header(response.headers(), headers::LEAVING).is_some_and(is_leaving_value);
    let name = header(response.headers(), headers::SERVER_NAME);
    let load = header(response.headers(), headers::SERVER_LOAD);
    Some(match response.status() {
        StatusCode::OK if !is_leaving => HealthAnswer::Passed {
            server: name.map(str::to_owned),
            load: load.map(str::to_owned),
        },
        _ => HealthAnswer::Failed,
    })
}
