//! Admits requests by the bytes that their replies will need on the link of the instance.
//!
//! Designed for a service with large replies on few instances with narrow links: the link is
//! saturated before the slots are, so replies that are already computed wait behind one another,
//! whatever their rank, and the requests that called them hold their slots meanwhile. Refusing the
//! least urgent requests before they run keeps the link short of saturation.
//!
//! Also designed for downloads of 90 to 540 KB, twice as many as the link carries, beside lookups of
//! 0.4 KB: a response counts with its whole length, and what is not yet sent of a streamed one stays
//! reserved. Bulk responses are sent in pieces, so others wait behind a few pieces of them at most.

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
/// Bytes of bulk responses that may be ahead of another response: what the send buffers of the
/// connections for bulk responses pass to the link before it gets its share.
const MAX_BULK_AHEAD_BYTES: f64 = 65_536.0;
/// Bytes of a streamed reply that are handed over before the receiver has read them, on connections
/// for bulk replies and on others: the flow-control window of a stream and one piece. Older bytes
/// have arrived, so their reservation ends then, also if the link is slower than its nominal rate.
const BULK_UNCONFIRMED_BYTES: f64 = 49_152.0;
const UNCONFIRMED_BYTES: f64 = 147_456.0;
/// First group of requests on bulk routes. They come behind all others on the link, whatever their
/// rank; ranks order them among themselves.
const FIRST_BULK_GROUP: u64 = 1 << 32;
/// Pieces of bulk replies that may wait in the link, so that it does not run idle between two of them.
const PIECES_AHEAD: u32 = 4;
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
    /// Whether its route is for bulk responses, which are sent in pieces between the others.
    pub is_bulk: bool,
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
    /// Expected bytes that are not known to have arrived.
    bytes: f64,
    /// Bytes handed to the link.
    handed_bytes: f64,
    /// Whether the length of the reply is already part of the mean of its route.
    is_length_known: bool,
}

impl LinkReservation {
    fn confirmed_bytes(&self) -> f64 {
        let unconfirmed = match self.group < FIRST_BULK_GROUP {
            true => UNCONFIRMED_BYTES,
            false => BULK_UNCONFIRMED_BYTES,
        };
        (self.handed_bytes - unconfirmed).max(0.0)
    }
}

/// Bytes handed to the link and not yet transmitted. The link transmits bulk bytes last.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    bytes: f64,
    bulk_bytes: f64,
}

impl Backlog {
    fn total(&self) -> f64 {
        self.bytes + self.bulk_bytes
    }

    fn without(&self, transmitted: f64) -> Self {
        let left_for_bulk = (transmitted - self.bytes).max(0.0);
        Backlog {
            bytes: (self.bytes - transmitted).max(0.0),
            bulk_bytes: (self.bulk_bytes - left_for_bulk).max(0.0),
        }
    }
}

/// Outbound link of one instance.
///
/// Invariant: `reserved` is the sum of all reservations that have not ended, by group.
#[derive(Debug)]
pub struct ReplyLink {
    /// Usable rate in bytes per second.
    bytes_per_s: f64,
    /// Replies handed to the link, and when that was calculated.
    backlog: Backlog,
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
    /// Bytes of replies handed to the link and not yet part of that total.
    replies_not_in_total: f64,
    route_bytes: HashMap<RouteName, f64>,
    /// When the link will have transmitted all pieces of bulk replies handed to it so far.
    paced_until: Option<Instant>,
}

impl ReplyLink {
    /// An idle link with a nominal rate in bytes per second.
    pub fn new(nominal_bytes_per_s: f64) -> Self {
        ReplyLink {
            bytes_per_s: nominal_bytes_per_s * USABLE_SHARE,
            backlog: Backlog::default(),
            backlog_at: None,
            reserved: BTreeMap::new(),
            admitted: BTreeMap::new(),
            counts: BTreeMap::new(),
            other_traffic: DecayingSum::new(RATE_WINDOW),
            total_sent: 0,
            replies_not_in_total: 0.0,
            route_bytes: HashMap::new(),
            paced_until: None,
        }
    }

    /// Records the total of all bytes that this instance has sent. What exceeds the replies is
    /// other traffic, which is sent in any case.
    pub fn observe_total(&mut self, total_sent: u64, now: Instant) {
        let sent = total_sent.saturating_sub(self.total_sent) as f64;
        self.other_traffic
            .add((sent - self.replies_not_in_total).max(0.0), now);
        self.total_sent = total_sent;
        // A large reply is handed over at once and sent over several observations. What is not sent
        // at all, such as the rest of a reset stream, is forgotten with the backlog.
        let not_sent = (self.replies_not_in_total - sent).max(0.0);
        let reserved: f64 = self.reserved.values().sum();
        self.replies_not_in_total = not_sent.min(self.backlog(now).total() + reserved);
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
        // A bulk reply that would be late takes the link from those that would not.
        let is_in_time = group < FIRST_BULK_GROUP || wait < request.target;
        let is_starved = is_in_time && self.is_starved(group, now);
        let is_admitted =
            group == NESTED_GROUP || excess.is_zero() || is_starved || self.is_idle(now);
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
        Ok(LinkReservation {
            group,
            bytes,
            handed_bytes: 0.0,
            is_length_known: false,
        })
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

    /// Whether no reply is being sent or expected. A reply that alone takes longer than the longest
    /// wait would otherwise never be admitted.
    fn is_idle(&self, now: Instant) -> bool {
        let reserved: f64 = self.reserved.values().sum();
        self.backlog(now).total() + reserved < 1.0
    }

    fn expected_bytes(&self, route: &str) -> f64 {
        let body_bytes = self.route_bytes.get(route).copied();
        HEAD_BYTES + body_bytes.unwrap_or(0.0)
    }

    /// Replaces the expected length of a reply by the length of the body that its head states.
    pub fn set_length(&mut self, reservation: &mut LinkReservation, route: &str, body_bytes: u64) {
        let total = HEAD_BYTES + body_bytes as f64;
        self.set_reserved(reservation, total - reservation.confirmed_bytes());
        self.record_length(reservation, route, body_bytes);
    }

    /// Hands a part of a streamed reply to the link. What may not have arrived stays reserved.
    pub fn hand_over(&mut self, reservation: &mut LinkReservation, bytes: u64) {
        let bytes = bytes as f64;
        let confirmed = reservation.confirmed_bytes();
        reservation.handed_bytes += bytes;
        let newly_confirmed = reservation.confirmed_bytes() - confirmed;
        self.set_reserved(reservation, reservation.bytes - newly_confirmed);
        self.replies_not_in_total += bytes;
    }

    /// Time to wait before a piece of a streamed reply is handed to the link, which is counted as
    /// handed over then. Bulk replies are paced at the rate of the link: pieces of many of them that
    /// wait in it would delay new connections and small replies, which a link sends in their order.
    /// Admission leaves room for the other traffic.
    pub fn wait_before_piece(
        &mut self,
        reservation: &LinkReservation,
        bytes: u64,
        now: Instant,
    ) -> Duration {
        if reservation.group < FIRST_BULK_GROUP {
            return Duration::ZERO;
        }
        let start = self.paced_until.map_or(now, |until| until.max(now));
        let transmission = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.paced_until = Some(start + transmission);
        let ahead = transmission * PIECES_AHEAD;
        start.saturating_duration_since(now).saturating_sub(ahead)
    }

    /// Ends a reservation: its reply, with a body of this size, is handed to the link completely.
    pub fn sent(
        &mut self,
        mut reservation: LinkReservation,
        route: &str,
        body_bytes: u64,
        now: Instant,
    ) {
        let total = HEAD_BYTES + body_bytes as f64;
        self.replies_not_in_total += (total - reservation.handed_bytes).max(0.0);
        let unconfirmed = total - reservation.confirmed_bytes();
        self.add_to_backlog(reservation.group, unconfirmed, now);
        self.record_length(&mut reservation, route, body_bytes);
        self.cancel(reservation);
    }

    fn add_to_backlog(&mut self, group: u64, bytes: f64, now: Instant) {
        let mut backlog = self.backlog(now);
        match group < FIRST_BULK_GROUP {
            true => backlog.bytes += bytes,
            false => backlog.bulk_bytes += bytes,
        }
        self.backlog = backlog;
        self.backlog_at = Some(now);
    }

    fn record_length(&mut self, reservation: &mut LinkReservation, route: &str, body_bytes: u64) {
        if std::mem::replace(&mut reservation.is_length_known, true) {
            return;
        }
        let body_bytes = body_bytes as f64;
        match self.route_bytes.get_mut(route) {
            Some(mean) => *mean += BYTES_WEIGHT * (body_bytes - *mean),
            None => {
                self.route_bytes.insert(route.to_owned(), body_bytes);
            }
        }
    }

    fn set_reserved(&mut self, reservation: &mut LinkReservation, bytes: f64) {
        let bytes = bytes.max(0.0);
        let reserved = self.reserved.entry(reservation.group).or_default();
        *reserved = (*reserved + bytes - reservation.bytes).max(0.0);
        reservation.bytes = bytes;
    }

    /// Ends a reservation without a reply, or without the rest of one.
    pub fn cancel(&mut self, mut reservation: LinkReservation) {
        self.set_reserved(&mut reservation, 0.0);
    }

    /// Bytes ahead of a new reply, and its own. Groups ahead are accounted for in
    /// [`ReplyLink::rate_for`].
    fn pending_bytes(&self, group: u64, bytes: f64, now: Instant) -> f64 {
        let sum_of = |groups: std::ops::Range<u64>| -> f64 {
            self.reserved.range(groups).map(|(_, bytes)| bytes).sum()
        };
        let backlog = self.backlog(now);
        let bulk_reserved = sum_of(group.max(FIRST_BULK_GROUP)..u64::MAX);
        let bulk = backlog.bulk_bytes + bulk_reserved;
        let ahead = match group < FIRST_BULK_GROUP {
            true => sum_of(group..FIRST_BULK_GROUP) + bulk.min(MAX_BULK_AHEAD_BYTES),
            false => bulk,
        };
        backlog.bytes + ahead + bytes
    }

    /// Rate that the traffic ahead of a group leaves to it, in bytes per second.
    fn rate_for(&self, group: u64, now: Instant) -> f64 {
        let groups_ahead = self.admitted.range(..group);
        let ahead: f64 = groups_ahead.map(|(_, admitted)| admitted.per_s(now)).sum();
        let left = self.bytes_per_s - self.other_traffic.per_s(now) - ahead;
        left.max(self.bytes_per_s * MIN_SHARE)
    }

    fn backlog(&self, now: Instant) -> Backlog {
        let Some(at) = self.backlog_at else {
            return Backlog::default();
        };
        let elapsed_s = now.saturating_duration_since(at).as_secs_f64();
        let rate =
            (self.bytes_per_s - self.other_traffic.per_s(now)).max(self.bytes_per_s * MIN_SHARE);
        self.backlog.without(elapsed_s * rate)
    }
}

fn group_of(request: &LinkRequest<'_>) -> u64 {
    let rank = request.rank.min(FIRST_BULK_GROUP - 2);
    match (request.is_nested, request.is_bulk) {
        (true, _) => NESTED_GROUP,
        (false, false) => rank + 1,
        (false, true) => FIRST_BULK_GROUP + rank,
    }
}
