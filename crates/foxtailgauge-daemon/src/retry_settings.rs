//! Settings of the bound on retries: keys of section `limits`, or the platform's list of bounds.

use crate::settings::Reader;
use foxtailgauge_core::RetryLimits;

const PERCENT_KEY: &str = "retry_budget_percent";
const SLACK_KEY: &str = "retry_budget_slack";
/// Largest slack, in requests.
const MAX_SLACK_REQUESTS: f64 = 1_000_000.0;

/// Reads the bound on retries; `None` if it is not set. Section `limits` takes precedence over
/// `listed`, the one in the platform's list.
pub(crate) fn read(reader: &mut Reader, listed: Option<RetryLimits>) -> Option<RetryLimits> {
    let is_set =
        [PERCENT_KEY, SLACK_KEY].map(|key| reader.non_empty_value("limits", key).is_some());
    let percent = reader.optional_decimal("limits", PERCENT_KEY, 0.0..=100.0, "");
    let slack_range = 0.0..=MAX_SLACK_REQUESTS;
    let slack_requests = reader.optional_decimal("limits", SLACK_KEY, slack_range, "");
    match is_set {
        [false, false] => listed,
        [true, true] => Some(RetryLimits {
            percent: percent?,
            slack_requests: slack_requests?,
        }),
        [true, false] => missing(reader, SLACK_KEY, PERCENT_KEY),
        [false, true] => missing(reader, PERCENT_KEY, SLACK_KEY),
    }
}

fn missing(reader: &mut Reader, key: &str, other_key: &str) -> Option<RetryLimits> {
    let allowed = format!("a number, as {other_key} is set");
    reader.add_problem("limits", key, "nothing", &allowed);
    None
}
