//! Keeps the requests of a workspace within its allotment, summed over gateways that share no state
//! per request.
//!
//! Designed for workspaces that send up to eight times their usual demand for some seconds, through
//! 200 gateways of which each sees a few of their requests. A rate divided among the gateways would
//! leave small workspaces with unusable shares; here, collectors keep one token bucket over the sum
//! and tell the gateways what part of the requests to admit. A gateway admits that part evenly: by
//! independent random draws, the number admitted of a surge through few gateways varies by several
//! requests (a standard deviation of 12 in 170 of 1,000), which the bucket then takes from later ones.

use crate::collector_bucket::NEXT_SECOND;
use crate::gateway_bucket::GatewayBuckets;
use crate::ids::{Incarnation, WorkspaceName};
use crate::usage::{
    AdmissionShare, Outbox, RunKey, RunTally, ShareReply, UsageReport, WorkspaceUsage,
};
use crate::workspace::Allotment;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time since the first unanswered report after which a gateway uses its floor. Longer than the
/// 300 ms after which a report goes to the next collector; at most this time of a surge is admitted
/// with a share from before it.
pub const FLOOR_AFTER: Duration = Duration::from_millis(500);
/// Interval between reports when there is nothing to report. Collectors reserve part of each
/// allotment for gateways that they no longer hear.
pub const USAGE_HEARTBEAT: Duration = Duration::from_millis(400);
/// Time for which a floor that is no longer in use remembers what it admitted; the window of the
/// allotments.
const FLOOR_MEMORY: Duration = Duration::from_secs(5);
/// Requests of a workspace that all gateways together admit beyond the rate when they begin to use
/// their floors. Less than the 20 requests by which a window may exceed an allotment.
const FLOOR_START_REQUESTS: f64 = 15.0;
/// Time of the rate that a gateway admits at once in addition, so that requests below the limit which
/// arrive together are not refused.
const FLOOR_START_TIME: Duration = Duration::from_millis(100);
/// Number of floors below which none is dropped.
const MIN_FLOORS: usize = 64;
/// Shortest and longest time after which a refused caller is told to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// What a gateway admits of a workspace while it hears no collector.
#[derive(Clone, Copy, Debug)]
struct Floor {
    level: f64,
    at: Instant,
}

/// Admits a part of the requests of a workspace, evenly.
#[derive(Clone, Copy, Debug)]
struct LimitedWorkspace {
    share: AdmissionShare,
    /// Sum of the shares of all requests less the number admitted, from 0 to 1; `None` before the
    /// first request. Begins at a random value: many gateways that each see few requests would
    /// otherwise admit in step.
    remainder: Option<f64>,
}

impl LimitedWorkspace {
    fn admits(&mut self, draw: f64) -> bool {
        let sum = self.remainder.unwrap_or(draw) + self.share.share();
        let is_admitted = sum >= 1.0;
        self.remainder = Some(sum - f64::from(u8::from(is_admitted)));
        is_admitted
    }
}

/// Counts and admits the requests of workspaces with an allotment at one gateway.
#[derive(Debug, Default)]
pub struct AllotmentGate {
    outbox: Outbox,
    /// Workspaces whose share is below 1, as the last replies stated them.
    limited: HashMap<WorkspaceName, LimitedWorkspace>,
    /// What this gateway alone may admit, whatever the share: a share is older than the requests that
    /// a fast caller sends between two reports.
    buckets: GatewayBuckets,
    floors: HashMap<WorkspaceName, Floor>,
    /// Number of floors at which those not in use are dropped; twice what the last time left, so
    /// that the cost per request does not grow with their number.
    most_floors: usize,
    /// Whether a collector that knows the sums has ever replied.
    has_heard: bool,
    /// When the first report was sent that no collector has answered with shares.
    unanswered_since: Option<Instant>,
    answered_at: Option<Instant>,
}

impl AllotmentGate {
    /// Counts a request and decides whether to admit it. `gateways` is the number of live gateways;
    /// `draw` is uniformly distributed from 0 to 1. Returns the time after which to retry if it is
    /// not admitted.
    pub fn admit(
        &mut self,
        name: &str,
        allotment: &Allotment,
        gateways: usize,
        draw: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let refused = match self.is_on_floor(now) {
            true => self.refused_by_floor(name, allotment, gateways, draw, now),
            false => self.refused_by_share(name, draw),
        };
        let refused = refused.or_else(|| self.refused_by_bucket(name, allotment, now));
        let usage = WorkspaceUsage {
            demand: 1,
            admitted: i64::from(refused.is_none()),
            late: 0,
        };
        self.outbox.add_workspace(name, usage);
        refused.map_or(Ok(()), |delay| {
            Err(delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
        })
    }

    /// Takes back an admission: the request was refused afterwards and has not run.
    pub fn refund(&mut self, name: &str) {
        let usage = WorkspaceUsage {
            demand: 0,
            admitted: -1,
            late: 0,
        };
        self.outbox.add_workspace(name, usage);
        self.buckets.put_back(name);
        if let Some(floor) = self.floors.get_mut(name) {
            floor.level += 1.0;
        }
    }

    /// Share of the requests of a workspace that is admitted while a collector is heard.
    pub fn share(&self, name: &str) -> f64 {
        let limited = self.limited.get(name);
        limited.map_or(1.0, |limited| limited.share.share())
    }

    /// Workspaces that are limited, with their shares.
    pub fn limited(&self) -> impl Iterator<Item = (&WorkspaceName, f64)> {
        let with_shares = |(name, limited): (_, &LimitedWorkspace)| (name, limited.share.share());
        self.limited.iter().map(with_shares)
    }

    /// Whether the gateway hears no collector and admits its floor of each allotment.
    pub fn is_on_floor(&self, now: Instant) -> bool {
        let is_unanswered = self
            .unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) > FLOOR_AFTER);
        !self.has_heard || is_unanswered
    }

    fn refused_by_share(&mut self, name: &str, draw: f64) -> Option<Duration> {
        let limited = self.limited.get_mut(name)?;
        let delay = Duration::from_millis(limited.share.retry_after_ms.into());
        (!limited.admits(draw)).then_some(delay)
    }

    /// A caller that returns before its share allows it would be refused again.
    fn refused_by_bucket(
        &mut self,
        name: &str,
        allotment: &Allotment,
        now: Instant,
    ) -> Option<Duration> {
        let delay = self.buckets.take(name, allotment, now).err()?;
        let limited = self.limited.get(name);
        let share_delay_ms = limited.map_or(0, |limited| limited.share.retry_after_ms);
        Some(delay.max(Duration::from_millis(share_delay_ms.into())))
    }

    /// The part of the rate for one gateway, with a depth of at least one request. The initial level
    /// is random, so that few of many gateways admit one request of a small workspace at once.
    fn refused_by_floor(
        &mut self,
        name: &str,
        allotment: &Allotment,
        gateways: usize,
        draw: f64,
        now: Instant,
    ) -> Option<Duration> {
        let gateways = gateways.max(1) as f64;
        let rate = allotment.rate_per_s() / gateways;
        let depth = (allotment.burst_requests as f64 / gateways).max(1.0);
        let known = self.floors.get(name).copied();
        let level = match known.map(|floor| (floor, now.saturating_duration_since(floor.at))) {
            Some((floor, age)) if age < FLOOR_MEMORY || floor.level < 0.0 => {
                floor.level + rate * age.as_secs_f64()
            }
            _ => draw + FLOOR_START_REQUESTS / gateways + rate * FLOOR_START_TIME.as_secs_f64(),
        };
        let level = level.min(depth);
        let is_admitted = level >= 1.0;
        let floor = Floor {
            level: level - f64::from(u8::from(is_admitted)),
            at: now,
        };
        if known.is_some() {
            self.floors.insert(name.to_owned(), floor);
        } else {
            self.remember_floor(name, floor, now);
        }
        let missing = Duration::try_from_secs_f64((1.0 - level) / rate);
        (!is_admitted).then(|| missing.unwrap_or(MAX_RETRY_AFTER))
    }

    fn remember_floor(&mut self, name: &str, floor: Floor, now: Instant) {
        if self.floors.len() >= self.most_floors.max(MIN_FLOORS) {
            let is_recent = |floor: &Floor| now.saturating_duration_since(floor.at) < FLOOR_MEMORY;
            self.floors.retain(|_, floor| is_recent(floor));
            self.most_floors = self.floors.len() * 2;
        }
        self.floors.insert(name.to_owned(), floor);
    }

    /// Counts runs, to be reported.
    pub fn add_runs(&mut self, key: &RunKey, tally: &RunTally) {
        self.outbox.add_runs(key, tally);
    }

    /// The report to send now, if any: counts, or a sign of life if `has_allotments`.
    pub fn report(
        &mut self,
        sender: &str,
        incarnation: Incarnation,
        has_allotments: bool,
        now: Instant,
    ) -> Option<UsageReport> {
        let is_recent = self
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < USAGE_HEARTBEAT);
        if !self.outbox.has_counts() && (is_recent || !has_allotments) {
            return None;
        }
        self.unanswered_since.get_or_insert(now);
        Some(self.outbox.report(sender, incarnation, now))
    }

    /// Applies the reply to a report.
    pub fn apply(&mut self, report: &UsageReport, reply: ShareReply, now: Instant) {
        self.outbox.acknowledge(report.serial);
        if !reply.is_ready {
            return;
        }
        self.answered_at = Some(now);
        self.has_heard = true;
        self.unanswered_since = None;
        let with_remainder = |(name, share): (WorkspaceName, AdmissionShare)| {
            let known = self.limited.get(&name);
            let remainder = known.and_then(|known| known.remainder);
            (name, LimitedWorkspace { share, remainder })
        };
        let limited: Vec<_> = reply.shares.into_iter().map(with_remainder).collect();
        if reply.is_complete {
            self.limited.clear();
        }
        for (name, _) in &report.workspaces {
            self.limited.remove(name);
        }
        self.limited.extend(limited);
    }

    /// Drops counts and shares, as the configuration has no allotments any more.
    pub fn clear_allotments(&mut self) {
        self.outbox.drop_workspaces();
        self.limited.clear();
        self.buckets.clear();
        self.floors.clear();
        self.unanswered_since = None;
    }
}

/// Time after which a caller that is refused is likely to be admitted: the debt of the bucket is
/// paid, and the demand of the last second that exceeds the share is past.
pub(crate) fn retry_after(debt: f64, allotment: &Allotment, share: f64) -> Duration {
    let seconds = debt / allotment.rate_per_s() + (1.0 - share) * NEXT_SECOND.as_secs_f64();
    let delay = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
    delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
