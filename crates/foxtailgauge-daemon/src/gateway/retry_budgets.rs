//! Retry budgets of one gateway, by service.

use crate::gateway::route_view::RouteView;
use crate::metrics::{RetryLabels, ServiceLabels};
use crate::shared::{lock, Shared};
use foxtailgauge_core::{CallerTry, RetryBudget, RetryLimits, ServiceName, STALE_SOURCE_MS};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Retries that one daemon may accumulate for a service if the settings have no bound. Low because
/// every daemon keeps a budget of its own for the service, and the budgets of all daemons add up.
const DEFAULT_CAPACITY: f64 = 1.5;

/// Time from the first request until the directory is taken for complete. After a restart of the
/// whole fleet, daemons report to their sources within a second or two.
const DIRECTORY_TIME: Duration = Duration::from_secs(3);

/// Origin of a request, which decides what it deposits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller.
    Caller,
    /// A request that runs on this instance.
    ParentRequest {
        /// Whether a backend server may have received that request before.
        is_repeat: bool,
    },
}

#[derive(Debug, Default)]
struct State {
    by_service: HashMap<ServiceName, RetryBudget>,
    /// Number of gateways that share the limits; `None` while it is not known.
    gateways: Option<usize>,
    first_request_at: Option<Instant>,
}

/// Retry budgets of one gateway.
pub(crate) struct RetryBudgets {
    shared: Arc<Shared>,
    limits: Option<RetryLimits>,
    state: Mutex<State>,
}

impl RetryBudgets {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        RetryBudgets {
            shared: Arc::clone(shared),
            limits: shared.settings.limits.retries,
            state: Mutex::default(),
        }
    }

    /// Counts a request for a service.
    pub(crate) fn deposit(&self, view: &RouteView, service: &ServiceName, origin: RequestOrigin) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let first_request_at = *state.first_request_at.get_or_insert(now);
        if now.saturating_duration_since(first_request_at) >= DIRECTORY_TIME {
            state.gateways = Some(self.gateways(state.gateways, view.live_daemons));
        }
        let State {
            by_service,
            gateways,
            ..
        } = &mut *state;
        if !by_service.contains_key(service) {
            by_service.insert(service.clone(), self.new_budget(*gateways));
        }
        let Some(budget) = by_service.get_mut(service) else {
            return;
        };
        if let (Some(limits), Some(gateways)) = (&self.limits, *gateways) {
            budget.set_gateways(limits, gateways);
        }
        budget.deposit(self.deposit_percent(view, service, origin));
        // The deployment counts what a repeated run calls against the budget of the called service.
        let is_charged = matches!(origin, RequestOrigin::ParentRequest { is_repeat: true });
        if is_charged && self.limits.is_some() {
            budget.charge();
        }
        self.export_balance(service, budget);
    }

    fn new_budget(&self, gateways: Option<usize>) -> RetryBudget {
        match &self.limits {
            Some(limits) => RetryBudget::within(limits, gateways),
            None => RetryBudget::with_capacity(DEFAULT_CAPACITY),
        }
    }

    /// Number of gateways that share the limits. All live daemons count, as the directory does not
    /// state which of them are gateways. A daemon that is cut off sees others as lost although they
    /// still retry, so it does not lower the number.
    fn gateways(&self, last_known: Option<usize>, live_daemons: usize) -> usize {
        let has_contact = || {
            let age_ms = self.shared.quorum_age_ms();
            age_ms.is_some_and(|age_ms| age_ms <= STALE_SOURCE_MS)
        };
        match last_known {
            Some(last_known) if live_daemons < last_known && !has_contact() => last_known,
            _ => live_daemons,
        }
    }

    /// Percentage of a retry that a request adds. The bound of the settings counts the requests of
    /// callers only; other requests add what the service's configuration states.
    fn deposit_percent(
        &self,
        view: &RouteView,
        service: &ServiceName,
        origin: RequestOrigin,
    ) -> f64 {
        match (&self.limits, origin) {
            (Some(limits), RequestOrigin::Caller) => limits.percent,
            _ => {
                let services = view.snapshot.as_ref().map(|snapshot| &snapshot.services);
                let service = services.and_then(|services| services.get(service));
                service.map_or(0.0, |service| service.retry_percent as f64)
            }
        }
    }

    /// Withdraws a retry, or counts its denial and returns `false`.
    pub(crate) fn try_withdraw(&self, service: &ServiceName, caller_try: CallerTry) -> bool {
        let mut state = lock(&self.state);
        let Some(budget) = state.by_service.get_mut(service) else {
            return false;
        };
        let is_withdrawn = match self.limits {
            Some(_) => budget.try_withdraw_for(caller_try, Instant::now()),
            None => budget.try_withdraw(),
        };
        self.export_balance(service, budget);
        drop(state);
        let metrics = &self.shared.metrics;
        if is_withdrawn {
            metrics.retries.inc();
        } else {
            let labels = RetryLabels {
                service: service.clone(),
                caller_try: match caller_try {
                    CallerTry::First => "first",
                    CallerTry::Later => "later",
                },
            };
            metrics.retries_denied.get_or_create(&labels).inc();
        }
        is_withdrawn
    }

    fn export_balance(&self, service: &ServiceName, budget: &RetryBudget) {
        let labels = ServiceLabels {
            service: service.clone(),
        };
        let gauge = &self.shared.metrics.retries_left;
        gauge.get_or_create(&labels).set(budget.balance());
    }
}
