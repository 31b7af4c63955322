//! What two daemons tell each other beside the HTTP message that they pass on.
//!
//! Both sides travel in one header. A request says `SERVER;ROUTE;RANK;NESTED;REPEAT;TARGET_MS`, an answer
//! `END;RUNNING;WAITING;SLOTS;MEAN_RUN_US;ROUTE_RUN_US;RETRY_AFTER_MS;ELAPSED_US;PRESSURE`, where
//! the last is empty or `RANK:PERMILLE`.

use foxtailgauge_core::{Pressure, Refused, RouteName, WorkLoad};
use std::time::Duration;

/// Header of both sides; never passed on to callers or backend servers.
pub(crate) const HOP_HEADER: &str = "fxg-hop";

/// What a gateway tells the executor about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HopRequest {
    /// Backend server that is to run it.
    pub(crate) server: String,
    /// Its route.
    pub(crate) route: RouteName,
    /// Its rank; 0 is the highest.
    pub(crate) rank: u64,
    /// Whether a request that runs elsewhere waits for it.
    pub(crate) is_nested: bool,
    /// Whether it may run more than once.
    pub(crate) is_idempotent: bool,
    /// Time within which an answer is of full use.
    pub(crate) target: Duration,
}

/// How an attempt ended at the executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HopEnd {
    /// The backend server answered: the message is its answer.
    Answered,
    /// The backend server says that it did not run the request.
    Declined,
    /// Not run: it would not end in time.
    Refused {
        /// When there is likely to be room.
        retry_after: Duration,
    },
    /// Not run: the backend server leaves, or is not here.
    Closed,
    /// Not run: no connection to the backend server.
    NotReached,
    /// The backend server broke off or answered another request: it may have run.
    Broken,
}

/// What an executor tells the gateway with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HopReply {
    /// How the attempt ended.
    pub(crate) end: HopEnd,
    /// How full the backend server is.
    pub(crate) load: WorkLoad,
    /// Time from the arrival of the whole request to this reply.
    pub(crate) elapsed: Duration,
}

impl From<Refused> for HopEnd {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::Closed => HopEnd::Closed,
            Refused::TooLate { retry_after } => HopEnd::Refused { retry_after },
        }
    }
}

impl HopRequest {
    /// The header's value.
    pub(crate) fn encode(&self) -> String {
        let HopRequest {
            server,
            route,
            rank,
            is_nested,
            is_idempotent,
            target,
        } = self;
        let nested = u8::from(*is_nested);
        let repeat = u8::from(*is_idempotent);
        let target_ms = target.as_millis();
        format!("{server};{route};{rank};{nested};{repeat};{target_ms}")
    }

    /// Reads the header's value.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        Some(HopRequest {
            server: parts.next()?.to_owned(),
            route: parts.next()?.to_owned(),
            rank: parts.next()?.parse().ok()?,
            is_nested: parts.next()? == "1",
            is_idempotent: parts.next()? == "1",
            target: Duration::from_millis(parts.next()?.parse().ok()?),
        })
    }
}

impl HopReply {
    /// The header's value.
    pub(crate) fn encode(&self) -> String {
        let (end, retry_after_ms) = match self.end {
            HopEnd::Answered => ("a", 0),
            HopEnd::Declined => ("d", 0),
            HopEnd::Refused { retry_after } => ("r", retry_after.as_millis()),
            HopEnd::Closed => ("c", 0),
            HopEnd::NotReached => ("n", 0),
            HopEnd::Broken => ("b", 0),
        };
        let WorkLoad {
            running,
            waiting,
            slots,
            mean_run,
            route_run,
            pressure,
        } = self.load;
        let (mean_us, route_us) = (mean_run.as_micros(), route_run.as_micros());
        let pressure_field = pressure
            .map(|p| format!("{}:{}", p.rank, p.refused_permille))
            .unwrap_or_default();
        let elapsed_us = self.elapsed.as_micros();
        format!(
            "{end};{running};{waiting};{slots};{mean_us};{route_us};{retry_after_ms};{elapsed_us};{pressure_field}"
        )
    }

    /// Reads the header's value.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        let end = parts.next()?;
        let mut load = WorkLoad {
            running: parts.next()?.parse().ok()?,
            waiting: parts.next()?.parse().ok()?,
            slots: parts.next()?.parse().ok()?,
            mean_run: Duration::from_micros(parts.next()?.parse().ok()?),
            route_run: Duration::from_micros(parts.next()?.parse().ok()?),
            pressure: None,
        };
        let retry_after = Duration::from_millis(parts.next()?.parse().ok()?);
        let elapsed = Duration::from_micros(parts.next()?.parse().ok()?);
        if let Some((rank, permille)) = parts.next()?.split_once(':') {
            load.pressure = Some(Pressure {
                rank: rank.parse().ok()?,
                refused_permille: permille.parse().ok()?,
            });
        }
        let end = match end {
            "a" => HopEnd::Answered,
            "d" => HopEnd::Declined,
            "r" => HopEnd::Refused { retry_after },
            "c" => HopEnd::Closed,
            "n" => HopEnd::NotReached,
            "b" => HopEnd::Broken,
            _ => return None,
        };
        Some(HopReply { end, load, elapsed })
    }
}
