//! HTTP towards the users' platform: readiness, operators' documents, backend servers' reports.

use crate::emit;
use crate::events;
use crate::forward_body::ForwardBody;
use crate::forward_executor::{ForwardExecutor, ReportOutcome};
use crate::replica_client::ReplicaClient;
use crate::shared::{unix_ms, Shared};
use crate::socket;
use async_std::net::TcpListener;
use foxtailgauge_core::{Change, ChangeAnswer, TeamName};
use foxtailgauge_platform::{
    headers, parse_document, parse_document_version, parse_report, PlatformRequest,
    TranslatedDocument,
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

/// Largest document or report.
const BODY_BYTES: usize = 8 << 20;
/// Time a document may take to be accepted; operators give a daemon more for large ones.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time a read may take: readers ask another daemon after a second.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Author of changes made by documents, in the audit trail.
const AUTHOR: &str = "platform";

/// The calls of the platform.
pub(crate) struct PlatformHttp {
    shared: Arc<Shared>,
    replicas: ReplicaClient,
    executor: Arc<ForwardExecutor>,
    workspace: TeamName,
}

type Answer = (StatusCode, Vec<u8>);

impl PlatformHttp {
    /// The interface of a daemon.
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

    /// Serves connections for as long as the daemon runs.
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
                // The platform asks again on a connection of its own.
                let _ = connection.await;
            });
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ForwardBody> {
        let call = PlatformRequest::parse(request.method().as_str(), request.uri().path());
        let (status, body) = match call {
            None => (StatusCode::NOT_FOUND, Vec::new()),
            Some(PlatformRequest::Ready) => (self.ready(), Vec::new()),
            Some(PlatformRequest::PutDocument) => self.put_document(request).await,
            Some(PlatformRequest::GetDocument) => self.get_document().await,
            Some(PlatformRequest::Report { server }) => self.report(&server, request).await,
            Some(PlatformRequest::Leave { server }) => self.leave(&server),
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

    async fn put_document(&self, request: Request<Incoming>) -> Answer {
        let base = request.headers().get(headers::IF_MATCH);
        let base = base.and_then(|value| value.to_str().ok()).unwrap_or("0");
        let Ok(base_number) = parse_document_version(base) else {
            return problem(StatusCode::BAD_REQUEST, "bad base number");
        };
        let Some(bytes) = read(request).await else {
            return problem(StatusCode::BAD_REQUEST, "body cannot be read");
        };
        match parse_document(base_number, &bytes) {
            Ok(document) => self.change(document).await,
            Err(error) => {
                emit!(self.shared.log, events::DOCUMENT_REFUSED, "base" => base_number,
                    "error" => error.to_string());
                problem(StatusCode::BAD_REQUEST, &error.to_string())
            }
        }
    }

    async fn change(&self, translated: TranslatedDocument) -> Answer {
        let change = Change {
            team: self.workspace.clone(),
            change_id: translated.change_id,
            base_revision: 0,
            text: translated.text,
            author: AUTHOR.to_owned(),
            at_ms: unix_ms(),
            rollback_of: None,
            document: Some(translated.document),
        };
        let request = SubmitRequest::Change(change);
        match self.replicas.submit(request, CHANGE_TIMEOUT).await {
            Ok(SubmitReply::Change(ChangeAnswer::Accepted { .. })) => {
                (StatusCode::OK, b"{}".into())
            }
            Ok(SubmitReply::Change(ChangeAnswer::Conflict { .. })) => problem(
                StatusCode::PRECONDITION_FAILED,
                "another version is in place",
            ),
            Ok(SubmitReply::Change(ChangeAnswer::Invalid { problems })) => {
                let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
                problem(StatusCode::BAD_REQUEST, &text.join("; "))
            }
            Ok(_) => problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "no answer from the replicas",
            ),
            Err(error) => {
                emit!(self.shared.log, events::DOCUMENT_UNANSWERED, "error" => error.to_string());
                problem(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
            }
        }
    }

    async fn get_document(&self) -> Answer {
        let request = SubmitRequest::ReadDocument {
            team: self.workspace.clone(),
        };
        match self.replicas.submit(request, READ_TIMEOUT).await {
            Ok(SubmitReply::Document(Some(document))) => {
                (StatusCode::OK, document.bytes.as_ref().clone())
            }
            Ok(SubmitReply::Document(None)) => problem(StatusCode::NOT_FOUND, "no document yet"),
            Ok(_) | Err(_) => problem(StatusCode::SERVICE_UNAVAILABLE, "no contact to a leader"),
        }
    }

    async fn report(&self, server: &str, request: Request<Incoming>) -> Answer {
        let Some(bytes) = read(request).await else {
            return problem(StatusCode::BAD_REQUEST, "body cannot be read");
        };
        let report = match parse_report(server, &bytes) {
            Ok(report) => report,
            Err(error) => {
                emit!(self.shared.log, events::REPORT_REFUSED, "server" => server,
                    "error" => error.to_string());
                return problem(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        match self.executor.apply_report(report) {
            ReportOutcome::Accepted | ReportOutcome::Stale => (StatusCode::OK, b"{}".into()),
            ReportOutcome::OtherService => {
                emit!(self.shared.log, events::REPORT_REFUSED, "server" => server,
                    "error" => "of a service that does not run here");
                problem(StatusCode::BAD_REQUEST, "service does not run here")
            }
        }
    }

    fn leave(&self, server: &str) -> Answer {
        self.executor.mark_leaving(server);
        (StatusCode::OK, b"{}".into())
    }
}

async fn read(request: Request<Incoming>) -> Option<Vec<u8>> {
    let body = Limited::new(request.into_body(), BODY_BYTES)
        .collect()
        .await;
    Some(body.ok()?.to_bytes().to_vec())
}

fn problem(status: StatusCode, text: &str) -> Answer {
    let body = serde_json::json!({ "error": text }).to_string();
    (status, body.into_bytes())
}
