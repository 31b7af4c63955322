//! HTTP interface through which backend servers announce themselves to the colocated daemon.

use crate::executor::call_executor::Executor;
use crate::executor::local_server::Announcement;
use crate::json_body::{read_json, MAX_SMALL_BODY_BYTES};
use foxtailgauge_core::{is_valid_name, ServerEntry, ServerState, ServerVersion};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, Server, StatusCode};

/// Allowed range of leases.
const LEASE_RANGE: RangeInclusive<Duration> = Duration::from_millis(500)..=Duration::from_secs(60);
/// Maximum number of slots of a backend server.
const MAX_SLOTS: u32 = 10_000;

#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceBody {
    service: String,
    addr: SocketAddr,
    slots: u32,
    state: ServerState,
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    lease: Duration,
}

#[derive(Debug, Serialize)]
struct AnnounceReply {
    in_flight: u32,
}

/// Builds the HTTP interface.
pub(crate) fn server(executor: Arc<Executor>) -> Server<Arc<Executor>> {
    let mut app = tide::with_state(executor);
    app.at("/v1/servers/:name").put(announce).delete(remove);
    app
}

async fn announce(mut request: Request<Arc<Executor>>) -> tide::Result {
    let name = request.param("name")?.to_owned();
    let body: AnnounceBody = match read_json(&mut request, MAX_SMALL_BODY_BYTES).await {
        Ok(body) => body,
        Err(_) => return Ok(refusal_response("malformed_announcement")),
    };
    let is_qualified = matches!(
        body.service.split_once('/'),
        Some((team, service)) if is_valid_name(team) && is_valid_name(service)
    );
    if !is_valid_name(&name) || !is_qualified {
        return Ok(refusal_response("bad_name"));
    }
    if !LEASE_RANGE.contains(&body.lease) || !(1..=MAX_SLOTS).contains(&body.slots) {
        return Ok(refusal_response("out_of_range"));
    }
    let in_flight = request.state().announce(Announcement {
        entry: ServerEntry {
            name,
            service: body.service,
            slots: body.slots,
            state: body.state,
            version: ServerVersion::default(),
        },
        addr: body.addr,
        lease: body.lease,
    });
    let body = tide::Body::from_json(&AnnounceReply { in_flight })?;
    Ok(Response::builder(StatusCode::Ok).body(body).build())
}

async fn remove(request: Request<Arc<Executor>>) -> tide::Result {
    let name = request.param("name")?;
    let status = match request.state().remove(name) {
        true => StatusCode::NoContent,
        false => StatusCode::NotFound,
    };
    Ok(Response::new(status))
}

fn refusal_response(code: &str) -> Response {
    Response::builder(StatusCode::BadRequest)
        .content_type(tide::http::mime::JSON)
        .body(serde_json::json!({ "code": code }).to_string())
        .build()
}
