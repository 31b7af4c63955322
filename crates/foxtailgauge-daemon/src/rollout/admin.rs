//! Rollouts in the operators' API.

use crate::admin_http::{error_response, json, respond, Admin};
use crate::json_body::{read_json, MAX_SMALL_BODY_BYTES};
use crate::rollout::order;
use foxtailgauge_core::RolloutAnswer;
use foxtailgauge_wire::api::{ErrorCode, RolloutBody, RolloutReply, RolloutsReply};
use foxtailgauge_wire::{SubmitReply, SubmitRequest};
use std::time::Duration;
use tide::{Request, StatusCode};

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// Orders a rollout; needs the token of the service's team.
pub(crate) async fn start(mut request: Request<Admin>) -> tide::Result {
    let admin = request.state().clone();
    let holder = match admin.holder(&request) {
        Ok(holder) => holder,
        Err(code) => return Ok(error_response(code)),
    };
    let Ok(body) = read_json::<RolloutBody, _>(&mut request, MAX_SMALL_BODY_BYTES).await else {
        return Ok(error_response(ErrorCode::Malformed));
    };
    let Some((team, _)) = body.service.split_once('/') else {
        return Ok(error_response(ErrorCode::Malformed));
    };
    if body.author.len() > 256 {
        return Ok(error_response(ErrorCode::Malformed));
    }
    if holder.is_some_and(|holder| holder != team) {
        return Ok(error_response(ErrorCode::Forbidden));
    }
    let RolloutBody {
        service,
        target_version,
        duration_ms,
        author,
    } = body;
    let (shared, replicas) = admin.shared_and_replicas();
    let ordering = order::order(
        shared,
        replicas,
        service,
        target_version,
        duration_ms,
        &author,
        ORDER_TIMEOUT,
    );
    respond(ordering.await.map_err(ErrorCode::from).map(|answer| {
        let status = match answer {
            RolloutAnswer::Accepted { .. } => StatusCode::Ok,
            RolloutAnswer::InProgress | RolloutAnswer::Outdated => StatusCode::Conflict,
            RolloutAnswer::UnknownService
            | RolloutAnswer::BadDuration
            | RolloutAnswer::BadVersion => StatusCode::UnprocessableEntity,
        };
        json(status, &RolloutReply { answer })
    }))
}

/// Lists the rollouts of all services.
pub(crate) async fn list(request: Request<Admin>) -> tide::Result {
    read(&request, None).await
}

/// Shows the rollouts of one service.
pub(crate) async fn show(request: Request<Admin>) -> tide::Result {
    let part = |name| request.param(name).unwrap_or_default().to_owned();
    let service = format!("{}/{}", part("team"), part("service"));
    read(&request, Some(service)).await
}

async fn read(request: &Request<Admin>, service: Option<String>) -> tide::Result {
    let admin = request.state();
    if let Err(code) = admin.holder(request) {
        return Ok(error_response(code));
    }
    let is_one = service.is_some();
    let reply = admin
        .submit_read(SubmitRequest::ReadRollouts { service })
        .await;
    respond(reply.map(|reply| match reply {
        SubmitReply::Rollouts { latest, .. } if is_one && latest.is_empty() => {
            error_response(ErrorCode::NotFound)
        }
        SubmitReply::Rollouts { latest, records } => {
            json(StatusCode::Ok, &RolloutsReply { latest, records })
        }
        _ => error_response(ErrorCode::Unavailable),
    }))
}
