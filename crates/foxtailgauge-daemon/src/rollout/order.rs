//! Orders of rollouts by operators, and the log lines of their steps.

use crate::control::replica_client::{ReplicaClient, SubmitError};
use crate::emit;
use crate::events;
use crate::shared::Shared;
use foxtailgauge_core::{
    ChangeId, Rollout, RolloutAction, RolloutAnswer, RolloutCommand, RolloutPhase, RolloutStep,
    ServerVersion, ServiceName,
};
use foxtailgauge_wire::{SubmitReply, SubmitRequest};
use sha2::{Digest, Sha256};
use slog::Logger;
use std::time::Duration;
use uuid::Uuid;

/// Orders a rollout. A copy of the order, sent to any daemon, gets the answer to the first one for
/// [`ORDER_COPY_MS`](foxtailgauge_core::ORDER_COPY_MS), and has no further effect.
pub(crate) async fn order(
    shared: &Shared,
    replicas: &ReplicaClient,
    service: ServiceName,
    target_version: ServerVersion,
    duration_ms: u64,
    author: &str,
    timeout: Duration,
) -> Result<RolloutAnswer, SubmitError> {
    let is_already_running = is_running(shared, &service, &target_version);
    let command = RolloutCommand {
        service: service.clone(),
        at_ms: 0,
        author: author.to_owned(),
        action: RolloutAction::Order {
            order_id: order_id(&service, &target_version, duration_ms),
            target_version,
            duration_ms,
            is_already_running,
        },
    };
    match replicas
        .submit(SubmitRequest::Rollout(command), timeout)
        .await
    {
        Ok(SubmitReply::Rollout(answer)) => Ok(answer),
        Ok(_) => Err(SubmitError::Unavailable),
        Err(error) => Err(error),
    }
}

/// Identifier of an order, from its content: orders have none of their own.
fn order_id(service: &str, target_version: &str, duration_ms: u64) -> ChangeId {
    let mut hasher = Sha256::new();
    for text in [service, target_version] {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text);
    }
    hasher.update(duration_ms.to_be_bytes());
    let hash: [u8; 32] = hasher.finalize().into();
    Uuid::from_slice(&hash[..16])
        .unwrap_or_default()
        .to_string()
}

/// Whether the service has servers and all of them have the version.
fn is_running(shared: &Shared, service: &str, version: &str) -> bool {
    shared.with_directory(|directory| {
        let servers = directory.all().flat_map(|instance| &instance.servers);
        let mut versions = servers
            .filter(|server| server.service == service)
            .map(|server| server.version == version)
            .peekable();
        versions.peek().is_some() && versions.all(|is_same| is_same)
    })
}

/// Reads the latest rollout of a service from the leader.
pub(crate) async fn latest(
    replicas: &ReplicaClient,
    service: ServiceName,
    timeout: Duration,
) -> Result<Option<Rollout>, SubmitError> {
    let request = SubmitRequest::ReadRollouts {
        service: Some(service.clone()),
    };
    match replicas.submit(request, timeout).await {
        Ok(SubmitReply::Rollouts { mut latest, .. }) => Ok(latest.remove(&service)),
        Ok(_) => Err(SubmitError::Unavailable),
        Err(error) => Err(error),
    }
}

/// Logs an accepted command.
pub(crate) fn log_rollout(log: &Logger, command: &RolloutCommand, answer: RolloutAnswer) {
    let RolloutAnswer::Accepted { version } = answer else {
        return;
    };
    match &command.action {
        RolloutAction::Order {
            target_version,
            duration_ms,
            ..
        } => emit!(log, events::ROLLOUT_ORDERED, "service" => &command.service,
            "target_version" => target_version, "duration_ms" => *duration_ms,
            "author" => &command.author, "version" => version),
        RolloutAction::Step { step, reason, .. } => match step {
            RolloutStep::SetShare { phase, share_milli } => emit!(log, events::ROLLOUT_MOVED,
                "service" => &command.service, "phase" => phase.as_str(),
                "share_milli" => *share_milli, "reason" => reason, "version" => version),
            RolloutStep::Complete { replaced } => emit!(log, events::ROLLOUT_DECIDED,
                "service" => &command.service, "phase" => RolloutPhase::Completed.as_str(),
                "replaced" => format!("{replaced:?}"), "reason" => reason, "version" => version),
            RolloutStep::RollBack => emit!(log, events::ROLLOUT_DECIDED,
                "service" => &command.service, "phase" => RolloutPhase::RolledBack.as_str(),
                "reason" => reason, "version" => version),
        },
    }
}
