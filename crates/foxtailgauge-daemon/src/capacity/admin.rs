//! Capacity in the operators' API.

use crate::admin_http::{json, respond, Admin};
use crate::capacity::{servers, workspaces};
use foxtailgauge_wire::api::ErrorCode;
use tide::{Request, Response, StatusCode};

/// Shows the backend servers of all services by failure domain, or those of one service.
pub(crate) async fn servers(request: Request<Admin>) -> tide::Result {
    respond(read_servers(&request).await)
}

async fn read_servers(request: &Request<Admin>) -> Result<Response, ErrorCode> {
    let admin = request.state();
    admin.holder(request)?;
    let mut query = request.url().query_pairs();
    let service = query.find(|(name, _)| name == "service");
    let service = service.map(|(_, service)| service.into_owned());
    let context = admin.context();
    let is_unknown = |service: &String| context.shared.health_path(service).is_none();
    if service.as_ref().is_some_and(is_unknown) {
        return Err(ErrorCode::NotFound);
    }
    let reply = servers::ask_all(context, service.as_deref()).await;
    Ok(json(StatusCode::Ok, &reply))
}

/// Shows the limited workspaces.
pub(crate) async fn workspaces(request: Request<Admin>) -> tide::Result {
    respond(read_workspaces(&request).await)
}

async fn read_workspaces(request: &Request<Admin>) -> Result<Response, ErrorCode> {
    let admin = request.state();
    admin.holder(request)?;
    let reply = workspaces::ask(&admin.context().shared).await;
    let reply = reply.ok_or(ErrorCode::Unavailable)?;
    Ok(json(StatusCode::Ok, &reply))
}
