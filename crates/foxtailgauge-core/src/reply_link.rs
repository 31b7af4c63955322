//! Admits requests by the bytes that their replies will need on the link of the instance.
//!
//! Designed for a service with large replies on few instances with narrow links: the link is
//! saturated before the slots are, so replies that are already computed wait behind one another,
//! whatever their rank, and the requests that called them hold their slots meanwhile. Refusing the
//! least urgent requests before they run keeps the link short of saturation.

use crate::decaying_sum::DecayingSum;
use crate::ids::RouteName;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Share of the nominal rate that payloads can use; the rest is framing and acknowledgements.
const USABLE_SHARE: f64 = 0.95;
/// Lower bound of the share that is left for a group of requests, so that its forecast is finite.
const MIN_SHARE: f64 = 0.02;
/// Share of a group's requests that is admitted in any case, as a multiple of the share of all
/// requests, so that no rank starves behind more urgent ones.
const MIN_RELATIVE_ADMISSION: f64 = 0.28;
/// Window over which the traffic of the other groups is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Longest forecast wait for the link, as a share of the latency target. Replies leave in the order
/// in which they are computed, so any wait also delays the most urgent ones.
const MAX_LINK_WAIT_SHARE: f64 = 0.35;
/// Lower bound of the longest forecast wait: a few replies may be ready at the same time.
const MIN_LINK_WAIT: Duration = Duration::from_millis(100);
/// Shortest time after which a refused request may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Bytes of a reply's head between two daemons.
const HEAD_BYTES: f64 = 150.0;
/// Weight of the newest reply in the mean bytes of a route.
const BYTES_WEIGHT: f64 = 0.1;
/// Group of nested requests, which are always admitted: a refusal would waste a run elsewhere.
const NESTED_GROUP: u64 = 0;

/// A request whose reply is to be sent over the link.
#[derive(Clone, Copy, Debug)]
pub struct LinkRequest<'a> {
    /// Route of the request; mean bytes are kept per route.
    pub route: &'a str,
    /// Rank; 0 is the highest.
    pub rank: u64,
    /// Whether its caller is a request that already holds a slot elsewhere.
    pub is_nested: bool,
    /// Latency target: time left until the response is late.
    pub target: Duration,
    /// Expected time until the reply is ready: wait and run.
    pub time_to_reply: Duration,
}

/// Bytes reserved for the reply to an admitted request. Ends with [`ReplyLink::sent`] or
/// [`ReplyLink::cancel`].
#[derive(Debug, PartialEq)]
pub struct LinkReservation {
    group: u64,
    bytes: f64,
}

/// Outbound link of one instance.
///
/// Invariant: `reserved` is the sum of all reservations that have not ended, by group.
#[derive(Debug)]
pub struct ReplyLink {
    /// Usable rate in bytes per second.
    bytes_per_s: f64,
    /// Bytes of replies handed to the link and not yet transmitted, and when that was calculated.
    backlog_bytes: f64,
    backlog_at: Option<Instant>,
    reserved: BTreeMap<u64, f64>,
    /// Recently admitted bytes by group.
    admitted: BTreeMap<u64, DecayingSum>,
    /// Recent requests by group, and those of them that were admitted.
    counts: BTreeMap<u64, (DecayingSum, DecayingSum)>,
    /// Recent bytes that are not replies, such as responses to callers on this instance.
    other_traffic: DecayingSum,
    /// Total of all bytes sent, as last observed.
    total_sent: u64,
    /// Replies sent since then, in bytes.
    replies_since_total: f64,
    route_bytes: HashMap<RouteName, f64>,
}

impl ReplyLink {
    /// An idle link with a nominal rate in bytes per second.
    pub fn new(nominal_bytes_per_s: f64) -> Self {
        ReplyLink {
            bytes_per_s: nominal_bytes_per_s * USABLE_SHARE,
            backlog_bytes: 0.0,
            backlog_at: None,
            reserved: BTreeMap::new(),
            admitted: BTreeMap::new(),
            counts: BTreeMap::new(),
            other_traffic: DecayingSum::new(RATE_WINDOW),
            total_sent: 0,
            replies_since_total: 0.0,
            route_bytes: HashMap::new(),
        }
    }

    /// Records the total of all bytes that this instance has sent. What exceeds the replies is
    /// other traffic, which is sent in any case.
    pub fn observe_total(&mut self, total_sent: u64, now: Instant) {
        let sent = total_sent.saturating_sub(self.total_sent) as f64;
        self.other_traffic
            .add((sent - self.replies_since_total).max(0.0), now);
        self.total_sent = total_sent;
        self.replies_since_total = 0.0;
    }

    /// Admits a request if its reply is not expected to wait for the link; returns the time until
    /// it can be admitted otherwise.
    pub fn admit(
        &mut self,
        request: &LinkRequest<'_>,
        now: Instant,
    ) -> Result<LinkReservation, Duration> {
        let group = group_of(request);
        let wait = self.expected_wait(request, now);
        let max_wait = request.target.mul_f64(MAX_LINK_WAIT_SHARE);
        let excess = wait.saturating_sub(max_wait.max(MIN_LINK_WAIT));
        let is_starved = self.is_starved(group, now);
        let is_admitted = group == NESTED_GROUP || excess.is_zero() || is_starved;
        let new_sum = || DecayingSum::new(RATE_WINDOW);
        let counts = self.counts.entry(group);
        let (all, admitted) = counts.or_insert_with(|| (new_sum(), new_sum()));
        all.add(1.0, now);
        if !is_admitted {
            return Err(excess.max(MIN_RETRY_AFTER));
        }
        admitted.add(1.0, now);
        let bytes = self.expected_bytes(request.route);
        *self.reserved.entry(group).or_default() += bytes;
        self.admitted
            .entry(group)
            .or_insert_with(|| DecayingSum::new(RATE_WINDOW))
            .add(bytes, now);
        Ok(LinkReservation { group, bytes })
    }

    /// Forecast time that the reply to a request would wait for the link.
    pub fn expected_wait(&self, request: &LinkRequest<'_>, now: Instant) -> Duration {
        let group = group_of(request);
        let bytes = self.expected_bytes(request.route);
        let transmitted_s = self.pending_bytes(group, bytes, now) / self.rate_for(group, now);
        let wait_s = transmitted_s - request.time_to_reply.as_secs_f64();
        Duration::from_secs_f64(wait_s.max(0.0))
    }

    /// Whether a group is admitted much less often than all requests.
    fn is_starved(&self, group: u64, now: Instant) -> bool {
        let share_of = |(all, admitted): (f64, f64)| admitted / all.max(1.0);
        let values =
            |(all, admitted): &(DecayingSum, DecayingSum)| (all.value(now), admitted.value(now));
        let Some(own) = self.counts.get(&group).map(values) else {
            return false;
        };
        let sum = |(all, admitted), (other_all, other_admitted)| {
            (all + other_all, admitted + other_admitted)
        };
        let total = self.counts.values().map(values).fold((0.0, 0.0), sum);
        share_of(own) < MIN_RELATIVE_ADMISSION * share_of(total)
    }

    fn expected_bytes(&self, route: &str) -> f64 {
        let body_bytes = self.route_bytes.get(route).copied();
        HEAD_BYTES + body_bytes.unwrap_or(0.0)
    }

    /// Ends a reservation: its reply, with a body of this size, is handed to the link.
    pub fn sent(
        &mut self,
        reservation: LinkReservation,
        route: &str,
        body_bytes: u64,
        now: Instant,
    ) {
        self.cancel(reservation);
        let body_bytes = body_bytes as f64;
        self.backlog_bytes = self.backlog(now) + HEAD_BYTES + body_bytes;
        self.backlog_at = Some(now);
        self.replies_since_total += HEAD_BYTES + body_bytes;
        match self.route_bytes.get_mut(route) {
            Some(mean) => *mean += BYTES_WEIGHT * (body_bytes - *mean),
            None => {
                self.route_bytes.insert(route.to_owned(), body_bytes);
            }
        }
    }

    /// Ends a reservation without a reply.
    pub fn cancel(&mut self, reservation: LinkReservation) {
        if let Some(reserved) = self.reserved.get_mut(&reservation.group) {
            *reserved = (*reserved - reservation.bytes).max(0.0);
        }
    }

    /// Bytes ahead of a new reply, and its own. Groups ahead are accounted for in
    /// [`ReplyLink::rate_for`].
    fn pending_bytes(&self, group: u64, bytes: f64, now: Instant) -> f64 {
        let reserved: f64 = self.reserved.range(group..).map(|(_, bytes)| bytes).sum();
        self.backlog(now) + reserved + bytes
    }

    /// Rate that the traffic ahead of a group leaves to it, in bytes per second.
    fn rate_for(&self, group: u64, now: Instant) -> f64 {
        let groups_ahead = self.admitted.range(..group);
        let ahead: f64 = groups_ahead.map(|(_, admitted)| admitted.per_s(now)).sum();
        let left = self.bytes_per_s - self.other_traffic.per_s(now) - ahead;
        left.max(self.bytes_per_s * MIN_SHARE)
    }

    fn backlog(&self, now: Instant) -> f64 {
        let Some(at) = self.backlog_at else {
            return 0.0;
        };
        let elapsed_s = now.saturating_duration_since(at).as_secs_f64();
        let rate =
            (self.bytes_per_s - self.other_traffic.per_s(now)).max(self.bytes_per_s * MIN_SHARE);
        (self.backlog_bytes - elapsed_s * rate).max(0.0)
    }
}

fn group_of(request: &LinkRequest<'_>) -> u64 {
    match request.is_nested {
        true => NESTED_GROUP,
        false => request.rank + 1,
    }
}
