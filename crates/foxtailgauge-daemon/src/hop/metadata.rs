//! Metadata that two daemons exchange along with a forwarded HTTP message.
//!
//! Requests and responses carry it in the same header. The value in a request is
//! `SERVER;ROUTE;RANK;NESTED;REPEAT;TARGET_MS;STATEMENT;WORKSPACE;ARRIVED`, in a response
//! `END;RUNNING;WAITING;SLOTS;MEAN_RUN_US;ROUTE_RUN_US;RETRY_AFTER_MS;ELAPSED_US;PRESSURE;LINK_US;RATE_US;STATEMENT`,
//! where `PRESSURE` is empty or `RANK:PERMILLE`, and fields from `STATEMENT` on, in a response from
//! `LINK_US` on, may be missing. `WORKSPACE` is missing or empty for a request without one.
//! `STATEMENT` is `STARTED_MS:LEAVING:RATE_MILLI`, the last part empty without a stated rate.
//! `NESTED`, `REPEAT`, `LEAVING` and `ARRIVED` are 0 or 1; `REPEAT` is 1 for an idempotent route,
//! `ARRIVED` is 1 if a backend server may have received the request before, and missing otherwise.

use foxtailgauge_core::{
    Pressure, ProcessStatement, QueueRefusal, RequestRate, RouteName, ServerStatement, WorkLoad,
    WorkspaceName,
};
use std::time::Duration;

/// Header of requests and responses between daemons; never sent to callers or backend servers.
pub(crate) const HOP_HEADER: &str = "fxg-hop";

/// Metadata of a request, from the gateway to the executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopRequest {
    /// Backend server on which the request is to run.
    pub server: String,
    /// Route of the request.
    pub route: RouteName,
    /// Priority rank; 0 is the highest.
    pub rank: u64,
    /// Whether a request running elsewhere waits for this one.
    pub is_nested: bool,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Latency target: time left until the response is late.
    pub target: Duration,
    /// What the backend server stated in the last response that the gateway delivered.
    pub statement: Option<ProcessStatement>,
    /// Workspace of the caller, if it has one.
    pub workspace: Option<WorkspaceName>,
    /// Whether a backend server may have received the request before.
    pub is_repeat: bool,
}

/// How an attempt ended at the executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HopEnd {
    /// The backend server answered; the message is its response.
    Answered,
    /// The backend server reported that it did not run the request.
    Declined,
    /// Not run: it would not complete in time.
    Refused {
        /// Expected time until there is capacity.
        retry_after: Duration,
    },
    /// Not run: the backend server is leaving or not on this instance.
    Closed,
    /// Not run: connecting to the backend server failed.
    NotReached,
    /// The connection broke, the deadline passed, or the backend server answered another request:
    /// the request may have run.
    Broken,
}

/// Metadata of a response, from the executor to the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HopReply {
    /// How the attempt ended.
    pub(crate) end: HopEnd,
    /// Load of the backend server.
    pub(crate) load: WorkLoad,
    /// Time from the arrival of the complete request to this reply.
    pub(crate) elapsed: Duration,
    /// What the backend server states, if anything.
    pub(crate) statement: Option<ProcessStatement>,
}

impl From<QueueRefusal> for HopEnd {
    fn from(refused: QueueRefusal) -> Self {
        match refused {
            QueueRefusal::Closed => HopEnd::Closed,
            QueueRefusal::TooLate { retry_after } => HopEnd::Refused { retry_after },
        }
    }
}

/// Encodes a statement as a field; it is empty without one.
fn encode_statement(statement: Option<ProcessStatement>) -> String {
    let Some(ProcessStatement {
        started_ms,
        statement,
    }) = statement
    else {
        return String::new();
    };
    let leaving_flag = u8::from(statement.is_leaving);
    let rate_milli = statement.rate_limit.map(|rate| rate.milli().to_string());
    let rate_milli = rate_milli.unwrap_or_default();
    format!("{started_ms}:{leaving_flag}:{rate_milli}")
}

/// Parses the field of a statement; `None` if it is absent, empty or malformed.
fn parse_statement(field: Option<&str>) -> Option<ProcessStatement> {
    let mut parts = field?.split(':');
    let started_ms = parts.next()?.parse().ok()?;
    let is_leaving = parts.next()? == "1";
    let rate_limit = match parts.next()? {
        "" => None,
        rate_milli => Some(RequestRate::from_milli(rate_milli.parse().ok()?)),
    };
    Some(ProcessStatement {
        started_ms,
        statement: ServerStatement {
            rate_limit,
            is_leaving,
        },
    })
}

impl HopRequest {
    /// Encodes the header's value.
    pub fn encode(&self) -> String {
        let HopRequest {
            server,
            route,
            rank,
            is_nested,
            is_idempotent,
            target,
            statement,
            workspace,
            is_repeat,
        } = self;
        let nested_flag = u8::from(*is_nested);
        let repeat_flag = u8::from(*is_idempotent);
        let target_ms = target.as_millis();
        let statement_field = encode_statement(*statement);
        let workspace = workspace.as_deref().unwrap_or_default();
        let arrived_flag = if *is_repeat { "1" } else { "" };
        let text = format!(
            "{server};{route};{rank};{nested_flag};{repeat_flag};{target_ms};{statement_field};{workspace};{arrived_flag}"
        );
        // Fields at the end may be missing.
        text.trim_end_matches(';').to_owned()
    }

    /// Parses the header's value; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(';');
        Some(HopRequest {
            server: fields.next()?.to_owned(),
            route: fields.next()?.to_owned(),
            rank: fields.next()?.parse().ok()?,
            is_nested: fields.next()? == "1",
            is_idempotent: fields.next()? == "1",
            target: Duration::from_millis(fields.next()?.parse().ok()?),
            statement: parse_statement(fields.next()),
            workspace: fields
                .next()
                .filter(|name| !name.is_empty())
                .map(str::to_owned),
            is_repeat: fields.next() == Some("1"),
        })
    }
}

impl HopReply {
    /// Encodes the header's value.
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
            link_wait,
            rate_wait,
        } = self.load;
        let (mean_us, route_us) = (mean_run.as_micros(), route_run.as_micros());
        let pressure_field = pressure
            .map(|p| format!("{}:{}", p.rank, p.refused_permille))
            .unwrap_or_default();
        let elapsed_us = self.elapsed.as_micros();
        let link_us = link_wait.as_micros();
        let statement_field = encode_statement(self.statement);
        let rate_us = rate_wait.as_micros();
        let optional_fields = match (rate_us, statement_field.as_str()) {
            (0, "") => String::new(),
            (rate_us, "") => format!(";{rate_us}"),
            (rate_us, statement_field) => format!(";{rate_us};{statement_field}"),
        };
        format!(
            "{end};{running};{waiting};{slots};{mean_us};{route_us};{retry_after_ms};{elapsed_us};{pressure_field};{link_us}{optional_fields}"
        )
    }

    /// Parses the header's value; `None` if it is malformed.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(';');
        let end = fields.next()?;
        let mut load = WorkLoad {
            running: fields.next()?.parse().ok()?,
            waiting: fields.next()?.parse().ok()?,
            slots: fields.next()?.parse().ok()?,
            mean_run: Duration::from_micros(fields.next()?.parse().ok()?),
            route_run: Duration::from_micros(fields.next()?.parse().ok()?),
            pressure: None,
            link_wait: Duration::ZERO,
            rate_wait: Duration::ZERO,
        };
        let retry_after = Duration::from_millis(fields.next()?.parse().ok()?);
        let elapsed = Duration::from_micros(fields.next()?.parse().ok()?);
        if let Some((rank, permille)) = fields.next()?.split_once(':') {
            load.pressure = Some(Pressure {
                rank: rank.parse().ok()?,
                refused_permille: permille.parse().ok()?,
            });
        }
        if let Some(link_us) = fields.next() {
            load.link_wait = Duration::from_micros(link_us.parse().ok()?);
        }
        if let Some(rate_us) = fields.next() {
            load.rate_wait = Duration::from_micros(rate_us.parse().ok()?);
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
        Some(HopReply {
            end,
            load,
            elapsed,
            statement: parse_statement(fields.next()),
        })
    }
}
