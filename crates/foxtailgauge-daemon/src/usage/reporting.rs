//! Reports the counts of this daemon to a collector and applies its replies.

use crate::emit;
use crate::events;
use crate::peer_client::{PeerError, PeerReply, PeerRequest};
use crate::shared::{lock, Shared};
use crate::usage::ANSWER_TIMEOUT;
use foxtailgauge_core::{
    identity_hash, InstanceState, ShareReply, UsageReply, UsageReport, UsageRequest, USAGE_INTERVAL,
};
use foxtailgauge_wire::{decode, encode_compressed, SubmitReply, SubmitRequest};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which a collector is avoided after it did not answer.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Reports until the daemon exits.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut avoided: HashMap<String, Instant> = HashMap::new();
    loop {
        async_std::task::sleep(USAGE_INTERVAL).await;
        let has_allotments = shared.view().workspaces.has_allotments();
        let report = {
            let mut gate = lock(&shared.usage.gate);
            if !has_allotments {
                gate.clear_allotments();
            }
            let settings = &shared.settings;
            gate.report(
                &settings.name,
                shared.incarnation,
                has_allotments,
                Instant::now(),
            )
        };
        if let Some(report) = report {
            send(&shared, report, &mut avoided).await;
        }
    }
}

/// Sends a report to the preferred collector, and to others until one answers.
async fn send(shared: &Shared, report: UsageReport, avoided: &mut HashMap<String, Instant>) {
    let now = Instant::now();
    avoided.retain(|_, until| *until > now);
    let collectors = collectors(shared);
    let is_usable = |addr: &&String| !avoided.contains_key(*addr);
    let chosen = collectors.iter().find(is_usable).or(collectors.first());
    let Some(addr) = chosen else {
        return;
    };
    match report_to(shared, addr, &report).await {
        Ok(reply) => {
            let mut gate = lock(&shared.usage.gate);
            gate.apply(&report, reply, Instant::now());
            shared.metrics.set_shares(gate.limited());
        }
        Err(error) => {
            emit!(shared.log, events::USAGE_UNREPORTED,
                "collector" => addr, "error" => error.to_string());
            avoided.insert(addr.clone(), Instant::now() + AVOID_TIME);
        }
    }
}

/// Control addresses of the collectors in the order in which this daemon uses them: itself, those of
/// its failure domain, the others; each in an order that differs between daemons. Those that the directory
/// does not list as live are used only while it lists none: a live one that is slow is the better choice.
pub(crate) fn collectors(shared: &Shared) -> Vec<String> {
    let settings = &shared.settings;
    let own_hash = identity_hash(&settings.name, shared.incarnation);
    let order = |instance: &InstanceState| {
        (
            instance.name != settings.name,
            instance.failure_domain != settings.failure_domain,
            identity_hash(&instance.name, own_hash),
        )
    };
    let mut ordered: Vec<_> = shared.with_directory(|directory| {
        let replicas = directory.live().filter(|instance| instance.is_replica);
        replicas
            .map(|instance| (order(instance), instance.control_addr.clone()))
            .collect()
    });
    ordered.sort();
    match ordered.is_empty() {
        true => shared.replica_addrs().others,
        false => ordered.into_iter().map(|(_, addr)| addr).collect(),
    }
}

async fn report_to(
    shared: &Shared,
    addr: &str,
    report: &UsageReport,
) -> Result<ShareReply, PeerError> {
    let request = UsageRequest::Report(report.clone());
    let reply = match addr == shared.settings.advertise_control {
        true => shared.usage.collect(&request),
        false => Some(call(shared, addr, request).await?),
    };
    match reply {
        Some(UsageReply::Report(shares)) => Ok(shares),
        Some(UsageReply::Exchanged { .. }) | None => Err(PeerError::NoResponse),
    }
}

/// Sends a message to a collector.
pub(crate) async fn call(
    shared: &Shared,
    addr: &str,
    request: UsageRequest,
) -> Result<UsageReply, PeerError> {
    let request = SubmitRequest::Usage(request);
    let bytes = encode_compressed(&request).map_err(|_| PeerError::NotSent)?;
    shared.metrics.record_payload("sent", "usage", bytes.len());
    let client = &shared.clients.control;
    let calling = client.call(addr, PeerRequest::Submit(bytes), ANSWER_TIMEOUT);
    // The timeout of the client does not include the time to connect.
    let reply = async_std::future::timeout(ANSWER_TIMEOUT, calling).await;
    let PeerReply::Payload(bytes) = reply.unwrap_or(Err(PeerError::NoResponse))? else {
        return Err(PeerError::NoResponse);
    };
    match decode(&bytes) {
        Ok(SubmitReply::Usage(reply)) => Ok(reply),
        // The daemon is no collector, or not yet.
        Ok(_) | Err(_) => Err(PeerError::NoResponse),
    }
}
