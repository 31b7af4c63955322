//! The admin HTTP interface, seen from the command line.

use foxtailgauge_core::{Revision, RevisionRecord};
use foxtailgauge_wire::api::{
    AuditReply, ChangeBody, ChangeReply, CheckBody, CheckReply, ErrorCode, ErrorReply, HistoryReply,
};
use foxtailgauge_wire::http::{fetch, HttpError, HttpRequest, HttpResponse};
use foxtailgauge_wire::FleetStatus;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Time for one request; longer than the daemon's own limit for a change.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
/// Largest answer.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;
/// Tries of a change whose outcome is unknown, each with the same change id.
const CHANGE_TRIES: usize = 3;

/// Why there is no result.
#[derive(Debug)]
pub(crate) enum ClientError {
    /// A file cannot be read.
    File {
        path: PathBuf,
        error: std::io::Error,
    },
    /// The daemon refused.
    Refused { code: ErrorCode },
    /// The daemon's answer is not understood.
    BadAnswer,
    /// Nobody knows whether the change was accepted.
    OutcomeUnknown,
    /// No daemon answered, or none could reach a majority. Nothing was changed.
    Unavailable,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::File { path, error } => write!(f, "{}: {error}", path.display()),
            ClientError::Refused { code } => write!(f, "refused: {code:?}"),
            ClientError::BadAnswer => write!(f, "the daemon's answer is not understood"),
            ClientError::OutcomeUnknown => write!(f, "outcome unknown"),
            ClientError::Unavailable => {
                write!(
                    f,
                    "no majority of replicas can be reached: nothing was changed"
                )
            }
        }
    }
}

impl std::error::Error for ClientError {}

/// Reads a text file.
pub(crate) fn read_file(path: &Path) -> Result<String, ClientError> {
    std::fs::read_to_string(path).map_err(|error| ClientError::File {
        path: path.to_owned(),
        error,
    })
}

/// A client that knows some daemons.
pub(crate) struct Client {
    addresses: Vec<SocketAddr>,
    headers: Vec<(String, String)>,
}

impl Client {
    /// A client with the token of a file.
    pub(crate) fn new(
        addresses: &[SocketAddr],
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
            addresses: addresses.to_vec(),
            headers,
        })
    }

    /// Sends a change; a resend with the same change id gets the same answer.
    pub(crate) async fn change(
        &self,
        team: &str,
        body: &ChangeBody,
    ) -> Result<ChangeReply, ClientError> {
        let target = format!("/v1/teams/{team}/config");
        let bytes = to_json(body)?;
        let mut is_uncertain = false;
        for _ in 0..CHANGE_TRIES {
            for address in &self.addresses {
                match self.request(*address, "PUT", &target, &bytes).await {
                    Ok(answer) => match parse(&answer) {
                        Err(ClientError::OutcomeUnknown) => is_uncertain = true,
                        Err(ClientError::Unavailable) => {}
                        result => return result,
                    },
                    Err(HttpError::Connect(_) | HttpError::BadRequest) => {}
                    Err(HttpError::Broken | HttpError::TooLarge) => is_uncertain = true,
                }
            }
        }
        Err(match is_uncertain {
            true => ClientError::OutcomeUnknown,
            false => ClientError::Unavailable,
        })
    }

    /// Checks a text.
    pub(crate) async fn check(&self, team: &str, text: &str) -> Result<CheckReply, ClientError> {
        let body = CheckBody {
            text: text.to_owned(),
        };
        let target = format!("/v1/teams/{team}/check");
        self.read("POST", &target, &to_json(&body)?).await
    }

    /// Reads a revision; `None` if there is none.
    pub(crate) async fn revision(
        &self,
        team: &str,
        revision: Option<Revision>,
    ) -> Result<Option<RevisionRecord>, ClientError> {
        let query = revision
            .map(|revision| format!("?revision={revision}"))
            .unwrap_or_default();
        let target = format!("/v1/teams/{team}/config{query}");
        match self.read("GET", &target, &[]).await {
            Ok(record) => Ok(Some(record)),
            Err(ClientError::Refused {
                code: ErrorCode::NotFound,
            }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads all revisions kept.
    pub(crate) async fn history(&self, team: &str) -> Result<HistoryReply, ClientError> {
        self.read("GET", &format!("/v1/teams/{team}/history"), &[])
            .await
    }

    /// Reads the audit trail.
    pub(crate) async fn audit(&self, team: &str) -> Result<AuditReply, ClientError> {
        self.read("GET", &format!("/v1/teams/{team}/audit"), &[])
            .await
    }

    /// Reads where the fleet stands.
    pub(crate) async fn status(&self) -> Result<FleetStatus, ClientError> {
        self.read("GET", "/v1/status", &[]).await
    }

    /// Says that a lost daemon does not come back.
    pub(crate) async fn forget(&self, daemon: &str) -> Result<(), ClientError> {
        let target = format!("/v1/daemons/{daemon}/forget");
        for address in &self.addresses {
            match self.request(*address, "POST", &target, &[]).await {
                Ok(answer) if answer.status == 204 => return Ok(()),
                Ok(answer) => match parse::<ErrorReply>(&answer) {
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

    async fn read<T: DeserializeOwned>(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<T, ClientError> {
        for address in &self.addresses {
            let Ok(answer) = self.request(*address, method, target, body).await else {
                continue;
            };
            match parse(&answer) {
                Err(ClientError::Unavailable | ClientError::OutcomeUnknown) => {}
                result => return result,
            }
        }
        Err(ClientError::Unavailable)
    }

    async fn request(
        &self,
        address: SocketAddr,
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
        let exchange = fetch(address, request, ANSWER_LIMIT_BYTES);
        let answer = async_std::future::timeout(REQUEST_TIMEOUT, exchange).await;
        answer.unwrap_or(Err(HttpError::Broken))
    }
}

fn to_json(body: &impl Serialize) -> Result<Vec<u8>, ClientError> {
    serde_json::to_vec(body).map_err(|_| ClientError::BadAnswer)
}

/// Reads a result, or the typed refusal in its place.
fn parse<T: DeserializeOwned>(answer: &HttpResponse) -> Result<T, ClientError> {
    if let Ok(value) = serde_json::from_slice(&answer.body) {
        return Ok(value);
    }
    let refusal: ErrorReply =
        serde_json::from_slice(&answer.body).map_err(|_| ClientError::BadAnswer)?;
    Err(match refusal.code {
        ErrorCode::Unavailable => ClientError::Unavailable,
        ErrorCode::OutcomeUnknown => ClientError::OutcomeUnknown,
        code => ClientError::Refused { code },
    })
}
