//! Queue of requests in front of one backend server: admission, order of service and refusal.
//!
//! Designed for overload: more work than the slots can carry, of several ranks, part of it called
//! by requests that already hold a slot elsewhere. A request is admitted only if it is expected to
//! finish in time behind the requests ahead of it, so a burst reduces the number of requests served
//! but not their latency: a short queue keeps the slots as busy as a long one. Run times are learned
//! at the normal pace and forecast at the current one, for machines on which work takes 2.5 times as
//! long for some tenths of a second.

use crate::decaying_sum::DecayingSum;
use crate::fair_turns::{FairTurns, Turn};
use crate::ids::{RouteName, WorkspaceName};
use crate::pace::Pace;
use crate::rate_limit::RateLimit;
use crate::run_times::RunTimeEstimates;
use crate::server_statement::RequestRate;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Weight of the newest request in the refused share.
const REFUSED_WEIGHT: f64 = 0.04;
/// Longest wait of a request that is to meet its target, as a share of the time that the target leaves
/// after a mean run. In a shortage all requests wait for about this long. Run times vary widely: if
/// all of that time were spent waiting, half of the responses would be late.
const TARGET_WAIT_SHARE: f64 = 0.6;
/// Longest wait of a request that can only be late, as a share of the time that its deadline leaves
/// after a run. Requests in time overtake it, also those that are still to come.
const LATE_WAIT_SHARE: f64 = 0.95;
/// Multiple of the mean run time that must be left before the deadline when a request starts. A run
/// that is cut off at the deadline is wasted.
const DEADLINE_RUN_TIME_FACTOR: f64 = 1.6;
/// Part of a mean run time before the deadline at which a request stops waiting: few runs are shorter.
const MIN_RUN_SHARE: f64 = 0.4;
/// Averaging window of the work that overtakes waiting requests: long compared with a run, short
/// compared with the rise of a burst.
const OVERTAKING_WINDOW: Duration = Duration::from_secs(1);
/// Largest share of the slots that overtaking work is assumed to use; a share of 1 would make every
/// forecast wait infinite.
const MAX_OVERTAKING_SHARE: f64 = 0.95;
/// Lower bound of the slots that a limited rate is assumed to fill, so that forecasts remain finite.
const MIN_USABLE_SLOTS: f64 = 0.001;
/// Rise of the pace after which the forecasts of waiting requests are checked again: a smaller one
/// is within the spread of run times.
const MIN_PACE_RISE: f64 = 1.1;
/// Shortest time after which a refused request may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Sequence number of a request in one queue.
pub type Ticket = u64;

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkItem {
    /// Its route; mean run times are kept per route.
    pub route: RouteName,
    /// Rank; 0 is the highest.
    pub rank: u64,
    /// Whether its caller is a request that already holds a slot elsewhere.
    pub is_nested: bool,
    /// Time after which the caller no longer uses the response.
    pub deadline: Instant,
    /// End of the latency target; a request that cannot meet it is queued against its deadline.
    pub target: Instant,
    /// Workspace of its caller; `None` if it has none.
    pub workspace: Option<WorkspaceName>,
}

/// Decision on an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// The request runs now and takes a slot.
    Run,
    /// The request waits under this ticket and expires at the instant, after which it could no
    /// longer finish in time.
    Wait(Ticket, Instant),
    /// The request is refused immediately; no part of it has run.
    Refused(QueueRefusal),
}

/// Why a request was refused, and when it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The backend server accepts no new requests.
    Closed,
    /// The request would not finish in time.
    TooLate {
        /// Forecast time until there is room for the request.
        retry_after: Duration,
    },
}

/// Action on a waiting request after the queue has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// The request runs now and takes a slot.
    Start(Ticket, RouteName),
    /// The request is refused; no part of it has run.
    Refuse(Ticket, QueueRefusal),
}

/// Load of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Mean run time over all routes.
    pub mean_run: Duration,
    /// Mean run time of the requested route.
    pub route_run: Duration,
    /// Rank with the largest refused share; nested requests do not count.
    pub pressure: Option<Pressure>,
    /// Forecast wait of a reply of the requested route and rank for the link of the instance.
    pub link_wait: Duration,
    /// Forecast wait of a request that arrives now for its turn at the rate that the backend server
    /// states; zero without a stated rate.
    pub rate_wait: Duration,
}

/// How often requests of a rank are refused for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pressure {
    /// The rank.
    pub rank: u64,
    /// Refused requests per thousand.
    pub refused_permille: u32,
}

/// Order of service: nested requests first, then by rank; within a rank, requests that can still
/// meet their latency target before those that cannot, then by the turns of their workspaces, then
/// by arrival. An overloaded service serves the same number of requests in any order, but more of
/// them within the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    /// Group of the request; lower groups are served first.
    group: u64,
    turn: Turn,
    ticket: Ticket,
}

/// What a waiting request is to meet.
#[derive(Clone, Copy, Debug)]
enum Due {
    /// Its latency target, which it could meet when it arrived.
    Target { arrived_at: Instant },
    /// Its deadline, with a margin for requests that overtake it.
    Late { arrived_at: Instant },
    /// Its deadline, for a nested request.
    Deadline,
}

impl Due {
    fn of(item: &WorkItem, can_meet_target: bool, now: Instant) -> Self {
        match (item.is_nested, can_meet_target) {
            (true, _) => Due::Deadline,
            (false, true) => Due::Target { arrived_at: now },
            (false, false) => Due::Late { arrived_at: now },
        }
    }

    /// Whether a request with a mean run time that starts at this time starts too late.
    fn is_missed(self, item: &WorkItem, run: Duration, start: Instant) -> bool {
        match self {
            Due::Target { arrived_at } => {
                let spare = item.target.saturating_duration_since(arrived_at + run);
                start > arrived_at + spare.mul_f64(TARGET_WAIT_SHARE)
            }
            Due::Late { arrived_at } => {
                let run = run.mul_f64(DEADLINE_RUN_TIME_FACTOR);
                let spare = item.deadline.saturating_duration_since(arrived_at + run);
                start > arrived_at + spare.mul_f64(LATE_WAIT_SHARE)
            }
            Due::Deadline => start + run.mul_f64(DEADLINE_RUN_TIME_FACTOR) > item.deadline,
        }
    }
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    item: WorkItem,
    /// What it was admitted for.
    due: Due,
    /// Run time that its workspace is charged with.
    cost: Duration,
}

/// The queue in front of one backend server.
///
/// Invariants: `running <= slots`, except after slots were withdrawn while requests run; no request
/// waits while a slot is free and the rate limit permits a start.
#[derive(Debug)]
pub struct WorkQueue {
    slots: u32,
    running: u32,
    rate_limit: RateLimit,
    is_open: bool,
    next_ticket: Ticket,
    waiting: BTreeMap<QueueKey, WaitingRequest>,
    /// Whether a request was queued ahead of others, or the pace rose, since their forecasts were
    /// last checked.
    must_check_forecasts: bool,
    /// Factor of the pace when the forecasts were last checked.
    checked_factor: f64,
    run_times: RunTimeEstimates,
    keys: HashMap<Ticket, QueueKey>,
    /// Turns of workspaces, by the group of the key.
    fair_turns: BTreeMap<u64, FairTurns>,
    /// Recently started work in seconds of run time, by the group of its key.
    recent_work: BTreeMap<u64, DecayingSum>,
    /// Refused share of the requests of each rank, without nested requests.
    refused_share: BTreeMap<u64, f64>,
}

impl WorkQueue {
    /// Creates an open queue for a backend server with at least one slot.
    pub fn new(slots: u32) -> Self {
        WorkQueue {
            slots: slots.max(1),
            running: 0,
            rate_limit: RateLimit::default(),
            is_open: true,
            next_ticket: 0,
            waiting: BTreeMap::new(),
            must_check_forecasts: false,
            checked_factor: 1.0,
            run_times: RunTimeEstimates::default(),
            keys: HashMap::new(),
            fair_turns: BTreeMap::new(),
            recent_work: BTreeMap::new(),
            refused_share: BTreeMap::new(),
        }
    }

    /// Requests running or waiting.
    pub fn in_flight(&self) -> u32 {
        self.running + self.waiting_count()
    }

    fn waiting_count(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Load of the backend server, with the mean run time of `route`.
    pub fn load(&self, route: &str, now: Instant) -> WorkLoad {
        let pressures = self.refused_share.iter().map(|(rank, share)| Pressure {
            rank: *rank,
            refused_permille: (share * 1_000.0) as u32,
        });
        WorkLoad {
            pressure: pressures
                .filter(|pressure| pressure.refused_permille > 0)
                .max_by_key(|pressure| pressure.refused_permille),
            running: self.running,
            waiting: self.waiting_count(),
            slots: self.slots,
            mean_run: Duration::from_secs_f64(self.run_times.mean_run_s(now)),
            route_run: self.run_time(route, now),
            link_wait: Duration::ZERO,
            rate_wait: self.rate_wait(self.waiting_count(), now),
        }
    }

    /// Sets the number of slots, at least one; a reduction takes effect as requests finish.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Limits the rate of starts, or removes the limit.
    pub fn set_rate_limit(&mut self, rate: Option<RequestRate>, now: Instant) {
        self.rate_limit.set_rate(rate, now);
    }

    /// When the rate limit permits the next start; `None` if no request waits for it.
    /// [`WorkQueue::next_action`] must be called again then.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let is_limited = self.running < self.slots && !self.waiting.is_empty();
        is_limited.then(|| self.rate_limit.next_start(now))?
    }

    /// Forecast wait for a start at the limited rate behind `ahead` others.
    fn rate_wait(&self, ahead: u32, now: Instant) -> Duration {
        let Some(interval) = self.rate_limit.interval() else {
            return Duration::ZERO;
        };
        let next_start = self.rate_limit.next_start(now).unwrap_or(now);
        next_start.duration_since(now) + interval * ahead
    }

    /// Opens or closes the queue for new requests; closing it refuses all waiting requests.
    pub fn set_open(&mut self, is_open: bool) -> Vec<QueueAction> {
        self.is_open = is_open;
        if is_open {
            return Vec::new();
        }
        self.waiting.clear();
        self.fair_turns.clear();
        let tickets = std::mem::take(&mut self.keys).into_keys();
        tickets
            .map(|ticket| QueueAction::Refuse(ticket, QueueRefusal::Closed))
            .collect()
    }

    /// Decides on an arriving request.
    pub fn arrive(&mut self, item: WorkItem, now: Instant) -> ArrivalDecision {
        if !self.is_open {
            return ArrivalDecision::Refused(QueueRefusal::Closed);
        }
        let target_left = item.target.saturating_duration_since(now);
        let is_first_try = self.run_times.record_arrival(&item.route, target_left);
        let run = self.run_time(&item.route, now);
        let can_meet_target = now + run < item.target;
        let key = self.queue_key(&item, can_meet_target);
        let may_start = self.running < self.slots && self.rate_limit.next_start(now).is_none();
        if may_start && self.waiting.is_empty() {
            self.running += 1;
            self.charge(&item, &key, now);
            self.record_start(&item, &key, now);
            return ArrivalDecision::Run;
        }
        let mut key = key;
        let mut due = Due::of(&item, can_meet_target, now);
        // A caller that was refused before and cannot be served in time this time either is better
        // served late. Requests in time go first, so it takes nothing from them.
        if matches!(due, Due::Target { .. })
            && !is_first_try
            && self.is_missed(due, &item, &key, now)
        {
            key = self.queue_key(&item, false);
            due = Due::of(&item, false, now);
        }
        if self.is_missed(due, &item, &key, now) {
            self.record_refusal(&item, &key);
            let retry_after = self.time_until_room(&item, now);
            return ArrivalDecision::Refused(QueueRefusal::TooLate { retry_after });
        }
        self.next_ticket += 1;
        self.must_check_forecasts |= self
            .waiting
            .last_key_value()
            .is_some_and(|(last, _)| key < *last);
        self.keys.insert(key.ticket, key);
        let until = item
            .deadline
            .checked_sub(run.mul_f64(MIN_RUN_SHARE))
            .unwrap_or(now)
            .max(now);
        let cost = self.charge(&item, &key, now);
        let waiting = WaitingRequest { item, due, cost };
        self.waiting.insert(key, waiting);
        ArrivalDecision::Wait(key.ticket, until)
    }

    /// Whether an arriving request with this key is expected to start too late.
    fn is_missed(&self, due: Due, item: &WorkItem, key: &QueueKey, now: Instant) -> bool {
        let turns = self.fair_turns.get(&key.group);
        let cost = Duration::from_secs_f64(self.run_times.normal_s(&item.route));
        let turn_wait = turns.map_or(Duration::ZERO, |turns| turns.wait(key.turn, cost, now));
        let wait = self.wait_before(key, now).max(turn_wait);
        due.is_missed(item, self.run_time(&item.route, now), now + wait)
    }

    /// Forecast time until the end of a request of this route that arrives now and is served after
    /// all waiting ones.
    pub fn expected_time_to_end(&self, route: &str, now: Instant) -> Duration {
        let waiting = f64::from(self.waiting_count()) / f64::from(self.slots);
        let slot_wait = Duration::from_secs_f64(self.run_times.mean_run_s(now) * waiting);
        slot_wait.max(self.rate_wait(self.waiting_count(), now)) + self.run_time(route, now)
    }

    /// Records the pace that the backend server states.
    pub fn record_pace(&mut self, pace: Pace, now: Instant) {
        self.run_times.record_pace(pace, now);
        let factor = self.run_times.pace_factor(now);
        // Forecasts that were checked at a higher pace hold at a lower one.
        self.checked_factor = self.checked_factor.min(factor);
        self.must_check_forecasts |= factor > self.checked_factor * MIN_PACE_RISE;
    }

    /// Current multiple of the normal time that work takes.
    pub fn pace_factor(&self, now: Instant) -> f64 {
        self.run_times.pace_factor(now)
    }

    /// Seconds by which work that has been running all along lags behind the normal pace. A run
    /// time less the difference between its end and its start is the time at the normal pace.
    pub fn lost_s(&self, now: Instant) -> f64 {
        self.run_times.lost_s(now)
    }

    /// Records the end of a run. `run_time` is a sample for the means, at the normal pace; pass
    /// `None` if the request did not run to its end.
    pub fn finish(&mut self, route: &str, run_time: Option<Duration>) {
        self.finish_streamed(route, run_time, run_time.unwrap_or_default());
    }

    /// Like [`WorkQueue::finish`], for a run whose response was ready after `run_time` and kept its
    /// slot until it was sent, `held_time` after the start. Forecasts of a response use the former:
    /// with the latter, a slow link looks like a slow server.
    pub fn finish_streamed(
        &mut self,
        route: &str,
        run_time: Option<Duration>,
        held_time: Duration,
    ) {
        self.running = self.running.saturating_sub(1);
        if let Some(run_time) = run_time {
            self.run_times.record(route, run_time, held_time);
        }
    }

    /// Removes an expired request; returns its refusal if it was still waiting.
    pub fn expire(&mut self, ticket: Ticket) -> Option<QueueRefusal> {
        let (key, item) = self.remove(ticket)?;
        self.record_refusal(&item, &key);
        Some(QueueRefusal::TooLate {
            retry_after: MIN_RETRY_AFTER,
        })
    }

    /// Removes a cancelled request; returns it if it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<WorkItem> {
        self.remove(ticket).map(|(_, item)| item)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<(QueueKey, WorkItem)> {
        let key = self.keys.remove(&ticket)?;
        let WaitingRequest { item, cost, .. } = self.waiting.remove(&key)?;
        self.turns_of(&key).leave(&item.workspace, cost);
        Some((key, item))
    }

    fn turns_of(&mut self, key: &QueueKey) -> &mut FairTurns {
        self.fair_turns.entry(key.group).or_default()
    }

    /// Charges the workspace of a request that is queued or runs at once; returns the run time.
    fn charge(&mut self, item: &WorkItem, key: &QueueKey, now: Instant) -> Duration {
        let cost = Duration::from_secs_f64(self.run_times.normal_s(&item.route));
        let slots = self.usable_slots(now);
        self.turns_of(key)
            .queue(&item.workspace, key.turn, cost, slots, now);
        cost
    }

    /// Returns the next waiting request to start or to refuse. Call it after every change until it
    /// returns `None`.
    pub fn next_action(&mut self, now: Instant) -> Option<QueueAction> {
        if let Some(key) = self.first_too_late(now) {
            return Some(self.refuse(&key, now));
        }
        if self.running >= self.slots {
            return None;
        }
        let (key, waiting) = self.waiting.first_key_value()?;
        let (key, run) = (*key, self.run_time(&waiting.item.route, now));
        if now + run > waiting.item.deadline {
            return Some(self.refuse(&key, now));
        }
        if self.rate_limit.next_start(now).is_some() {
            return None;
        }
        let (_, waiting) = self.waiting.pop_first()?;
        self.record_start(&waiting.item, &key, now);
        self.keys.remove(&key.ticket);
        self.running += 1;
        Some(QueueAction::Start(key.ticket, waiting.item.route))
    }

    fn record_outcome(&mut self, item: &WorkItem, refused: f64) {
        if !item.is_nested {
            let share = self.refused_share.entry(item.rank).or_default();
            *share += REFUSED_WEIGHT * (refused - *share);
        }
    }

    fn record_refusal(&mut self, item: &WorkItem, key: &QueueKey) {
        self.record_outcome(item, 1.0);
        self.turns_of(key).record_refusal(&item.workspace);
    }

    fn record_start(&mut self, item: &WorkItem, key: &QueueKey, now: Instant) {
        self.record_outcome(item, 0.0);
        self.turns_of(key).start(&item.workspace, key.turn, now);
        self.rate_limit.record_start(now);
        let run_s = self.run_time(&item.route, now).as_secs_f64();
        self.recent_work
            .entry(key.group)
            .or_insert_with(|| DecayingSum::new(OVERTAKING_WINDOW))
            .add(run_s, now);
    }

    /// Slots that requests can keep in use: at a limited rate, those that its requests fill.
    fn usable_slots(&self, now: Instant) -> f64 {
        let slots = f64::from(self.slots);
        let interval = self.rate_limit.interval();
        interval
            .map_or(slots, |interval| {
                slots.min(self.run_times.mean_run_s(now) / interval.as_secs_f64())
            })
            .max(MIN_USABLE_SLOTS)
    }

    /// Slots available to a request with this key: those not used by work of the groups ahead of
    /// it, which is served first even if it arrives later.
    fn available_slots(&self, key: &QueueKey, now: Instant) -> f64 {
        let groups_ahead = self.recent_work.range(..key.group);
        let slots_used: f64 = groups_ahead.map(|(_, recent)| recent.per_s(now)).sum();
        let slots = self.usable_slots(now);
        let overtaking_share = slots_used / slots;
        slots * (1.0 - overtaking_share.min(MAX_OVERTAKING_SHARE))
    }

    fn refuse(&mut self, key: &QueueKey, now: Instant) -> QueueAction {
        let mut retry_after = MIN_RETRY_AFTER;
        if let Some((_, item)) = self.remove(key.ticket) {
            self.record_refusal(&item, key);
            retry_after = self.time_until_room(&item, now);
        }
        QueueAction::Refuse(key.ticket, QueueRefusal::TooLate { retry_after })
    }

    /// Forecast time until there is room for a refused request: until a slot is free behind all that
    /// wait now and are not less urgent. When its caller comes back it may be late, so requests of
    /// its rank that are late as well are ahead of it.
    fn time_until_room(&self, item: &WorkItem, now: Instant) -> Duration {
        let behind_rank = QueueKey {
            turn: Turn::MAX,
            ticket: Ticket::MAX,
            ..self.queue_key(item, false)
        };
        let ahead = self.waiting.range(..behind_rank);
        let (count, work_s) = ahead.fold((0, 0.0), |(count, work_s), (_, waiting)| {
            let run_s = self.run_time(&waiting.item.route, now).as_secs_f64();
            (count + 1, work_s + run_s)
        });
        let first_free_s = self.run_times.mean_run_s(now) / 2.0;
        let slot_wait = Duration::from_secs_f64((work_s + first_free_s) / self.usable_slots(now));
        slot_wait
            .max(self.rate_wait(count, now))
            .max(MIN_RETRY_AFTER)
    }

    /// Returns the first request that can no longer finish in time behind the requests queued ahead
    /// of it. It is refused immediately, while there is still time to run it elsewhere.
    fn first_too_late(&mut self, now: Instant) -> Option<QueueKey> {
        if !self.must_check_forecasts {
            return None;
        }
        let mut work_ahead_s = self.run_times.mean_run_s(now) / 2.0;
        for (key, waiting) in &self.waiting {
            let run_s = self.run_time(&waiting.item.route, now).as_secs_f64();
            let wait = Duration::from_secs_f64(work_ahead_s / self.available_slots(key, now));
            let run = Duration::from_secs_f64(run_s);
            if waiting.due.is_missed(&waiting.item, run, now + wait) {
                return Some(*key);
            }
            work_ahead_s += run_s;
        }
        self.must_check_forecasts = false;
        self.checked_factor = self.run_times.pace_factor(now);
        None
    }

    /// Mean run time of a route's requests at the current pace.
    pub fn run_time(&self, route: &str, now: Instant) -> Duration {
        Duration::from_secs_f64(self.run_times.run_s(route, now))
    }

    fn queue_key(&self, item: &WorkItem, can_meet_target: bool) -> QueueKey {
        let by_rank = 2 * (item.rank + 1) + u64::from(!can_meet_target);
        let group = if item.is_nested { 0 } else { by_rank };
        let turns = self.fair_turns.get(&group);
        QueueKey {
            group,
            turn: turns.map_or(0, |turns| turns.turn(&item.workspace)),
            ticket: self.next_ticket,
        }
    }

    /// Forecast time until a slot is free for a request with this key: the work ahead of it plus
    /// half a mean run until the first slot becomes free, divided by its
    /// [available slots](Self::available_slots).
    fn wait_before(&self, key: &QueueKey, now: Instant) -> Duration {
        let work_ahead_s: f64 = self
            .waiting
            .range(..key)
            .map(|(_, waiting)| self.run_time(&waiting.item.route, now).as_secs_f64())
            .sum();
        let first_free_s = self.run_times.mean_run_s(now) / 2.0;
        let slot_wait =
            Duration::from_secs_f64((work_ahead_s + first_free_s) / self.available_slots(key, now));
        slot_wait.max(self.rate_wait(0, now))
    }
}
