//! Client of the admin HTTP API.

use foxtailgauge_core::{Revision, RevisionRecord};
use foxtailgauge_wire::api::{
    AuditReply, ChangeBody, ChangeReply, CheckBody, CheckReply, ErrorCode, ErrorReply,
    HistoryReply, RolloutBody, RolloutReply, RolloutsReply, ServersReply, WorkspacesReply,
};
use foxtailgauge_wire::http::{fetch, HttpError, HttpRequest, HttpResponse};
use foxtailgauge_wire::FleetStatus;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Timeout of one request; exceeds the daemon's own time limit for a change.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Number of times a change is sent to all daemons in turn until one gives a definite reply. Every
/// request carries the same change id.
const CHANGE_ROUNDS: usize = 3;

/// Reason why a request has no result.
#[derive(Debug)]
pub(crate) enum ClientError {
    /// A file could not be read.
    File {
        path: PathBuf,
        error: std::io::Error,
    },
    /// The daemon refused the request.
    Refused { code: ErrorCode },
    /// The body of the daemon's response cannot be decoded.
    InvalidResponse,
    /// The change may or may not have been accepted.
    OutcomeUnknown,
    /// No daemon responded, or none could reach a quorum of replicas. Nothing was changed.
    Unavailable,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::File { path, error } => write!(f, "{}: {error}", path.display()),
            ClientError::Refused { code } => write!(f, "refused: {code:?}"),
            ClientError::InvalidResponse => write!(f, "the daemon sent an invalid response"),
            ClientError::OutcomeUnknown => write!(f, "outcome unknown"),
            ClientError::Unavailable => {
                write!(
                    f,
                    "no daemon responded, or none can reach a quorum of replicas: nothing was changed"
                )
            }
        }
    }
}

impl std::error::Error for ClientError {}

pub(crate) fn read_file(path: &Path) -> Result<String, ClientError> {
    std::fs::read_to_string(path).map_err(|error| ClientError::File {
        path: path.to_owned(),
        error,
    })
}

/// Client that sends requests to a list of daemons, in order.
pub(crate) struct Client {
    addrs: Vec<SocketAddr>,
    headers: Vec<(String, String)>,
}

impl Client {
    /// Creates a client that sends the token in `token_file`, if given, as its bearer token.
    pub(crate) fn new(
        addrs: &[SocketAddr],
        token_file: Option<&Path>,
    ) -> Result<Self, ClientError> {
        let mut headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        if let Some(path) = token_file {
            let token = read_file(path)?;
            headers.push((
                "Authorization".to_owned(),
                format!("Bearer {}", token.trim()),
            ));
        }
        Ok(Client {
            addrs: addrs.to_vec(),
            headers,
        })
    }

    /// Sends a change and retries it until a daemon gives a definite reply. A retry carries the
    /// same change id and gets the same reply as the first request.
    pub(crate) async fn change(
        &self,
        team: &str,
        body: &ChangeBody,
    ) -> Result<ChangeReply, ClientError> {
        let target = format!("/v1/teams/{team}/config");
        let bytes = encode(body)?;
        let mut is_outcome_unknown = false;
        for _ in 0..CHANGE_ROUNDS {
            for addr in &self.addrs {
                match self.send(*addr, "PUT", &target, &bytes).await {
                    Ok(response) => match decode(&response) {
                        Err(ClientError::OutcomeUnknown) => is_outcome_unknown = true,
                        Err(ClientError::Unavailable) => {}
                        result => return result,
                    },
                    Err(HttpError::Connect(_) | HttpError::BadRequest) => {}
                    Err(HttpError::Broken | HttpError::TooLarge) => is_outcome_unknown = true,
                }
            }
        }
        Err(match is_outcome_unknown {
            true => ClientError::OutcomeUnknown,
            false => ClientError::Unavailable,
        })
    }

    /// Validates a configuration text without applying it.
    pub(crate) async fn check(&self, team: &str, text: &str) -> Result<CheckReply, ClientError> {
        let body = CheckBody {
            text: text.to_owned(),
        };
        let target = format!("/v1/teams/{team}/check");
        self.request_any("POST", &target, &encode(&body)?).await
    }

    /// Reads a revision, by default the current one. Returns `None` if it does not exist.
    pub(crate) async fn revision(
        &self,
        team: &str,
        revision: Option<Revision>,
    ) -> Result<Option<RevisionRecord>, ClientError> {
        let query = revision
            .map(|revision| format!("?revision={revision}"))
            .unwrap_or_default();
        let target = format!("/v1/teams/{team}/config{query}");
        match self.request_any("GET", &target, &[]).await {
            Ok(record) => Ok(Some(record)),
            Err(ClientError::Refused {
                code: ErrorCode::NotFound,
            }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads all retained revisions.
    pub(crate) async fn history(&self, team: &str) -> Result<HistoryReply, ClientError> {
        self.request_any("GET", &format!("/v1/teams/{team}/history"), &[])
            .await
    }

    /// Reads the audit trail.
    pub(crate) async fn audit(&self, team: &str) -> Result<AuditReply, ClientError> {
        self.request_any("GET", &format!("/v1/teams/{team}/audit"), &[])
            .await
    }

    /// Orders a rollout. Sent to one daemon after another only while none may have accepted it: another
    /// order would be refused as in progress.
    pub(crate) async fn start_rollout(
        &self,
        order: &RolloutBody,
    ) -> Result<RolloutReply, ClientError> {
        let bytes = encode(order)?;
        for addr in &self.addrs {
            match self.send(*addr, "POST", "/v1/rollouts", &bytes).await {
                Ok(response) => match decode(&response) {
                    Err(ClientError::Unavailable) => {}
                    result => return result,
                },
                Err(HttpError::Connect(_) | HttpError::BadRequest) => {}
                Err(HttpError::Broken | HttpError::TooLarge) => {
                    return Err(ClientError::OutcomeUnknown)
                }
            }
        }
        Err(ClientError::Unavailable)
    }

    /// Reads the rollouts of one service, or of all services.
    pub(crate) async fn rollouts(
        &self,
        service: Option<&str>,
    ) -> Result<RolloutsReply, ClientError> {
        let target = match service {
            Some(service) => format!("/v1/rollouts/{service}"),
            None => "/v1/rollouts".to_owned(),
        };
        self.request_any("GET", &target, &[]).await
    }

    /// Reads the status of the fleet.
    pub(crate) async fn status(&self) -> Result<FleetStatus, ClientError> {
        self.request_any("GET", "/v1/status", &[]).await
    }

    /// Reads the loads of the backend servers, of all services or of one.
    pub(crate) async fn servers(&self, service: Option<&str>) -> Result<ServersReply, ClientError> {
        let query = service.map(|service| {
            let encoded = form_urlencoded::byte_serialize(service.as_bytes());
            format!("?service={}", encoded.collect::<String>())
        });
        let target = format!("/v1/servers{}", query.unwrap_or_default());
        self.request_any("GET", &target, &[]).await
    }

    /// Reads the limited workspaces.
    pub(crate) async fn workspaces(&self) -> Result<WorkspacesReply, ClientError> {
        self.request_any("GET", "/v1/workspaces", &[]).await
    }

    /// Declares that an unreachable daemon will not return, so that a change no longer waits for
    /// it.
    pub(crate) async fn forget(&self, daemon: &str) -> Result<(), ClientError> {
        let target = format!("/v1/daemons/{daemon}/forget");
        for addr in &self.addrs {
            match self.send(*addr, "POST", &target, &[]).await {
                Ok(response) if response.status == 204 => return Ok(()),
                Ok(response) => match decode::<ErrorReply>(&response) {
                    Ok(reply) if reply.code != ErrorCode::Unavailable => {
                        return Err(ClientError::Refused { code: reply.code });
                    }
                    _ => {}
                },
                Err(_) => {}
            }
        }
        Err(ClientError::Unavailable)
    }

    /// Sends a request to the daemons in turn and returns the first definite reply.
    async fn request_any<T: DeserializeOwned>(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<T, ClientError> {
        for addr in &self.addrs {
            let Ok(response) = self.send(*addr, method, target, body).await else {
                continue;
            };
            match decode(&response) {
                Err(ClientError::Unavailable | ClientError::OutcomeUnknown) => {}
                result => return result,
            }
        }
        Err(ClientError::Unavailable)
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<HttpResponse, HttpError> {
        let request = HttpRequest {
            method,
            target,
            headers: &self.headers,
            body,
        };
        let exchange = fetch(addr, request, MAX_RESPONSE_BYTES);
        let response = async_std::future::timeout(REQUEST_TIMEOUT, exchange).await;
        response.unwrap_or(Err(HttpError::Broken))
    }
}

fn encode(body: &impl Serialize) -> Result<Vec<u8>, ClientError> {
    serde_json::to_vec(body).map_err(|_| ClientError::InvalidResponse)
}

/// Decodes a successful reply, or the error reply sent in its place.
fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, ClientError> {
    if let Ok(value) = serde_json::from_slice(&response.body) {
        return Ok(value);
    }
    let error_reply: ErrorReply =
        serde_json::from_slice(&response.body).map_err(|_| ClientError::InvalidResponse)?;
    Err(match error_reply.code {
        ErrorCode::Unavailable => ClientError::Unavailable,
        ErrorCode::OutcomeUnknown => ClientError::OutcomeUnknown,
        code => ClientError::Refused { code },
    })
}
