//! Collector of a replica: advances the sums and exchanges them with the other collectors.

use crate::emit;
use crate::events;
use crate::shared::{lock, Shared};
use crate::usage::reporting::call;
use foxtailgauge_core::{
    Collector, LimitChange, Presence, Snapshot, UsageReply, UsageRequest, USAGE_INTERVAL,
};
use std::collections::{BTreeSet, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Delay before a message to another collector is sent again. One that is back is heard at once, as
/// it sends messages of its own.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Other collectors to which a message is on its way.
type Busy = Arc<Mutex<HashSet<String>>>;

/// Collects until the daemon exits.
pub(crate) async fn run(shared: Arc<Shared>) {
    let addr = &shared.settings.advertise_control;
    let collector = Collector::new(addr, shared.incarnation, Instant::now());
    *lock(&shared.usage.collector) = Some(collector);
    let busy = Busy::default();
    let mut applied: Option<Arc<Snapshot>> = None;
    loop {
        async_std::task::sleep(USAGE_INTERVAL).await;
        let (collectors, daemons) = fleet(&shared);
        let view = shared.view();
        let now = Instant::now();
        let (changes, messages) = {
            let mut collector = lock(&shared.usage.collector);
            let Some(collector) = collector.as_mut() else {
                continue;
            };
            collector.set_fleet(&collectors, daemons);
            if let Some(snapshot) = &view.snapshot {
                let is_applied = applied.as_ref().is_some_and(|s| Arc::ptr_eq(s, snapshot));
                if !is_applied {
                    collector.set_workspaces(&snapshot.workspaces, now);
                    applied = Some(Arc::clone(snapshot));
                }
            }
            (collector.tick(now), messages(collector, &busy, now))
        };
        changes
            .iter()
            .for_each(|change| log_change(&shared, change));
        for (addr, request) in messages {
            async_std::task::spawn(exchange(
                Arc::clone(&shared),
                addr,
                request,
                Arc::clone(&busy),
            ));
        }
    }
}

/// Control addresses of all collectors, and the number of daemons that have not stopped; a lost one
/// may be partitioned, and then still admits requests.
fn fleet(shared: &Shared) -> (BTreeSet<String>, usize) {
    let members = shared.replica.get().map(|r| r.config.status().members);
    let members = members.unwrap_or_default().members;
    let mut collectors: BTreeSet<String> = members.into_values().map(|m| m.control_addr).collect();
    if collectors.is_empty() {
        collectors.extend(shared.replica_addrs().in_order().cloned());
    }
    let daemons = shared.with_directory(|directory| {
        let has_not_stopped = |presence| presence != Presence::Stopped;
        directory
            .all()
            .filter(|i| has_not_stopped(i.presence))
            .count()
    });
    (collectors, daemons)
}

/// Messages to the other collectors that are not waiting for an answer.
fn messages(collector: &mut Collector, busy: &Busy, now: Instant) -> Vec<(String, UsageRequest)> {
    let mut busy = lock(busy);
    let mut messages = Vec::new();
    for addr in collector.peers() {
        if busy.contains(&addr) {
            continue;
        }
        if let Some(request) = collector.exchange(&addr, now) {
            busy.insert(addr.clone());
            messages.push((addr, request));
        }
    }
    messages
}

async fn exchange(shared: Arc<Shared>, addr: String, request: UsageRequest, busy: Busy) {
    let serial = match &request {
        UsageRequest::Exchange { report, .. } | UsageRequest::Report(report) => report.serial,
    };
    match call(&shared, &addr, request).await {
        Ok(UsageReply::Exchanged { epoch }) => {
            if let Some(collector) = lock(&shared.usage.collector).as_mut() {
                collector.exchanged(&addr, serial, epoch);
            }
        }
        Ok(UsageReply::Report(_)) => {}
        // The message is sent again after the delay.
        Err(error) => {
            emit!(shared.log, events::USAGE_UNREPORTED,
                "collector" => &addr, "error" => error.to_string());
            async_std::task::sleep(RETRY_DELAY).await;
        }
    }
    lock(&busy).remove(&addr);
}

fn log_change(shared: &Shared, change: &LimitChange) {
    match &change.share {
        Some(share) => emit!(shared.log, events::WORKSPACE_LIMITED,
            "workspace" => &change.workspace, "share" => share.share()),
        None => emit!(shared.log, events::WORKSPACE_NOT_LIMITED,
            "workspace" => &change.workspace),
    }
}
