//! HTTP interface for the users' platform: readiness, operators' documents, backend servers'
//! reports.

use crate::control::replica_client::ReplicaClient;
use crate::emit;
use crate::events;
use crate::executor::forward_executor::{ForwardExecutor, ReportOutcome};
use crate::hop::forward_body::ForwardBody;
use crate::rollout;
use crate::shared::{unix_ms, Shared};
use crate::socket;
use async_std::net::TcpListener;
use foxtailgauge_core::{Change, ChangeAnswer, RolloutAnswer, ServerState, TeamName};
use foxtailgauge_platform::{
    format_rollout, headers, parse_departure, parse_document, parse_document_version, parse_report,
    parse_rollout_order, PlatformRequest, TranslatedDocument,
};
use foxtailgauge_wire::{SubmitReply, SubmitRequest};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a document or report.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Timeout for accepting a document; operators allow a daemon more time for large ones.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Timeout for a read: readers try another daemon after a second.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Author of changes submitted as documents, in the audit trail.
const DOCUMENT_AUTHOR: &str = "platform";

/// Handler for the requests of the platform.
pub(crate) struct PlatformHttp {
    shared: Arc<Shared>,
    replicas: ReplicaClient,
    executor: Arc<ForwardExecutor>,
    workspace: TeamName,
}

type StatusAndBody = (StatusCode, Vec<u8>);

impl PlatformHttp {
    /// Creates the handler of a daemon.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        replicas: ReplicaClient,
        executor: &Arc<ForwardExecutor>,
        workspace: TeamName,
    ) -> Self {
        PlatformHttp {
            shared: Arc::clone(shared),
            replicas,
            executor: Arc::clone(executor),
            workspace,
        }
    }

    /// Accepts and serves connections until the daemon exits.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = socket::accept(&listener, &self.shared.log).await;
            let this = Arc::clone(&self);
            async_std::task::spawn(async move {
                let service = service_fn(|request| {
                    let this = Arc::clone(&this);
                    async move { Ok::<_, Infallible>(this.handle(request).await) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(FuturesIo::new(stream), service);
                // After an error the platform retries on a new connection.
                let _ = connection.await;
            });
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ForwardBody> {
        let platform_request =
            PlatformRequest::parse(request.method().as_str(), request.uri().path());
        let (status, body) = match platform_request {
            None => (StatusCode::NOT_FOUND, Vec::new()),
            Some(PlatformRequest::Ready) => (self.ready(), Vec::new()),
            Some(PlatformRequest::PutDocument) => self.put_document(request).await,
            Some(PlatformRequest::GetDocument) => self.get_document().await,
            Some(PlatformRequest::Report { server }) => self.report(&server, request).await,
            Some(PlatformRequest::Leave { server }) => self.leave(&server, request).await,
            Some(PlatformRequest::OrderRollout) => self.order_rollout(request).await,
            Some(PlatformRequest::GetRollout { service }) => self.get_rollout(&service).await,
        };
        let mut response = Response::new(ForwardBody::from_bytes(body));
        *response.status_mut() = status;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }

    fn ready(&self) -> StatusCode {
        if self.shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    async fn put_document(&self, request: Request<Incoming>) -> StatusAndBody {
        let base = request.headers().get(headers::IF_MATCH);
        let base = base.and_then(|value| value.to_str().ok()).unwrap_or("0");
        let Ok(base_version) = parse_document_version(base) else {
            return error_response(StatusCode::BAD_REQUEST, "bad base number");
        };
        let Some(bytes) = read_body(request).await else {
            return error_response(StatusCode::BAD_REQUEST, "body cannot be read");
        };
        match parse_document(base_version, &bytes) {
            Ok(document) => self.submit_change(document).await,
            Err(error) => {
                emit!(self.shared.log, events::DOCUMENT_REFUSED, "base" => base_version,
                    "error" => error.to_string());
                error_response(StatusCode::BAD_REQUEST, &error.to_string())
            }
        }
    }

    async fn submit_change(&self, translated: TranslatedDocument) -> StatusAndBody {
        let change = Change {
            team: self.workspace.clone(),
            change_id: translated.change_id,
            base_revision: 0,
            text: translated.text,
            author: DOCUMENT_AUTHOR.to_owned(),
            at_ms: unix_ms(),
            rollback_of: None,
            document: Some(translated.document),
        };
        let request = SubmitRequest::Change(change);
        match self.replicas.submit(request, CHANGE_TIMEOUT).await {
            Ok(SubmitReply::Change(ChangeAnswer::Accepted { .. })) => {
                (StatusCode::OK, b"{}".into())
            }
            Ok(SubmitReply::Change(ChangeAnswer::Conflict { .. })) => error_response(
                StatusCode::PRECONDITION_FAILED,
                "another version is in place",
            ),
            Ok(SubmitReply::Change(ChangeAnswer::Invalid { problems })) => {
                let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
                error_response(StatusCode::BAD_REQUEST, &texts.join("; "))
            }
            Ok(SubmitReply::Change(ChangeAnswer::BaseMissing)) => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the base version is not in place yet",
            ),
            Ok(_) => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no answer from the replicas",
            ),
            Err(error) => {
                emit!(self.shared.log, events::DOCUMENT_UNANSWERED, "error" => error.to_string());
                error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
            }
        }
    }

    async fn get_document(&self) -> StatusAndBody {
        let request = SubmitRequest::ReadDocument {
            team: self.workspace.clone(),
        };
        match self.replicas.submit(request, READ_TIMEOUT).await {
            Ok(SubmitReply::Document(Some(document))) => {
                (StatusCode::OK, document.bytes.as_ref().clone())
            }
            Ok(SubmitReply::Document(None)) => {
                error_response(StatusCode::NOT_FOUND, "no document yet")
            }
            Ok(_) | Err(_) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, "no contact to a leader")
            }
        }
    }

    async fn order_rollout(&self, request: Request<Incoming>) -> StatusAndBody {
        let Some(bytes) = read_body(request).await else {
            return error_response(StatusCode::BAD_REQUEST, "body cannot be read");
        };
        let order = match parse_rollout_order(&bytes) {
            Ok(order) => order,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let service = format!("{}/{}", self.workspace, order.service);
        let ordering = rollout::order::order(
            &self.shared,
            &self.replicas,
            service,
            order.target_version,
            order.duration_ms,
            DOCUMENT_AUTHOR,
            CHANGE_TIMEOUT,
        );
        match ordering.await {
            Ok(RolloutAnswer::Accepted { .. }) => (StatusCode::OK, b"{}".into()),
            Ok(RolloutAnswer::InProgress) => error_response(
                StatusCode::CONFLICT,
                "a rollout of the service is in progress",
            ),
            Ok(RolloutAnswer::UnknownService) => {
                error_response(StatusCode::UNPROCESSABLE_ENTITY, "unknown service")
            }
            Ok(RolloutAnswer::BadDuration) => {
                error_response(StatusCode::UNPROCESSABLE_ENTITY, "duration is out of range")
            }
            Ok(RolloutAnswer::BadVersion) => {
                error_response(StatusCode::BAD_REQUEST, "target version is too long")
            }
            Ok(RolloutAnswer::Outdated) => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no answer from the replicas",
            ),
            Err(error) => {
                emit!(self.shared.log, events::ROLLOUT_UNANSWERED, "error" => error.to_string());
                error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
            }
        }
    }

    async fn get_rollout(&self, service: &str) -> StatusAndBody {
        let service = format!("{}/{service}", self.workspace);
        match rollout::order::latest(&self.replicas, service, READ_TIMEOUT).await {
            Ok(Some(rollout)) => {
                let body = format_rollout(rollout.phase, &rollout.target_version);
                (StatusCode::OK, body)
            }
            Ok(None) => error_response(StatusCode::NOT_FOUND, "no rollout yet"),
            Err(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, "no contact to a leader"),
        }
    }

    async fn report(&self, server: &str, request: Request<Incoming>) -> StatusAndBody {
        let Some(bytes) = read_body(request).await else {
            return error_response(StatusCode::BAD_REQUEST, "body cannot be read");
        };
        let mut report = match parse_report(server, &bytes) {
            Ok(report) => report,
            Err(error) => {
                emit!(self.shared.log, events::REPORT_REFUSED, "server" => server,
                    "error" => error.to_string());
                return error_response(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        if self.shared.stop.is_begun() {
            // The end of this daemon would cut off its requests.
            report.state = ServerState::Leaving;
        }
        match self.executor.apply_report(report) {
            ReportOutcome::Accepted | ReportOutcome::Stale => (StatusCode::OK, b"{}".into()),
            ReportOutcome::FutureStart => {
                emit!(self.shared.log, events::REPORT_REFUSED, "server" => server,
                    "error" => "process starts in the future");
                error_response(StatusCode::BAD_REQUEST, "process starts in the future")
            }
            ReportOutcome::OtherService => {
                emit!(self.shared.log, events::REPORT_REFUSED, "server" => server,
                    "error" => "service does not run on this instance");
                error_response(StatusCode::BAD_REQUEST, "service does not run here")
            }
        }
    }

    async fn leave(&self, server: &str, request: Request<Incoming>) -> StatusAndBody {
        let started_ms = read_body(request)
            .await
            .and_then(|bytes| parse_departure(&bytes));
        self.executor.deregister(server, started_ms);
        (StatusCode::OK, b"{}".into())
    }
}

async fn read_body(request: Request<Incoming>) -> Option<Vec<u8>> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    Some(body.ok()?.to_bytes().to_vec())
}

fn error_response(status: StatusCode, text: &str) -> StatusAndBody {
    let body = serde_json::json!({ "error": text }).to_string();
    (status, body.into_bytes())
}
