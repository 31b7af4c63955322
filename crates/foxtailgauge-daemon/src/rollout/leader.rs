//! Decides the steps of rollouts on the leading replica.

use crate::shared::{unix_ms, Shared};
use crate::usage::VersionTallies;
use foxtailgauge_core::{
    tallies_since, ConfigVersion, Decision, Rollout, RolloutAction, RolloutCommand, RolloutFigures,
    RolloutJudge, RouteTallies, ServerState, ServiceName, VersionRole,
};
use foxtailgauge_wire::SubmitRequest;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval of decisions. The sums of the daemons' runs change every 100 ms.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);
/// Time to wait for a step to be stored before it is decided again.
const STEP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Contact with a quorum beyond this age means that a step would not be stored at once; stored later
/// it could be out of date.
const MAX_QUORUM_AGE_MS: u64 = 600;

/// A running rollout as this replica observes it. Followers observe too, so that they know the runs
/// since the order when they become leader.
struct Observed {
    ordered_in: ConfigVersion,
    judge: RolloutJudge,
    /// Runs before the order.
    earlier: VersionTallies,
    /// When it was first observed, and the time since the order then.
    first: (Instant, Duration),
}

impl Observed {
    fn new(shared: &Shared, service: &ServiceName, rollout: &Rollout) -> Self {
        // A replica that started after the order gets sums from the others, which count since the
        // order.
        let has_earlier = shared.incarnation / 1_000 < rollout.ordered_at_ms;
        Observed {
            ordered_in: rollout.ordered_in,
            judge: RolloutJudge::new(Duration::from_millis(rollout.duration_ms)),
            earlier: match has_earlier {
                true => shared.usage.runs(service),
                false => VersionTallies::new(),
            },
            first: (Instant::now(), rollout.elapsed(unix_ms())),
        }
    }

    /// Time since the order, at most its duration. The wall clock may be set back meanwhile.
    fn since_order(&self, rollout: &Rollout) -> Duration {
        let (at, elapsed) = self.first;
        let elapsed = rollout.elapsed(unix_ms()).max(elapsed + at.elapsed());
        elapsed.min(Duration::from_millis(rollout.duration_ms))
    }

    fn figures(&self, shared: &Shared, service: &ServiceName, rollout: &Rollout) -> RolloutFigures {
        let mut figures = RolloutFigures {
            since_order: self.since_order(rollout),
            ..RolloutFigures::default()
        };
        let (mut target, mut others) = (RouteTallies::new(), RouteTallies::new());
        let (mut earlier_target, mut earlier_others) = (RouteTallies::new(), RouteTallies::new());
        add_by_role(
            rollout,
            shared.usage.runs(service),
            &mut target,
            &mut others,
        );
        let earlier = self.earlier.clone();
        add_by_role(rollout, earlier, &mut earlier_target, &mut earlier_others);
        figures.target = tallies_since(&target, &earlier_target);
        figures.others = tallies_since(&others, &earlier_others);
        add_servers(&mut figures, shared, service, rollout);
        figures
    }
}

fn add_by_role(
    rollout: &Rollout,
    runs: VersionTallies,
    target: &mut RouteTallies,
    others: &mut RouteTallies,
) {
    for ((version, route), tally) in runs {
        let tallies = match rollout.role(&version) {
            VersionRole::OnTrial => &mut *target,
            VersionRole::Serving => &mut *others,
            VersionRole::Excluded => continue,
        };
        tallies.entry(route).or_default().extend(&tally);
    }
}

/// Adds the slots and versions of the servers in the directory.
fn add_servers(
    figures: &mut RolloutFigures,
    shared: &Shared,
    service: &ServiceName,
    rollout: &Rollout,
) {
    let (mut drained, mut not_drained) = (0, 0);
    shared.with_directory(|directory| {
        for instance in directory.all() {
            let of_service = instance.servers.iter().filter(|s| s.service == *service);
            for server in of_service {
                let role = rollout.role(&server.version);
                if role == VersionRole::Serving {
                    figures.other_versions.insert(server.version.clone());
                }
                if !instance.is_live() {
                    continue;
                }
                match (role, server.state) {
                    (VersionRole::OnTrial, ServerState::Ready | ServerState::OnTrial) => {
                        figures.target_slots += server.slots;
                    }
                    (VersionRole::Serving, ServerState::Drained) => {
                        figures.other_slots += server.slots;
                        drained += 1;
                    }
                    (VersionRole::Serving, state) => {
                        not_drained += 1;
                        if state == ServerState::Ready {
                            figures.other_slots += server.slots;
                        }
                    }
                    _ => {}
                }
            }
        }
    });
    figures.are_others_empty = drained > 0 && not_drained == 0;
}

/// Observes the running rollouts, and decides their steps while this replica leads.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut observed: HashMap<ServiceName, Observed> = HashMap::new();
    loop {
        async_std::task::sleep(DECISION_INTERVAL).await;
        if shared.replica.get().is_none() {
            continue;
        }
        let view = shared.view();
        let Some(snapshot) = &view.snapshot else {
            continue;
        };
        let is_running = |service: &ServiceName| {
            let rollout = snapshot.rollouts.get(service);
            rollout.is_some_and(|rollout| rollout.phase.is_running())
        };
        observed.retain(|service, _| is_running(service));
        for (service, rollout) in &snapshot.rollouts {
            if !rollout.phase.is_running() {
                continue;
            }
            let entry = observed.entry(service.clone());
            let observed = entry.or_insert_with(|| Observed::new(&shared, service, rollout));
            if observed.ordered_in != rollout.ordered_in {
                *observed = Observed::new(&shared, service, rollout);
            }
            let figures = observed.figures(&shared, service, rollout);
            let decision = observed
                .judge
                .decide(rollout.phase, rollout.share_milli, &figures);
            if let Some(decision) = decision {
                propose(&shared, service, rollout, decision).await;
            }
        }
    }
}

/// Proposes a step if this replica leads. Without an answer the step is decided again.
async fn propose(shared: &Shared, service: &ServiceName, rollout: &Rollout, decision: Decision) {
    let Some(replica) = shared.replica.get().filter(|_| shared.is_root()) else {
        return;
    };
    let age_ms = replica.config.quorum_age_ms();
    if age_ms.is_none_or(|age_ms| age_ms > MAX_QUORUM_AGE_MS) {
        return;
    }
    let command = RolloutCommand {
        service: service.clone(),
        at_ms: unix_ms(),
        author: shared.settings.name.clone(),
        action: RolloutAction::Step {
            ordered_in: rollout.ordered_in,
            step: decision.step,
            reason: decision.reason,
        },
    };
    let submit = replica.config.submit(SubmitRequest::Rollout(command));
    // A step that is stored after all makes the next one out of date, which is refused.
    let _ = async_std::future::timeout(STEP_TIMEOUT, submit).await;
}
