//! Token bucket over the sum of a workspace's admitted requests, as one collector knows it.

use crate::allotment::retry_after;
use crate::decaying_sum::DecayingSum;
use crate::usage::{AdmissionShare, WorkspaceUsage};
use crate::workspace::Allotment;
use std::time::{Duration, Instant};

/// Time in which a share lets the level of the bucket be spent.
pub(crate) const NEXT_SECOND: Duration = Duration::from_secs(1);
/// Window of the demand that shares are computed from: short enough to follow a surge within the
/// delay of the reports, long enough for gateways that report every 100 ms.
const DEMAND_WINDOW: Duration = Duration::from_millis(400);
/// Window of the demand that decides what is reserved for a collector that is not heard. Collectors
/// know each other's demand with a delay; over a longer time their views differ less.
const RESERVE_WINDOW: Duration = Duration::from_secs(2);
/// Requests by which the sum may exceed the bucket, less than the 20 that a window allows: without
/// them, three requests of a small workspace within a tenth of a second look like a surge.
pub(crate) const TOLERATED_REQUESTS: f64 = 8.0;
/// Longest debt in seconds of the rate, so that a wrong count ends.
const MAX_DEBT_S: f64 = 5.0;
/// Demand that each collector is assumed to have in addition, as a part of the rate, so that a
/// collector without recent demand keeps a share of its own.
const RESERVE_BASE: f64 = 0.05;

/// How a collector sees another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerView {
    /// Its counts are up to date.
    Heard,
    /// Its last counts are from this instant; too early to reserve a share for it.
    Late(Instant),
    /// It may be partitioned, and admits what is reserved for it; `unheard_s` is the time since its
    /// last message when this was found, in seconds.
    Silent {
        /// Time until the silence was noticed, in seconds.
        unheard_s: f64,
    },
    /// It is no collector any more.
    Removed,
}

/// State of the fleet that applies to all buckets.
#[derive(Clone, Debug)]
pub(crate) struct FleetView {
    /// The other collectors; buckets refer to them by position.
    pub(crate) peers: Vec<PeerView>,
    /// Part of the gateways that no collector hears.
    pub(crate) missing: f64,
    /// Instant after which all other collectors were heard; `None` if one never was.
    pub(crate) heard_since: Option<Instant>,
}

impl FleetView {
    fn collectors(&self) -> f64 {
        let is_member = |peer: &&PeerView| **peer != PeerView::Removed;
        1.0 + self.peers.iter().filter(is_member).count() as f64
    }
}

/// Demand reported by the senders of one collector.
#[derive(Clone, Copy, Debug)]
struct Demand {
    current: DecayingSum,
    smoothed: DecayingSum,
    /// Part of the allotment that is reserved for the collector; `None` until all were heard.
    reserved: Option<f64>,
    /// The next value of `reserved`.
    candidate: f64,
    /// Requests that it is assumed to have admitted since it was last heard; `None` if it is heard.
    assumed: Option<f64>,
}

impl Demand {
    fn new() -> Self {
        Demand {
            current: DecayingSum::new(DEMAND_WINDOW),
            smoothed: DecayingSum::new(RESERVE_WINDOW),
            reserved: None,
            candidate: 0.0,
            assumed: None,
        }
    }

    fn add(&mut self, requests: u64, now: Instant) {
        self.current.add(requests as f64, now);
        self.smoothed.add(requests as f64, now);
    }
}

/// The bucket of one workspace.
#[derive(Debug)]
pub(crate) struct CollectorBucket {
    allotment: Allotment,
    /// Requests that may be admitted beyond the rate; negative while in debt.
    level: f64,
    at: Instant,
    own: Demand,
    peers: Vec<Demand>,
    /// Requests that gateways which are not heard are assumed to have admitted.
    assumed_missing: f64,
    /// When the candidates of the reserved parts were computed.
    candidates_at: Option<Instant>,
    share: AdmissionShare,
    /// Demand that the share was computed from.
    demand_per_s: f64,
}

impl CollectorBucket {
    /// A bucket at a level from 0 to 1 burst.
    pub(crate) fn new(allotment: Allotment, fill: f64, now: Instant) -> Self {
        CollectorBucket {
            allotment,
            level: fill * allotment.burst_requests as f64,
            at: now,
            own: Demand::new(),
            peers: Vec::new(),
            assumed_missing: 0.0,
            candidates_at: None,
            share: NO_LIMIT,
            demand_per_s: 0.0,
        }
    }

    /// The allotment of the workspace.
    pub(crate) fn allotment(&self) -> Allotment {
        self.allotment
    }

    /// Changes the allotment; what has been admitted remains counted.
    pub(crate) fn set_allotment(&mut self, allotment: Allotment) {
        self.allotment = allotment;
        self.level = self.level.min(allotment.burst_requests as f64);
    }

    /// Counts requests of own senders, or of those of another collector.
    pub(crate) fn record(&mut self, peer: Option<usize>, usage: WorkspaceUsage, now: Instant) {
        let late = (usage.late as f64).min(self.assumed_missing);
        self.assumed_missing -= late;
        self.level += late - usage.admitted as f64;
        self.demand_mut(peer).add(usage.demand, now);
    }

    /// Another collector is heard again; its counts replace what was assumed.
    pub(crate) fn end_silence(&mut self, peer: usize) {
        self.level += self
            .demand_mut(Some(peer))
            .assumed
            .take()
            .unwrap_or_default();
    }

    fn demand_mut(&mut self, peer: Option<usize>) -> &mut Demand {
        let Some(peer) = peer else {
            return &mut self.own;
        };
        if self.peers.len() <= peer {
            self.peers.resize(peer + 1, Demand::new());
        }
        &mut self.peers[peer]
    }

    /// Part of the requests to admit, as of the last [`advance`](Self::advance).
    pub(crate) fn share(&self) -> AdmissionShare {
        self.share
    }

    /// Requests per second as of the last [`advance`](Self::advance), without those that only a
    /// silent collector knows.
    pub(crate) fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Whether the share is below 1.
    pub(crate) fn is_limited(&self) -> bool {
        self.share != NO_LIMIT
    }

    /// Refills the bucket, takes out what unheard collectors and gateways may admit, and computes
    /// the share.
    pub(crate) fn advance(&mut self, fleet: &FleetView, now: Instant) -> AdmissionShare {
        if !fleet.peers.is_empty() {
            self.demand_mut(Some(fleet.peers.len() - 1));
        }
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let rate = self.allotment.rate_per_s();
        let burst = self.allotment.burst_requests as f64;
        self.level = (self.level + rate * passed).min(burst);
        let spendable = rate + self.level.max(0.0) / NEXT_SECOND.as_secs_f64();
        let collectors = fleet.collectors();
        for (view, demand) in fleet.peers.iter().zip(&mut self.peers) {
            let PeerView::Silent { unheard_s } = view else {
                continue;
            };
            let reserved = demand.reserved.unwrap_or(1.0 / collectors);
            let time = passed + demand.assumed.map_or(*unheard_s, |_| 0.0);
            let admitted = reserved * spendable * time;
            *demand.assumed.get_or_insert(0.0) += admitted;
            self.level -= admitted;
        }
        let missing = fleet.missing * rate * passed;
        self.level = (self.level - missing).max(-MAX_DEBT_S * rate - TOLERATED_REQUESTS);
        let most_missing = fleet.missing * rate * MAX_DEBT_S;
        let forgotten = (-passed / MAX_DEBT_S).exp();
        self.assumed_missing = match fleet.missing > 0.0 {
            true => (self.assumed_missing + missing).min(most_missing),
            false => self.assumed_missing * forgotten,
        };
        self.update_reserved(fleet, now);
        self.share = self.compute_share(fleet, now);
        self.share
    }

    /// Decides what to reserve for each collector. A decision applies once all of them have been
    /// heard after it: what one side of a partition sees of a surge after the cut must not change it.
    fn update_reserved(&mut self, fleet: &FleetView, now: Instant) {
        let Some(heard_since) = fleet.heard_since else {
            return;
        };
        match self.candidates_at {
            Some(at) if at >= heard_since => return,
            Some(_) => {
                for demand in &mut self.peers {
                    demand.reserved = Some(demand.candidate);
                }
            }
            None => {}
        }
        self.candidates_at = Some(now);
        let base = RESERVE_BASE * self.allotment.rate_per_s();
        let part = |view: &PeerView, demand: &Demand| match view {
            PeerView::Removed => 0.0,
            _ => demand.smoothed.per_s(now) + base,
        };
        let with_views = fleet.peers.iter().zip(&self.peers);
        let others: f64 = with_views.map(|(view, demand)| part(view, demand)).sum();
        let sum = others + self.own.smoothed.per_s(now) + base;
        for (view, demand) in fleet.peers.iter().zip(&mut self.peers) {
            demand.candidate = part(view, demand) / sum;
        }
    }

    fn compute_share(&mut self, fleet: &FleetView, now: Instant) -> AdmissionShare {
        let collectors = fleet.collectors();
        let mut demand_per_s = self.own.current.per_s(now);
        let mut reserved = 0.0;
        for (view, demand) in fleet.peers.iter().zip(&self.peers) {
            match view {
                PeerView::Heard => demand_per_s += demand.current.per_s(now),
                PeerView::Late(heard_at) => demand_per_s += demand.current.per_s(*heard_at),
                PeerView::Silent { .. } => reserved += demand.reserved.unwrap_or(1.0 / collectors),
                PeerView::Removed => {}
            }
        }
        self.demand_per_s = demand_per_s;
        let level = self.level + TOLERATED_REQUESTS;
        let allowed = self.allotment.rate_per_s() + level / NEXT_SECOND.as_secs_f64();
        let heard = (1.0 - reserved).max(0.0) * (1.0 - fleet.missing);
        let allowed = (allowed * heard).max(0.0);
        if demand_per_s <= allowed {
            return NO_LIMIT;
        }
        let share = allowed / demand_per_s;
        let delay = retry_after((-self.level).max(0.0), &self.allotment, share);
        AdmissionShare {
            share_ppm: ((share * 1e6) as u32).min(NO_LIMIT.share_ppm - 1),
            retry_after_ms: u32::try_from(delay.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Everything is admitted.
const NO_LIMIT: AdmissionShare = AdmissionShare {
    share_ppm: 1_000_000,
    retry_after_ms: 0,
};
