//! Gate in front of the instance's link: admits requests of other daemons by their expected replies.

use crate::executor::forward_server::ForwardServer;
use crate::hop::forward_body::{BodyObserver, ForwardBody, OBSERVED_PIECE_BYTES};
use crate::hop::metadata::HopRequest;
use crate::shared::{lock, Shared};
use foxtailgauge_core::{LinkRequest, LinkReservation, ReplyLink, RouteName};
use hyper::body::Body;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Gate of a daemon whose link has a known rate.
pub(crate) struct ReplyGate {
    shared: Arc<Shared>,
    link: Arc<Mutex<ReplyLink>>,
}

/// Reservation of link capacity for a reply. Dropping it cancels what is not handed to the link.
pub(crate) struct ReplyReservation {
    link: Arc<Mutex<ReplyLink>>,
    route: RouteName,
    reservation: Option<LinkReservation>,
    /// Body bytes handed to the link.
    handed_bytes: u64,
}

impl ReplyReservation {
    /// Ends the reservation when the whole body is handed to the link: at once if it is a single
    /// piece, with its last piece otherwise.
    pub(crate) fn end_with_body(mut self, body: &mut ForwardBody) {
        let single = body.bytes().map(|bytes| bytes.len());
        if let Some(length) = single.filter(|length| *length <= OBSERVED_PIECE_BYTES) {
            return self.end(length as u64);
        }
        let stated_length = body.size_hint().exact();
        if let (Some(reservation), Some(length)) = (self.reservation.as_mut(), stated_length) {
            lock(&self.link).set_length(reservation, &self.route, length);
        }
        body.set_observer(self);
    }

    fn end(&mut self, body_bytes: u64) {
        if let Some(reservation) = self.reservation.take() {
            lock(&self.link).sent(reservation, &self.route, body_bytes, Instant::now());
        }
    }
}

impl BodyObserver for ReplyReservation {
    fn wait_before_piece(&mut self, bytes: u64) -> Duration {
        let Some(reservation) = &self.reservation else {
            return Duration::ZERO;
        };
        lock(&self.link).wait_before_piece(reservation, bytes, Instant::now())
    }

    fn on_data(&mut self, bytes: u64) {
        self.handed_bytes += bytes;
        if let Some(reservation) = self.reservation.as_mut() {
            lock(&self.link).hand_over(reservation, bytes);
        }
    }

    fn on_end(&mut self) {
        self.end(self.handed_bytes);
    }
}

impl Drop for ReplyReservation {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            lock(&self.link).cancel(reservation);
        }
    }
}

impl ReplyGate {
    /// A gate for the link of this instance; `None` if its rate is not known.
    pub(crate) fn new(shared: &Arc<Shared>) -> Option<Self> {
        let bytes_per_s = shared.settings.limits.link_bytes_per_s?;
        Some(ReplyGate {
            shared: Arc::clone(shared),
            link: Arc::new(Mutex::new(ReplyLink::new(bytes_per_s))),
        })
    }

    /// Reserves link capacity for the reply to a request for `server`. Fails with the time until it
    /// can be admitted, if its reply would wait for the link.
    pub(crate) fn reserve(
        &self,
        hop: &HopRequest,
        server: &ForwardServer,
    ) -> Result<ReplyReservation, Duration> {
        let now = Instant::now();
        let is_bulk = is_bulk(&self.shared, &hop.route);
        let mut link = lock(&self.link);
        link.observe_total(self.shared.metrics.link_bytes_sent(), now);
        let reservation = link.admit(&link_request(hop, server, is_bulk), now)?;
        Ok(ReplyReservation {
            link: Arc::clone(&self.link),
            route: hop.route.clone(),
            reservation: Some(reservation),
            handed_bytes: 0,
        })
    }

    /// Forecast time that the reply to the next request like this one would wait for the link.
    pub(crate) fn expected_wait(&self, hop: &HopRequest, server: &ForwardServer) -> Duration {
        let is_bulk = is_bulk(&self.shared, &hop.route);
        let request = link_request(hop, server, is_bulk);
        lock(&self.link).expected_wait(&request, Instant::now())
    }
}

/// Whether the configuration in force has a bulk route of this name.
pub(crate) fn is_bulk(shared: &Shared, route: &str) -> bool {
    let view = shared.view();
    let routes = view.snapshot.as_ref().map(|snapshot| &snapshot.host_routes);
    let route = routes.and_then(|routes| routes.get(route));
    route.is_some_and(|route| route.is_bulk)
}

fn link_request<'a>(hop: &'a HopRequest, server: &ForwardServer, is_bulk: bool) -> LinkRequest<'a> {
    LinkRequest {
        route: &hop.route,
        rank: hop.rank,
        is_nested: hop.is_nested,
        is_bulk,
        target: hop.target,
        time_to_reply: server.expected_time_to_end(&hop.route),
    }
}
