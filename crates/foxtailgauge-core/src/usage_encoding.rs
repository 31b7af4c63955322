//! Encoding of messages to collectors, which daemons of other releases read and send.
//!
//! A later release appends to a message: earlier ones ignore what follows the part that they know,
//! and what their messages lack is taken as empty.

use crate::usage::{RunTimes, UsageReport, UsageRequest};
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;

/// A [`UsageRequest`] as encoded, with the variants in the same order. `ColdRuns` is last.
#[derive(Serialize, Deserialize)]
pub(crate) enum EncodedRequest {
    Report(
        UsageReport,
        #[serde(deserialize_with = "list_if_present")] ColdRuns,
    ),
    Exchange {
        report: UsageReport,
        senders: u32,
        #[serde(deserialize_with = "list_if_present")]
        cold_runs: ColdRuns,
    },
}

/// Cold run times of each tally of a report, in the order of its tallies; empty if there are none.
type ColdRuns = Vec<RunTimes>;

/// The number of cold histograms is not the number of tallies.
#[derive(Debug)]
pub(crate) struct ColdRunsMismatch;

impl fmt::Display for ColdRunsMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cold run times do not match the tallies of the report")
    }
}

impl From<UsageRequest> for EncodedRequest {
    fn from(request: UsageRequest) -> Self {
        match request {
            UsageRequest::Report(report) => {
                let cold_runs = cold_runs(&report);
                EncodedRequest::Report(report, cold_runs)
            }
            UsageRequest::Exchange { report, senders } => EncodedRequest::Exchange {
                cold_runs: cold_runs(&report),
                report,
                senders,
            },
        }
    }
}

impl TryFrom<EncodedRequest> for UsageRequest {
    type Error = ColdRunsMismatch;

    fn try_from(request: EncodedRequest) -> Result<Self, ColdRunsMismatch> {
        Ok(match request {
            EncodedRequest::Report(report, cold_runs) => {
                UsageRequest::Report(with_cold_runs(report, cold_runs)?)
            }
            EncodedRequest::Exchange {
                report,
                senders,
                cold_runs,
            } => UsageRequest::Exchange {
                report: with_cold_runs(report, cold_runs)?,
                senders,
            },
        })
    }
}

fn cold_runs(report: &UsageReport) -> ColdRuns {
    let of_tallies = report.runs.iter().map(|(_, tally)| &tally.cold_run_times);
    match of_tallies.clone().all(RunTimes::is_empty) {
        true => ColdRuns::new(),
        false => of_tallies.cloned().collect(),
    }
}

fn with_cold_runs(
    mut report: UsageReport,
    cold_runs: ColdRuns,
) -> Result<UsageReport, ColdRunsMismatch> {
    if !cold_runs.is_empty() && cold_runs.len() != report.runs.len() {
        return Err(ColdRunsMismatch);
    }
    for ((_, tally), run_times) in report.runs.iter_mut().zip(cold_runs) {
        tally.cold_run_times = run_times;
    }
    Ok(report)
}

/// Reads a list at the end of a message; empty if the message ends before it.
fn list_if_present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<ColdRuns, D::Error> {
    let mut is_present = false;
    let visitor = ListVisitor {
        is_present: &mut is_present,
    };
    match deserializer.deserialize_seq(visitor) {
        // Without a length there is no list: the sender has an earlier release.
        Err(_) if !is_present => Ok(ColdRuns::new()),
        result => result,
    }
}

/// Reads a list, and tells whether it begins.
struct ListVisitor<'a> {
    is_present: &'a mut bool,
}

impl<'de> Visitor<'de> for ListVisitor<'_> {
    type Value = ColdRuns;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("histograms of run times")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<ColdRuns, A::Error> {
        *self.is_present = true;
        std::iter::from_fn(|| list.next_element().transpose()).collect()
    }
}
