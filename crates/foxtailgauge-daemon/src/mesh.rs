//! Start of the part of a daemon that forwards plain HTTP by host routes.

use crate::admin_http;
use crate::control::replica_client::ReplicaClient;
use crate::daemon::{bind, peer_identity, DaemonError};
use crate::emit;
use crate::events;
use crate::executor::forward_executor::ForwardExecutor;
use crate::gateway::forward_gateway::ForwardGateway;
use crate::limited_http;
use crate::peer_server::DaemonContext;
use crate::platform_http::PlatformHttp;
use crate::shared::Shared;
use error_stack::Report;
use foxtailgauge_wire::handshake::ConnectionKind;
use slog::Logger;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The executor of forwarded requests, if the settings have the section `mesh`.
pub(crate) fn executor(shared: &Arc<Shared>) -> Option<Arc<ForwardExecutor>> {
    let mesh = shared.settings.mesh.clone()?;
    Some(Arc::new(ForwardExecutor::new(shared, mesh)))
}

/// Binds the addresses of the section `mesh` and starts to serve them.
pub(crate) async fn start(
    context: &DaemonContext,
    replicas: &ReplicaClient,
    log: &Logger,
) -> Result<(), Report<DaemonError>> {
    let shared = &context.shared;
    let (Some(mesh), Some(executor)) = (&shared.settings.mesh, &context.forward) else {
        return Ok(());
    };
    for bound in &mesh.unstated {
        emit!(log, events::BOUND_UNSTATED, "key" => bound.key, "used" => &bound.used);
    }
    async_std::task::spawn(Arc::clone(executor).expire_leases());
    async_std::task::spawn(Arc::clone(executor).follow_rollouts());
    let platform = Arc::new(PlatformHttp::new(
        shared,
        replicas.clone(),
        executor,
        mesh.workspace.clone(),
    ));
    let addrs: BTreeSet<_> = mesh.ready.into_iter().chain(mesh.platform).collect();
    for addr in addrs {
        let listener = bind(addr, log).await?;
        async_std::task::spawn(Arc::clone(&platform).serve(listener));
    }
    if let Some(addr) = mesh.metrics {
        let listener = bind(addr, log).await?;
        let app = admin_http::metrics_server(context, replicas);
        limited_http::serve(shared, app, listener);
    }
    if let Some(addr) = mesh.outbound {
        let listener = bind(addr, log).await?;
        let counters = &shared.metrics.call_bytes;
        let identity = peer_identity(&shared.settings, ConnectionKind::Forward, counters);
        let gateway = ForwardGateway::new(shared, executor, mesh.clone(), identity);
        async_std::task::spawn(Arc::new(gateway).serve(listener));
    }
    Ok(())
}
