//! Rollouts of new versions of a service's backend servers: replicated state, and which versions a
//! request may run on.
//!
//! Designed for a version that may be bad: until it is known to be good, gateways send it a bounded
//! share of the requests, and once it is rolled back nothing. Its servers start while some daemons
//! do not know of the order yet, so an entry of the directory tells whether its server is on trial.

use crate::ids::{ChangeId, ConfigVersion, ServerVersion, ServiceName, UnixMs};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Shares are in thousandths of the requests to the service.
pub const FULL_SHARE_MILLI: u32 = 1_000;
/// Share of the target version from the order on, before the rate of requests is known. Below the
/// tenth that callers accept, by more than the spread of a random draw.
pub const INITIAL_SHARE_MILLI: u32 = 70;
/// Longest duration of a rollout.
pub const MAX_ROLLOUT_MS: u64 = 24 * 3_600_000;
/// Time from the decision of an order in which the same order is a copy that was delayed on its way.
/// Later it is a new order.
pub const ORDER_COPY_MS: u64 = 20_000;
/// Answers to orders that are kept, over all services.
const MAX_ORDER_ANSWERS: usize = 1_000;
/// Versions that are kept as excluded for each service.
const MAX_EXCLUDED: usize = 32;
/// Steps of rollouts that are kept for operators, over all services.
const MAX_RECORDS: usize = 1_000;
/// Maximum length of a version in an order, in bytes; reports of servers allow the same.
const MAX_VERSION_BYTES: usize = 64;

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// Few servers of the target version get a small share.
    Canary,
    /// The share grows within the bound of requests to a version that may be bad.
    Ramp,
    /// All requests go to the target version; the other servers run empty.
    Full,
    /// Only the target version remains.
    Completed,
    /// The target version gets nothing.
    RolledBack,
}

impl RolloutPhase {
    /// Whether the rollout is not decided yet.
    pub fn is_running(self) -> bool {
        match self {
            RolloutPhase::Canary | RolloutPhase::Ramp | RolloutPhase::Full => true,
            RolloutPhase::Completed | RolloutPhase::RolledBack => false,
        }
    }

    /// Name in logs and replies.
    pub fn as_str(self) -> &'static str {
        match self {
            RolloutPhase::Canary => "canary",
            RolloutPhase::Ramp => "ramp",
            RolloutPhase::Full => "full",
            RolloutPhase::Completed => "completed",
            RolloutPhase::RolledBack => "rolled_back",
        }
    }
}

/// The latest rollout of a service, as distributed to all daemons.
///
/// Invariants: `excluded` does not contain the target version while the rollout runs or is
/// completed; the share is 0 once it is rolled back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Configuration version of the order, which identifies the rollout.
    pub ordered_in: ConfigVersion,
    /// Identifier of the order, see [`RolloutAction::Order`].
    pub order_id: ChangeId,
    /// Version of the servers to roll out.
    pub target_version: ServerVersion,
    /// Time of the order.
    pub ordered_at_ms: UnixMs,
    /// Time from the order to the deadline.
    pub duration_ms: u64,
    /// Phase.
    pub phase: RolloutPhase,
    /// Share of the requests that go to the target version, in thousandths.
    pub share_milli: u32,
    /// Versions that get no requests: rolled back, or replaced by a completed rollout.
    pub excluded: VecDeque<ServerVersion>,
}

/// How a version of a service's servers takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRole {
    /// Gets the requests that a version on trial does not get.
    Serving,
    /// Target of a running rollout.
    OnTrial,
    /// Gets nothing.
    Excluded,
}

impl Rollout {
    /// How a version takes part.
    pub fn role(&self, version: &str) -> VersionRole {
        if self.excluded.iter().any(|excluded| excluded == version) {
            return VersionRole::Excluded;
        }
        match self.phase.is_running() && version == self.target_version {
            true => VersionRole::OnTrial,
            false => VersionRole::Serving,
        }
    }

    /// Whether a request goes to the version on trial; `draw` is a random number in `0.0..1.0`.
    pub fn draws_target(&self, draw: f64) -> bool {
        self.phase.is_running() && draw * f64::from(FULL_SHARE_MILLI) < f64::from(self.share_milli)
    }

    /// Number of servers on trial that get requests, of `trial_servers`, while `serving_servers`
    /// get the rest: as many as get their usual load with the share. With fewer requests, a version
    /// that is bad only under load would pass.
    pub fn servers_on_trial(&self, trial_servers: usize, serving_servers: usize) -> usize {
        if self.phase == RolloutPhase::Full {
            return trial_servers;
        }
        let share = f64::from(self.share_milli) / f64::from(FULL_SHARE_MILLI);
        let usual = (share * serving_servers as f64).round() as usize;
        usual.clamp(1, trial_servers.max(1))
    }

    /// Time since the order, by a wall clock that may have been set back.
    pub fn elapsed(&self, now_ms: UnixMs) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.ordered_at_ms))
    }

    fn exclude(&mut self, versions: impl IntoIterator<Item = ServerVersion>) {
        for version in versions {
            if !self.excluded.contains(&version) {
                self.excluded.push_back(version);
            }
        }
        while self.excluded.len() > MAX_EXCLUDED {
            self.excluded.pop_front();
        }
    }
}

/// A command in the log of the configuration group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCommand {
    /// Service, with its team.
    pub service: ServiceName,
    /// Time of the command, by the leader's clock.
    pub at_ms: UnixMs,
    /// Who ordered or decided it.
    pub author: String,
    /// What it does.
    pub action: RolloutAction,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutAction {
    /// Starts a rollout.
    Order {
        /// Identifier of the order, the same for all its copies. Another order within
        /// [`ORDER_COPY_MS`] has another one.
        order_id: ChangeId,
        /// Version to roll out.
        target_version: ServerVersion,
        /// Time to the deadline.
        duration_ms: u64,
        /// Whether all known servers of the service have the version already. There is nothing to
        /// observe then, and no other version to send requests to.
        is_already_running: bool,
    },
    /// Moves a running rollout on.
    Step {
        /// Configuration version of the order that the step belongs to.
        ordered_in: ConfigVersion,
        /// The step.
        step: RolloutStep,
        /// Figures that decided it.
        reason: String,
    },
}

/// A step of a running rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStep {
    /// Sets phase and share.
    SetShare {
        /// A running phase, not before the current one.
        phase: RolloutPhase,
        /// Share of the target version.
        share_milli: u32,
    },
    /// Only the target version remains.
    Complete {
        /// Versions that get nothing from now on.
        replaced: BTreeSet<ServerVersion>,
    },
    /// The target version gets nothing from now on.
    RollBack,
}

/// Answer to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutAnswer {
    /// Stored in the log of a quorum of replicas.
    Accepted {
        /// Configuration version that contains it.
        version: ConfigVersion,
    },
    /// A rollout of the service is in progress.
    InProgress,
    /// No configuration defines the service.
    UnknownService,
    /// The duration is 0 or too long.
    BadDuration,
    /// The target version is empty or too long.
    BadVersion,
    /// The step belongs to another rollout or a decided one, or leads back.
    Outdated,
}

/// An accepted command, kept for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Sequence number, without gaps.
    pub number: u64,
    /// Configuration version that it produced.
    pub version: ConfigVersion,
    /// Service.
    pub service: ServiceName,
    /// Version that is rolled out.
    pub target_version: ServerVersion,
    /// Time of the command.
    pub at_ms: UnixMs,
    /// Who ordered or decided it.
    pub author: String,
    /// Phase after it.
    pub phase: RolloutPhase,
    /// Share after it, in thousandths.
    pub share_milli: u32,
    /// Figures that decided it; empty for an order.
    pub reason: String,
}

/// The answer to an order, for copies of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct OrderAnswer {
    order_id: ChangeId,
    at_ms: UnixMs,
    answer: RolloutAnswer,
}

/// [`Rollouts`] in the layout that releases before answers to copies of orders stored.
#[derive(Deserialize)]
pub struct RolloutsV3 {
    latest: BTreeMap<ServiceName, Rollout>,
    records: VecDeque<RolloutRecord>,
    record_count: u64,
}

impl From<RolloutsV3> for Rollouts {
    fn from(stored: RolloutsV3) -> Self {
        Rollouts {
            latest: stored.latest,
            records: stored.records,
            record_count: stored.record_count,
            order_answers: VecDeque::new(),
        }
    }
}

/// Rollouts of all services. Part of the replicated state of the configuration group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rollouts {
    latest: BTreeMap<ServiceName, Rollout>,
    records: VecDeque<RolloutRecord>,
    record_count: u64,
    /// Answers to orders, oldest first.
    order_answers: VecDeque<OrderAnswer>,
}

impl From<()> for Rollouts {
    /// The rollouts of a release that had none.
    fn from((): ()) -> Self {
        Rollouts::default()
    }
}

impl Rollouts {
    /// The latest rollout of each service.
    pub fn latest(&self) -> &BTreeMap<ServiceName, Rollout> {
        &self.latest
    }

    /// Records of one service, or of all services, oldest first.
    pub fn records<'a>(
        &'a self,
        service: Option<&'a str>,
    ) -> impl Iterator<Item = &'a RolloutRecord> {
        let is_asked =
            move |record: &&RolloutRecord| service.is_none_or(|service| record.service == service);
        self.records.iter().filter(is_asked)
    }

    /// Applies a command. `version` is the configuration version that it gets if it is accepted.
    pub(crate) fn apply(
        &mut self,
        command: &RolloutCommand,
        version: ConfigVersion,
        is_service_known: bool,
    ) -> RolloutAnswer {
        let answer = match &command.action {
            RolloutAction::Order {
                order_id,
                target_version,
                duration_ms,
                is_already_running,
            } => {
                if let Some(answer) = self.answer_to_copy(order_id, command.at_ms) {
                    return answer;
                }
                let order = Rollout {
                    ordered_in: version,
                    order_id: order_id.clone(),
                    target_version: target_version.clone(),
                    ordered_at_ms: command.at_ms,
                    duration_ms: *duration_ms,
                    phase: RolloutPhase::Canary,
                    share_milli: INITIAL_SHARE_MILLI,
                    excluded: VecDeque::new(),
                };
                let answer = self.order(
                    &command.service,
                    order,
                    *is_already_running,
                    is_service_known,
                );
                self.keep_order_answer(order_id, command.at_ms, answer);
                answer
            }
            RolloutAction::Step {
                ordered_in, step, ..
            } => self.step(&command.service, *ordered_in, step, version),
        };
        if answer == (RolloutAnswer::Accepted { version }) {
            self.record(command, version);
        }
        answer
    }

    /// The answer to an order that was decided less than [`ORDER_COPY_MS`] ago. The leaders' clocks may differ and
    /// be set back.
    fn answer_to_copy(&self, order_id: &str, at_ms: UnixMs) -> Option<RolloutAnswer> {
        let mut latest_first = self.order_answers.iter().rev();
        let first = latest_first.find(|first| first.order_id == order_id)?;
        (at_ms < first.at_ms.saturating_add(ORDER_COPY_MS)).then_some(first.answer)
    }

    fn keep_order_answer(&mut self, order_id: &ChangeId, at_ms: UnixMs, answer: RolloutAnswer) {
        self.order_answers.push_back(OrderAnswer {
            order_id: order_id.clone(),
            at_ms,
            answer,
        });
        while self.order_answers.len() > MAX_ORDER_ANSWERS {
            self.order_answers.pop_front();
        }
    }

    fn order(
        &mut self,
        service: &ServiceName,
        mut order: Rollout,
        is_already_running: bool,
        is_service_known: bool,
    ) -> RolloutAnswer {
        if !is_service_known {
            return RolloutAnswer::UnknownService;
        }
        if !(1..=MAX_ROLLOUT_MS).contains(&order.duration_ms) {
            return RolloutAnswer::BadDuration;
        }
        if order.target_version.is_empty() || order.target_version.len() > MAX_VERSION_BYTES {
            return RolloutAnswer::BadVersion;
        }
        let mut is_in_place = is_already_running;
        if let Some(current) = self.latest.get(service) {
            if current.phase.is_running() {
                return RolloutAnswer::InProgress;
            }
            order.excluded.clone_from(&current.excluded);
            order.excluded.retain(|v| *v != order.target_version);
            is_in_place |= current.phase == RolloutPhase::Completed
                && current.target_version == order.target_version;
        }
        if is_in_place {
            order.phase = RolloutPhase::Completed;
            order.share_milli = FULL_SHARE_MILLI;
        }
        let version = order.ordered_in;
        self.latest.insert(service.clone(), order);
        RolloutAnswer::Accepted { version }
    }

    fn step(
        &mut self,
        service: &ServiceName,
        ordered_in: ConfigVersion,
        step: &RolloutStep,
        version: ConfigVersion,
    ) -> RolloutAnswer {
        let current = self.latest.get_mut(service);
        let Some(rollout) = current.filter(|r| r.ordered_in == ordered_in && r.phase.is_running())
        else {
            return RolloutAnswer::Outdated;
        };
        match step {
            RolloutStep::SetShare { phase, share_milli } => {
                if !phase.is_running() || *phase < rollout.phase {
                    return RolloutAnswer::Outdated;
                }
                rollout.phase = *phase;
                rollout.share_milli = (*share_milli).min(FULL_SHARE_MILLI);
            }
            RolloutStep::Complete { replaced } => {
                rollout.phase = RolloutPhase::Completed;
                rollout.share_milli = FULL_SHARE_MILLI;
                let target = rollout.target_version.clone();
                rollout.exclude(replaced.iter().filter(|v| **v != target).cloned());
            }
            RolloutStep::RollBack => {
                rollout.phase = RolloutPhase::RolledBack;
                rollout.share_milli = 0;
                rollout.exclude([rollout.target_version.clone()]);
            }
        }
        RolloutAnswer::Accepted { version }
    }

    fn record(&mut self, command: &RolloutCommand, version: ConfigVersion) {
        let Some(rollout) = self.latest.get(&command.service) else {
            return;
        };
        self.record_count += 1;
        self.records.push_back(RolloutRecord {
            number: self.record_count,
            version,
            service: command.service.clone(),
            target_version: rollout.target_version.clone(),
            at_ms: command.at_ms,
            author: command.author.clone(),
            phase: rollout.phase,
            share_milli: rollout.share_milli,
            reason: match &command.action {
                RolloutAction::Order { .. } => String::new(),
                RolloutAction::Step { reason, .. } => reason.clone(),
            },
        });
        while self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }
}
