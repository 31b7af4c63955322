//! HTTP API of operators: configuration changes, reads, status and metrics.

use crate::capacity;
use crate::control::replica_client::{ReplicaClient, SubmitError};
use crate::emit;
use crate::events;
use crate::json_body::{read_json, MAX_TEXT_BODY_BYTES};
use crate::peer_server::DaemonContext;
use crate::rollout;
use crate::shared::{unix_ms, Shared};
use foxtailgauge_core::{is_valid_name, Change, ChangeAnswer};
use foxtailgauge_wire::api::{
    AuditReply, ChangeBody, ChangeReply, CheckBody, CheckReply, ErrorCode, ErrorReply,
    HistoryReply, LocalReply,
};
use foxtailgauge_wire::{SubmitReply, SubmitRequest};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, Server, StatusCode};

/// Token holder that may read every team and forget lost daemons, but not change configuration.
const OPERATORS: &str = "operators";
/// Timeout of a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// `Retry-After` of responses while the replicas have no quorum, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

#[derive(Clone)]
pub(crate) struct Admin {
    shared: Arc<Shared>,
    replicas: ReplicaClient,
    context: DaemonContext,
}

impl Admin {
    fn new(context: &DaemonContext, replicas: &ReplicaClient) -> Self {
        Admin {
            shared: Arc::clone(&context.shared),
            replicas: replicas.clone(),
            context: context.clone(),
        }
    }
}

/// Server of the operators' API.
pub(crate) fn server(context: &DaemonContext, replicas: &ReplicaClient) -> Server<Admin> {
    let mut app = tide::with_state(Admin::new(context, replicas));
    app.at("/v1/teams/:team/config").put(change).get(read);
    app.at("/v1/teams/:team/check").post(check);
    app.at("/v1/teams/:team/history").get(history);
    app.at("/v1/teams/:team/audit").get(audit);
    app.at("/v1/rollouts")
        .post(rollout::admin::start)
        .get(rollout::admin::list);
    app.at("/v1/rollouts/:team/:service")
        .get(rollout::admin::show);
    app.at("/v1/status").get(status);
    app.at("/v1/servers").get(capacity::admin::servers);
    app.at("/v1/workspaces").get(capacity::admin::workspaces);
    app.at("/v1/daemons/:daemon/forget").post(forget);
    app.at("/v1/local").get(local);
    app.at("/metrics").get(metrics);
    app
}

/// Server of the metrics only, for an address that is not restricted to operators.
pub(crate) fn metrics_server(context: &DaemonContext, replicas: &ReplicaClient) -> Server<Admin> {
    let mut app = tide::with_state(Admin::new(context, replicas));
    app.at("/metrics").get(metrics);
    app
}

/// Access to a team's configuration that a request needs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

impl Admin {
    /// Returns the team of a request if its token allows the access.
    fn team(&self, request: &Request<Admin>, access: Access) -> Result<String, ErrorCode> {
        let team = request.param("team").unwrap_or("").to_owned();
        if !is_valid_name(&team) {
            return Err(ErrorCode::BadTeam);
        }
        let Some(holder) = self.holder(request)? else {
            return Ok(team);
        };
        let is_allowed = holder == team || (holder == OPERATORS && access == Access::Read);
        if !is_allowed {
            emit!(self.shared.log, events::ADMIN_DENIED, "team" => &team, "holder" => holder);
            return Err(ErrorCode::Forbidden);
        }
        Ok(team)
    }

    /// Returns the team of the request's token; `None` if tokens are disabled.
    pub(crate) fn holder(&self, request: &Request<Admin>) -> Result<Option<String>, ErrorCode> {
        let Some(tokens) = &self.shared.settings.admin_tokens else {
            return Ok(None);
        };
        let header = request
            .header("authorization")
            .map(|values| values.as_str());
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        let hash = token.map(|token| Sha256::digest(token.trim()));
        let matches_token = |(_, known_hash): &(&String, &Vec<u8>)| {
            hash.as_ref()
                .is_some_and(|hash| constant_time_eq(known_hash, hash))
        };
        match tokens.iter().find(matches_token) {
            Some((team, _)) => Ok(Some(team.clone())),
            None => {
                emit!(self.shared.log, events::ADMIN_DENIED);
                Err(ErrorCode::Unauthorized)
            }
        }
    }

    async fn submit(
        &self,
        request: SubmitRequest,
        timeout: Duration,
    ) -> Result<SubmitReply, ErrorCode> {
        let reply = self.replicas.submit(request, timeout).await;
        reply.map_err(ErrorCode::from)
    }

    /// State of the daemon, and client of the replicas.
    pub(crate) fn shared_and_replicas(&self) -> (&Shared, &ReplicaClient) {
        (&self.shared, &self.replicas)
    }

    /// State used by the servers of the daemon.
    pub(crate) fn context(&self) -> &DaemonContext {
        &self.context
    }

    /// Submits a read or another request that is safe to repeat. An unknown outcome is reported as
    /// unavailable.
    pub(crate) async fn submit_read(
        &self,
        request: SubmitRequest,
    ) -> Result<SubmitReply, ErrorCode> {
        let reply = self.replicas.submit(request, READ_TIMEOUT).await;
        reply.map_err(|_| ErrorCode::Unavailable)
    }
}

impl From<SubmitError> for ErrorCode {
    fn from(error: SubmitError) -> Self {
        match error {
            SubmitError::Unavailable => ErrorCode::Unavailable,
            SubmitError::OutcomeUnknown => ErrorCode::OutcomeUnknown,
        }
    }
}

/// Compares hashes in constant time.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}

/// Turns a handler's result into a response.
pub(crate) fn respond(result: Result<Response, ErrorCode>) -> tide::Result {
    Ok(result.unwrap_or_else(error_response))
}

async fn change(mut request: Request<Admin>) -> tide::Result {
    let admin = request.state().clone();
    let team = match admin.team(&request, Access::Write) {
        Ok(team) => team,
        Err(code) => return Ok(error_response(code)),
    };
    let Ok(body) = read_json::<ChangeBody, _>(&mut request, MAX_TEXT_BODY_BYTES).await else {
        return Ok(error_response(ErrorCode::Malformed));
    };
    if body.change_id.is_empty() || body.change_id.len() > 64 || body.author.len() > 256 {
        return Ok(error_response(ErrorCode::Malformed));
    }
    let change_id = body.change_id.clone();
    let change = Change {
        team,
        change_id: body.change_id,
        base_revision: body.base_revision,
        text: body.text,
        author: body.author,
        at_ms: unix_ms(),
        rollback_of: body.rollback_of,
        document: None,
    };
    let reply = admin
        .submit(SubmitRequest::Change(change), CHANGE_TIMEOUT)
        .await;
    respond(reply.map(|reply| match reply {
        SubmitReply::Change(answer) => {
            let status = match answer {
                ChangeAnswer::Accepted { .. } => StatusCode::Ok,
                ChangeAnswer::Conflict { .. } | ChangeAnswer::ChangeIdReused => {
                    StatusCode::Conflict
                }
                ChangeAnswer::Invalid { .. } => StatusCode::UnprocessableEntity,
                ChangeAnswer::BaseMissing => StatusCode::ServiceUnavailable,
            };
            json(status, &ChangeReply { change_id, answer })
        }
        _ => error_response(ErrorCode::Unavailable),
    }))
}

async fn check(mut request: Request<Admin>) -> tide::Result {
    let admin = request.state().clone();
    let team = match admin.team(&request, Access::Read) {
        Ok(team) => team,
        Err(code) => return Ok(error_response(code)),
    };
    let Ok(CheckBody { text }) = read_json(&mut request, MAX_TEXT_BODY_BYTES).await else {
        return Ok(error_response(ErrorCode::Malformed));
    };
    let reply = admin.submit_read(SubmitRequest::Check { team, text }).await;
    respond(reply.map(|reply| match reply {
        SubmitReply::Checked(problems) => json(StatusCode::Ok, &CheckReply { problems }),
        _ => error_response(ErrorCode::Unavailable),
    }))
}

async fn read(request: Request<Admin>) -> tide::Result {
    let admin = request.state();
    let team = match admin.team(&request, Access::Read) {
        Ok(team) => team,
        Err(code) => return Ok(error_response(code)),
    };
    let mut query = request.url().query_pairs();
    let revision = match query.find(|(name, _)| name == "revision") {
        None => None,
        Some((_, text)) => match text.parse() {
            Ok(revision) => Some(revision),
            Err(_) => return Ok(error_response(ErrorCode::Malformed)),
        },
    };
    let reply = admin
        .submit_read(SubmitRequest::Read { team, revision })
        .await;
    respond(reply.map(|reply| match reply {
        SubmitReply::Revision(Some(record)) => json(StatusCode::Ok, &record),
        SubmitReply::Revision(None) => error_response(ErrorCode::NotFound),
        _ => error_response(ErrorCode::Unavailable),
    }))
}

async fn history(request: Request<Admin>) -> tide::Result {
    let admin = request.state();
    let team = match admin.team(&request, Access::Read) {
        Ok(team) => team,
        Err(code) => return Ok(error_response(code)),
    };
    let reply = admin.submit_read(SubmitRequest::History { team }).await;
    respond(reply.map(|reply| match reply {
        SubmitReply::History(revisions) => json(StatusCode::Ok, &HistoryReply { revisions }),
        _ => error_response(ErrorCode::Unavailable),
    }))
}

async fn audit(request: Request<Admin>) -> tide::Result {
    let admin = request.state();
    let team = match admin.team(&request, Access::Read) {
        Ok(team) => team,
        Err(code) => return Ok(error_response(code)),
    };
    let reply = admin
        .submit_read(SubmitRequest::Audit { team: Some(team) })
        .await;
    respond(reply.map(|reply| match reply {
        SubmitReply::Audit(entries) => json(StatusCode::Ok, &AuditReply { entries }),
        _ => error_response(ErrorCode::Unavailable),
    }))
}

async fn status(request: Request<Admin>) -> tide::Result {
    let admin = request.state();
    if let Err(code) = admin.holder(&request) {
        return Ok(error_response(code));
    }
    let reply = admin.submit_read(SubmitRequest::Status).await;
    respond(reply.map(|reply| match reply {
        SubmitReply::Status(status) => json(StatusCode::Ok, &status),
        _ => error_response(ErrorCode::Unavailable),
    }))
}

async fn forget(request: Request<Admin>) -> tide::Result {
    let admin = request.state();
    match admin.holder(&request) {
        Ok(holder) if holder.as_deref().is_none_or(|holder| holder == OPERATORS) => {}
        Ok(_) => return Ok(error_response(ErrorCode::Forbidden)),
        Err(code) => return Ok(error_response(code)),
    }
    let daemon = request.param("daemon").unwrap_or("").to_owned();
    let reply = admin.submit_read(SubmitRequest::Forget { daemon }).await;
    respond(reply.map(|reply| match reply {
        SubmitReply::Forgotten(true) => Response::new(StatusCode::NoContent),
        SubmitReply::Forgotten(false) => error_response(ErrorCode::NotFound),
        _ => error_response(ErrorCode::Unavailable),
    }))
}

async fn local(request: Request<Admin>) -> tide::Result {
    let admin = request.state();
    if let Err(code) = admin.holder(&request) {
        return Ok(error_response(code));
    }
    let shared = &admin.shared;
    let (version, digest) = shared.current_version();
    let live = shared.with_directory(|directory| directory.live().count());
    let reply = LocalReply {
        name: shared.settings.name.clone(),
        failure_domain: shared.settings.failure_domain.clone(),
        version,
        digest,
        highest_version: shared.highest_known_version(),
        quorum_age_ms: shared.quorum_age_ms(),
        live_daemons: u32::try_from(live).unwrap_or(u32::MAX),
    };
    Ok(json(StatusCode::Ok, &reply))
}

async fn metrics(request: Request<Admin>) -> tide::Result {
    let DaemonContext {
        shared, forward, ..
    } = request.state().context();
    shared.update_age_metrics();
    if let Some(forward) = forward {
        forward.update_load_metrics();
    }
    let text = shared.metrics.encode_text()?;
    Ok(Response::builder(StatusCode::Ok)
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(text)
        .build())
}

pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response {
    match tide::Body::from_json(body) {
        Ok(body) => Response::builder(status).body(body).build(),
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

pub(crate) fn error_response(code: ErrorCode) -> Response {
    let status = match code {
        ErrorCode::Malformed | ErrorCode::BadTeam => StatusCode::BadRequest,
        ErrorCode::Unauthorized => StatusCode::Unauthorized,
        ErrorCode::Forbidden => StatusCode::Forbidden,
        ErrorCode::NotFound => StatusCode::NotFound,
        ErrorCode::Unavailable => StatusCode::ServiceUnavailable,
        ErrorCode::OutcomeUnknown => StatusCode::GatewayTimeout,
    };
    let mut response = json(status, &ErrorReply { code });
    if code == ErrorCode::Unavailable {
        response.insert_header("Retry-After", RETRY_AFTER_SECONDS);
    }
    response
}
