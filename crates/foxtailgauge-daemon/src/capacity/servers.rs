//! Loads of the backend servers of all daemons.

use crate::capacity::missing_daemons;
use crate::peer_client::{PeerReply, PeerRequest};
use crate::peer_server::DaemonContext;
use crate::shared::Shared;
use foxtailgauge_core::{
    InstanceState, LocatedLoad, Presence, ServerGroups, ServerLoad, MAX_CAPACITY_ENTRIES,
};
use foxtailgauge_wire::api::ServersReply;
use foxtailgauge_wire::{decode, encode_compressed, SubmitReply, SubmitRequest};
use futures::stream::{self, StreamExt};
use std::time::{Duration, Instant};

/// Time for one daemon to answer, connecting included.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which no further daemon is waited for; less than the 12 s of the command line.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Daemons that are asked at the same time. Each may need a handshake, for which the asking daemon
/// has a tenth of a core.
const MAX_CONCURRENT: usize = 32;

/// Loads of the backend servers beside this daemon, at most [`MAX_CAPACITY_ENTRIES`], and the number
/// of those left out.
pub(crate) fn local_loads(
    context: &DaemonContext,
    service: Option<&str>,
) -> (Vec<ServerLoad>, u32) {
    let mut loads = context.executor.server_loads();
    if let Some(forward) = &context.forward {
        loads.extend(forward.server_loads());
    }
    loads.retain(|load| service.is_none_or(|service| load.service == service));
    let left_out = loads.len().saturating_sub(MAX_CAPACITY_ENTRIES);
    loads.truncate(MAX_CAPACITY_ENTRIES);
    (loads, u32::try_from(left_out).unwrap_or(u32::MAX))
}

/// Asks all daemons that have backend servers of the service, or any.
pub(crate) async fn ask_all(context: &DaemonContext, service: Option<&str>) -> ServersReply {
    let shared = &context.shared;
    let (asked, lost) = instances(shared, service);
    let deadline = Instant::now() + TOTAL_TIMEOUT;
    let answers = stream::iter(asked).map(|instance| async move {
        let answer = match instance.name == shared.settings.name {
            true => Some(local_loads(context, service)),
            false => ask(shared, &instance.control_addr, service, deadline).await,
        };
        (instance, answer)
    });
    let answers: Vec<_> = answers.buffer_unordered(MAX_CONCURRENT).collect().await;
    let mut missing = lost;
    let mut groups = ServerGroups::default();
    let mut servers = Vec::new();
    let (mut answered, mut left_out) = (0, 0);
    for (instance, answer) in answers {
        let domain = &instance.failure_domain;
        let Some((loads, left_out_there)) = answer else {
            for server in listed(&instance, service) {
                groups.add_unanswered(domain, server);
            }
            missing.push(instance.name);
            continue;
        };
        answered += 1;
        left_out += left_out_there;
        loads.iter().for_each(|load| groups.add(domain, load));
        servers.extend(loads.into_iter().map(|load| LocatedLoad {
            daemon: instance.name.clone(),
            failure_domain: domain.clone(),
            load,
        }));
    }
    servers.sort_by(|a, b| (&a.daemon, &a.load.server).cmp(&(&b.daemon, &b.load.server)));
    let listed_servers = match service {
        Some(_) => servers.len().min(MAX_CAPACITY_ENTRIES),
        None => 0,
    };
    let unlisted = u32::try_from(servers.len() - listed_servers).unwrap_or(u32::MAX);
    servers.truncate(listed_servers);
    ServersReply {
        answered,
        missing: missing_daemons(missing),
        groups: groups.summary(),
        servers,
        servers_left_out: match service {
            Some(_) => left_out + unlisted,
            None => left_out,
        },
    }
}

/// Live daemons that list a backend server, and the names of lost ones: what they run is unknown.
fn instances(shared: &Shared, service: Option<&str>) -> (Vec<InstanceState>, Vec<String>) {
    shared.with_directory(|directory| {
        let asked = directory.live().filter(|i| listed(i, service).count() > 0);
        let lost = directory.all().filter(|i| i.presence == Presence::Lost);
        (
            asked.cloned().collect(),
            lost.map(|i| i.name.clone()).collect(),
        )
    })
}

/// Services of the backend servers that a daemon lists, one for each server.
fn listed<'a>(
    instance: &'a InstanceState,
    service: Option<&'a str>,
) -> impl Iterator<Item = &'a str> {
    let services = instance
        .servers
        .iter()
        .map(|server| server.service.as_str());
    services.filter(move |listed| service.is_none_or(|service| service == *listed))
}

/// Asks one daemon; `None` if it does not answer in time. A daemon of an earlier release does not
/// know the request and does not answer it either.
async fn ask(
    shared: &Shared,
    addr: &str,
    service: Option<&str>,
    deadline: Instant,
) -> Option<(Vec<ServerLoad>, u32)> {
    let timeout = deadline
        .saturating_duration_since(Instant::now())
        .min(ANSWER_TIMEOUT);
    let request = SubmitRequest::ServerLoads {
        service: service.map(str::to_owned),
    };
    match submit_to(shared, addr, &request, timeout).await? {
        SubmitReply::ServerLoads { loads, left_out } => Some((loads, left_out)),
        _ => None,
    }
}

/// Sends a request to one daemon; `None` without a readable reply in time.
pub(super) async fn submit_to(
    shared: &Shared,
    addr: &str,
    request: &SubmitRequest,
    timeout: Duration,
) -> Option<SubmitReply> {
    let bytes = encode_compressed(request).ok()?;
    shared.metrics.record_payload("sent", "submit", bytes.len());
    let client = &shared.clients.control;
    let calling = client.call(addr, PeerRequest::Submit(bytes), timeout);
    // The timeout of the client does not include the time to connect.
    match async_std::future::timeout(timeout, calling).await {
        Ok(Ok(PeerReply::Payload(bytes))) => decode(&bytes).ok(),
        _ => None,
    }
}
